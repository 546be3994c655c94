//! Futures of the gateway's one thread.

use std::pin::Pin;

/// A future that stays on its thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;
