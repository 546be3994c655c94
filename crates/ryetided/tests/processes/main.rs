//! Tests of whole deployments as separate processes on loopback.
#![allow(clippy::unwrap_used, reason = "a test that cannot go on fails where it stands")]

mod bad_input;
mod crashes;
mod failures;
mod serving;
mod support;
mod words;
