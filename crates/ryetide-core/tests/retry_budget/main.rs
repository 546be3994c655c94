//! The limit on retries over all VMs together.

mod count;
mod fleet;
mod limits;
