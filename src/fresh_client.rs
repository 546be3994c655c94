//! An HTTP client that opens a new connection for each request and closes it afterwards.
//!
//! A pooled connection may be dead without notice, and a library with a pool may send a request
//! twice. Here the connection is opened first, and its handshake shows that the peer is reachable. A
//! failure up to that point is known to have sent nothing, whatever error a library would report.

use std::{io, net, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{self, HeaderName, HeaderValue},
    http,
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite},
    net::{TcpStream, UnixStream},
    task::{self, AbortHandle},
};

use crate::{
    tunnel::{Tunnel, TunnelEnd},
    util,
};

/// Why a request was not answered completely. It may have run, unless it could not be written.
#[derive(Debug, thiserror::Error)]
pub enum ClientFault {
    /// The request cannot be expressed in HTTP.
    #[error("write request: {0}")]
    Unwritable(#[from] http::Error),
    /// The connection broke, or the data on it was not a valid answer.
    #[error("exchange: {0}")]
    Broken(#[from] hyper::Error),
    /// The answer's body is larger than permitted.
    #[error("read answer: more than {0} bytes")]
    TooLarge(usize),
}

/// An open connection on which nothing has been sent.
pub struct FreshConnection {
    address: net::SocketAddr,
    stream: FreshStream,
    tunnel_end: Option<TunnelEnd>,
}

enum FreshStream {
    Direct(TcpStream),
    /// The end of a tunnel.
    Tunnel(UnixStream),
}

impl FreshConnection {
    /// Opens a connection. Returns `None` when that fails; nothing has been sent then.
    pub async fn open(address: net::SocketAddr, limit: Duration) -> Option<Self> {
        let opened = util::within(limit, TcpStream::connect(address)).await;
        let reason = match opened {
            Some(Ok(stream)) => {
                let stream = FreshStream::Direct(stream);
                return Some(Self { address, stream, tunnel_end: None });
            }
            Some(Err(error)) => error.to_string(),
            None => "silent".to_owned(),
        };
        tracing::debug!(event = "connect-failed", step = "connect", peer = %address, reason);
        None
    }

    /// Uses a connection that a peer has opened to the target at `address`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the socket cannot be used.
    pub fn through_peer(address: net::SocketAddr, tunnel: Tunnel) -> io::Result<Self> {
        let stream = FreshStream::Tunnel(UnixStream::from_std(tunnel.socket)?);
        Ok(Self { address, stream, tunnel_end: Some(tunnel.end) })
    }

    /// Returns how the connection ends, if a peer has opened it.
    pub fn tunnel_end(&self) -> Option<TunnelEnd> {
        self.tunnel_end.clone()
    }

    /// Returns whether the connection is still open after `span`, though nothing is sent on it.
    pub async fn stays_open(self, span: Duration) -> bool {
        let mut byte = [0];
        let reading = async {
            match self.stream {
                FreshStream::Direct(mut stream) => stream.read(&mut byte).await,
                FreshStream::Tunnel(mut stream) => stream.read(&mut byte).await,
            }
        };
        let read = util::within(span, reading).await;
        read.is_none_or(|read| read.is_ok_and(|length| length > 0))
    }

    /// Creates a request on the connection.
    pub fn request(self, method: Method, path: &str) -> FreshRequest {
        let builder = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONNECTION, HeaderValue::from_static("close"));
        FreshRequest { connection: self, builder }
    }
}

/// A request that is not sent yet.
pub struct FreshRequest {
    connection: FreshConnection,
    builder: http::request::Builder,
}

impl FreshRequest {
    /// Adds a header. One that cannot be written fails the request when it is sent.
    pub fn header<N, V>(mut self, name: N, value: V) -> Self
    where
        N: TryInto<HeaderName>,
        V: TryInto<HeaderValue>,
        http::Error: From<N::Error> + From<V::Error>,
    {
        self.builder = self.builder.header(name, value);
        self
    }

    /// Sends the request without a body.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientFault`] when the head of an answer is not received.
    pub async fn send(self) -> Result<FreshAnswer, ClientFault> {
        self.send_body(Bytes::new()).await
    }

    /// Sends the request with a body.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn send_body(self, body: impl Into<Bytes>) -> Result<FreshAnswer, ClientFault> {
        let request = self.builder.body(Full::new(body.into()))?;
        let address = self.connection.address;
        let (mut sender, driver) = match self.connection.stream {
            FreshStream::Direct(stream) => start(stream, address).await?,
            FreshStream::Tunnel(stream) => start(stream, address).await?,
        };
        let (head, body) = sender.send_request(request).await?.into_parts();
        Ok(FreshAnswer { response: Response::from_parts(head, ()), body, _driver: driver })
    }
}

async fn start<S>(
    stream: S,
    address: net::SocketAddr,
) -> Result<(SendRequest<Full<Bytes>>, DriverTask), ClientFault>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let running = task::spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(event = "connection-ended", peer = %address, reason = %error);
        }
    });
    Ok((sender, DriverTask(running.abort_handle())))
}

/// The task that reads and writes a connection. Dropping it closes the connection.
struct DriverTask(AbortHandle);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An answer whose head has been received. Dropping it closes the connection.
pub struct FreshAnswer {
    response: Response<()>,
    body: Incoming,
    _driver: DriverTask,
}

impl FreshAnswer {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Returns the value of a header.
    pub fn header(&self, name: impl header::AsHeaderName) -> Option<&HeaderValue> {
        self.response.headers().get(name)
    }

    /// Returns whether the body has neither a length nor chunks, so that only the end of the
    /// connection marks its end.
    pub fn ends_with_connection(&self) -> bool {
        let headers = self.response.headers();
        !headers.contains_key(header::CONTENT_LENGTH)
            && !headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns the next piece of the body, or `None` at its end. A body with neither a length nor
    /// chunks ends with the connection.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientFault`] when the body breaks off.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, ClientFault> {
        while let Some(frame) = self.body.frame().await {
            // A frame without data holds trailers.
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Reads a body of at most `limit` bytes to its end.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientFault`] when the body breaks off or is larger.
    pub async fn read_body(mut self, limit: usize) -> Result<Bytes, ClientFault> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.next_piece().await? {
            if whole.len() + piece.len() > limit {
                return Err(ClientFault::TooLarge(limit));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }
}
