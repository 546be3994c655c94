//! Stand-ins for the systems around ryetide, and load tools. They are not part of a release; the
//! operators' command `ryetide demo` runs on them.
//!
//! Each stand-in implements one interface. It records the requests it received, which the tests
//! check, and its faults are set with `POST /lab/faults`.
//!
//! | module | contents |
//! |---|---|
//! | [`engine`], [`engine_batch`] | a model engine: continuous batching, prefix cache, resume, cancel |
//! | [`plain_service`] | a plain service that counts how often each call ran |
//! | [`platform`] | the table service, the object store and the lagging list of VMs |
//! | [`relay`] | a TCP relay that can stop forwarding without a reset |
//! | [`deployment`] | descriptions of deployments: settings, services text, list of VMs |
//! | [`site`], [`process_site`] | running deployments, in one process or in several |
//! | [`server`], [`process`], [`control`] | HTTP servers, processes, and calls to them |
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
