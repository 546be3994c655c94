//! An HTTP client that opens a new connection for each request and closes it afterwards.
//!
//! A pooled connection may be dead without notice, and a library with a pool may send a request
//! twice. Here the connection is opened first, and its handshake shows that the peer is reachable. A
//! failure up to that point is known to have sent nothing, whatever error a library would report.
//! The library's client uses only the given connection; it opens and keeps none itself.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    io, net,
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

use crate::{
    error::StepError,
    tunnel::{Tunnel, TunnelEnd},
    util,
};

/// Open connections by address. Those to one address are interchangeable.
type HandoverMap = Rc<RefCell<HashMap<net::SocketAddr, VecDeque<Io>>>>;

/// An open connection on which nothing has been sent.
pub struct FreshConnection {
    address: net::SocketAddr,
    io: Io,
    tunnel_end: Option<TunnelEnd>,
}

impl FreshConnection {
    /// Uses a connection that a peer has opened to the target at `address`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the socket cannot be used.
    pub fn through_peer(address: net::SocketAddr, tunnel: Tunnel) -> io::Result<Self> {
        let io = ntex::rt::from_unix_stream(tunnel.socket, SharedCfg::new("tunnel").into())?;
        Ok(Self { address, io, tunnel_end: Some(tunnel.end) })
    }

    /// Returns how the connection ends, if a peer has opened it.
    pub fn tunnel_end(&self) -> Option<TunnelEnd> {
        self.tunnel_end.clone()
    }
}

/// An HTTP client without a connection pool, for use on one thread.
pub struct FreshClient {
    client: Client,
    handover: HandoverMap,
}

impl FreshClient {
    /// Creates a client. `name` identifies its connections in logs.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when the HTTP client cannot be built.
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
        // Following a redirect would send a second request.
        let client = Client::builder()
            .connector::<()>(Connector::new().connector(connector).limit(0))
            .disable_redirects()
            .disable_timeout()
            .build(SharedCfg::new(name))
            .await
            .map_err(|error| StepError::new("build client", error.to_string()))?;
        Ok(Self { client, handover })
    }

    /// Opens a connection. Returns `None` when that fails; nothing has been sent then.
    pub async fn connect(
        &self,
        address: net::SocketAddr,
        limit: Duration,
    ) -> Option<FreshConnection> {
        let opened = ntex::rt::tcp_connect(address, SharedCfg::new("fresh").into());
        let opened = util::within(limit, opened).await;
        let reason = match opened {
            Some(Ok(io)) => return Some(FreshConnection { address, io, tunnel_end: None }),
            Some(Err(error)) => error.to_string(),
            None => "silent".to_owned(),
        };
        tracing::debug!(event = "connect-failed", step = "connect", peer = %address, reason);
        None
    }

    /// Creates a request on `connection`. It must be sent immediately: until then the connection stays in
    /// the hand-over map.
    pub fn request(
        &self,
        connection: FreshConnection,
        method: Method,
        path: &str,
    ) -> ClientRequest {
        let FreshConnection { address, io, .. } = connection;
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

/// Returns the address in a URI built by [`FreshClient::request`].
fn address_of(uri: &Uri) -> Option<net::SocketAddr> {
    uri.authority()?.as_str().parse().ok()
}
