//! Orders to bring new versions in: whether a bad version is found, how much of the traffic it gets, and how an order ends
//! whatever happens to the VMs and the store meanwhile.

mod behaviour;
mod exposure;
mod faults;
mod fleet;
mod judging;
mod placing;
mod versions;
