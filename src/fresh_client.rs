//! An HTTP client whose every request has a connection of its own, opened before and closed after.
//!
//! A pooled connection may be dead without a sign, and a library with a pool may send a request
//! twice. Here a connection is opened first; its handshake proves it live just now, and a failure up
//! to then is known to have sent nothing, whatever error a library would report. The library's
//! client only borrows the connection: it opens none itself and keeps none.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    net,
    rc::Rc,
    time::Duration,
};

use ntex::{
    client::{Client, ClientRequest, Connector},
    connect,
    http::{Method, Uri},
    io::Io,
    service::{cfg::SharedCfg, chain_factory, fn_service},
};

use crate::{error::StepError, util};

/// Connections that stand, by address; all to one address are alike, so any of them serves.
type HandoverMap = Rc<RefCell<HashMap<net::SocketAddr, VecDeque<Io>>>>;

/// A connection that stands and on which nothing was sent.
pub struct FreshConnection {
    address: net::SocketAddr,
    io: Io,
}

/// The client. It belongs to one thread.
pub struct FreshClient {
    client: Client,
    handover: HandoverMap,
}

impl FreshClient {
    /// Creates a client; `name` tells its connections apart in logs.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when the library's client cannot be built.
    pub async fn new(name: &'static str) -> Result<Self, StepError> {
        let handover = HandoverMap::default();
        let source = Rc::clone(&handover);
        let connector = chain_factory(fn_service(move |message: connect::Connect<Uri>| {
            let source = Rc::clone(&source);
            async move {
                let address = address_of(message.get_ref());
                let handed = address.and_then(|address| take(&source, address));
                handed.ok_or(connect::ConnectError::Unresolved)
            }
        }))
        .map_init_err(|()| StepError::new("build client", "the connector failed"));
        // A followed redirect would be a second request.
        let client = Client::builder()
            .connector::<()>(Connector::new().connector(connector).limit(0))
            .disable_redirects()
            .disable_timeout()
            .build(SharedCfg::new(name))
            .await
            .map_err(|error| StepError::new("build client", error.to_string()))?;
        Ok(Self { client, handover })
    }

    /// Opens a connection, or returns nothing when that fails: then nothing was sent.
    pub async fn connect(
        &self,
        address: net::SocketAddr,
        limit: Duration,
    ) -> Option<FreshConnection> {
        let opened = ntex::rt::tcp_connect(address, SharedCfg::new("fresh").into());
        let opened = util::within(limit, opened).await;
        let reason = match opened {
            Some(Ok(io)) => return Some(FreshConnection { address, io }),
            Some(Err(error)) => error.to_string(),
            None => "silent".to_owned(),
        };
        tracing::debug!(event = "connect-failed", step = "connect", peer = %address, reason);
        None
    }

    /// Begins a request on `connection`, which must be sent right away.
    pub fn request(
        &self,
        connection: FreshConnection,
        method: Method,
        path: &str,
    ) -> ClientRequest {
        let FreshConnection { address, io } = connection;
        self.handover.borrow_mut().entry(address).or_default().push_back(io);
        self.client.request(method, format!("http://{address}{path}")).force_close()
    }
}

fn take(handover: &HandoverMap, address: net::SocketAddr) -> Option<Io> {
    let mut map = handover.borrow_mut();
    let waiting = map.get_mut(&address)?;
    let io = waiting.pop_front();
    if waiting.is_empty() {
        map.remove(&address);
    }
    io
}

/// Returns the address in a URI that [`FreshClient::request`] has built from one.
fn address_of(uri: &Uri) -> Option<net::SocketAddr> {
    uri.authority()?.as_str().parse().ok()
}
