//! Ryetide: a request scheduler for model engines of different speeds.
//!
//! This library implements the daemon's input and output; the scheduling decisions are made in
//! [`ryetide_core`]. The binaries are thin: `ryetided` runs [`daemon::run`], and `ryetide` sends
//! requests to the operators' port.
//!
//! # Contents
//!
//! | module | contents |
//! |---|---|
//! | [`daemon`], [`daemon_sockets`], [`server_stop`] | the daemon: the core, its threads, their sockets and their shutdown |
//! | [`settings`], [`text_report`], [`log`], [`error`] | settings, validation reports, logs, errors |
//! | [`caller_edge`], [`caller_gate`], [`pending_heads`], [`caller_request`], `open_call`, [`caller_answer`], [`answer_buffer`] | HTTP to callers |
//! | [`target_client`], [`fresh_client`] | HTTP to targets |
//! | [`tunnel`] | connections to targets through peers |
//! | [`peer_link`], [`peer_keys`], [`deployment_keys`] | connections to the other entry VMs |
//! | [`platform_client`] | the table service and the list of VMs |
//! | [`operator_port`], [`request_report`] | the operators' port and its report |
//! | [`memory_pool`], [`segmented_body`] | the memory for bodies, and bodies in segments of bounded size |
//! | [`quarantine_log`] | log lines on requests that crash targets |
//! | [`ring`] | bounded ring buffers between the threads |

pub mod answer_buffer;
pub mod caller_answer;
pub mod caller_edge;
pub mod caller_gate;
pub mod caller_request;
pub mod daemon;
pub mod daemon_sockets;
pub mod deployment_keys;
pub mod error;
pub mod fresh_client;
pub mod log;
pub mod memory_pool;
mod open_call;
pub mod operator_port;
pub mod peer_keys;
pub mod peer_link;
pub mod pending_heads;
pub mod platform_client;
pub mod quarantine_log;
pub mod request_report;
pub mod ring;
pub mod segmented_body;
pub mod server_stop;
pub mod settings;
pub mod target_client;
pub mod text_report;
pub mod tunnel;
mod tunnel_link;
mod util;
