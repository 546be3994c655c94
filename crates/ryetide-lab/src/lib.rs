//! Small stand-ins for what ryetide meets, and a load tool. Never shipped; the `demo` of the
//! operators' command line plays on them.
//!
//! Each stand-in is a fake at one interface: it keeps its own record of what it was asked to do,
//! which is what the tests judge by, and its faults are switched over `POST /lab/faults`.
//!
//! | module | what it is |
//! |---|---|
//! | [`engine`], [`engine_batch`] | a model engine: continuous batching, prefix cache, resume, cancel |
//! | [`plain_service`] | a plain service with calls that may not be repeated |
//! | [`platform`] | the table service, the object store and the lagging list of VMs |
//! | [`relay`] | a TCP relay that can fall silent without a reset |
//! | [`deployment`] | whole deployments on loopback |
//! | [`site`], [`process_site`] | a whole deployment, in one process or in many |
//! | [`process`], [`control`] | processes, and calls to stand-ins and daemons |
//! | [`caller`], [`workload`] | callers, and seeded arrivals |
//! | [`demo`], [`overhead`], [`slopes`] | the demo and the measurements |

pub mod caller;
pub mod control;
pub mod demo;
pub mod deployment;
pub mod engine;
pub mod engine_batch;
mod line_fit;
pub mod overhead;
pub mod plain_service;
pub mod platform;
pub mod process;
pub mod process_site;
pub mod relay;
pub mod server;
pub mod site;
pub mod slopes;
pub mod workload;
