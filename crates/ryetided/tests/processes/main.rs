//! Tests of whole deployments as separate processes on loopback.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod bad_input;
mod crashes;
mod failures;
mod notices;
mod overload;
#[path = "../../../../platform/tests/leaning/processor.rs"]
mod processor;
mod serving;
mod support;
