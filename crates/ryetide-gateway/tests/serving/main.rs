//! Tests of a complete gateway between callers and scripted targets, over real sockets.

mod answers;
mod claimed_addresses;
mod crashes;
mod crashing_fleet;
mod crashing_parts;
mod cut_off;
mod digests;
mod early_answers;
mod ejection;
mod endless_bytes;
mod limits;
mod lives;
mod repeats;
mod routes;
mod shutdown;
mod streams;
mod support;
mod unframed;
mod versions;
mod words;
