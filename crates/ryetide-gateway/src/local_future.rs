//! Futures that run on the gateway's single thread.

use std::pin::Pin;

/// A boxed future that is not `Send`.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;
