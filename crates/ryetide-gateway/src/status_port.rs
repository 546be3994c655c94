//! The HTTP server for readiness checks and metrics.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, task, time};

use crate::{connection_limit::ConnectionLimit, gateway_state::Gateway};

/// The path of the readiness check for load balancers.
pub const READY_PATH: &str = "/ready";
/// The path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// The pause after accepting a connection has failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The longest duration of a connection to this port; load balancers and scrapers send few requests
/// on each.
const CONNECTION_LIMIT: Duration = Duration::from_secs(60);

/// The most connections to this port; the oldest one is closed for another. They are for load balancers
/// and scrapers, but whoever reaches the port may open them.
const MAX_CONNECTIONS: usize = 8;
/// The buffer of a connection, in bytes, and so the largest head of a request.
const MAX_BUFFER: usize = 8_192;

/// Serves the port until the task is cancelled.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let mut connections = ConnectionLimit::new(MAX_CONNECTIONS);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "accept-failed", step = "status", reason = %error);
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let gateway = Rc::clone(&gateway);
        let serving = task::spawn_local(async move {
            let handler = service::service_fn(|request| {
                let response = answer(&gateway, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .max_buf_size(MAX_BUFFER)
                .serve_connection(TokioIo::new(stream), handler);
            if let Ok(Err(error)) = time::timeout(CONNECTION_LIMIT, connection).await {
                tracing::debug!(event = "status-connection-ended", reason = %error);
            }
        });
        connections.add(serving.abort_handle());
        // Whoever has sent a request is answered before others take its place.
        task::yield_now().await;
    }
}

fn answer(gateway: &Gateway, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, text) = match request.uri().path() {
        READY_PATH if gateway.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        METRICS_PATH => match gateway.metrics().text() {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        _ => (StatusCode::NOT_FOUND, "not found\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
