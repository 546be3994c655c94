//! Ryetide: a request scheduler for unlike engines.
//!
//! This library holds everything of a daemon but its decisions, which are in [`ryetide_core`]. The
//! binaries are thin: `ryetided` runs [`daemon::run`], and `ryetide` talks to the operators' port.
//!
//! # Contents
//!
//! | module | what it is |
//! |---|---|
//! | [`daemon`], [`server_stop`] | a whole daemon: the core and its threads, and their end |
//! | [`settings`], [`text_report`], [`log`], [`error`] | settings, faults, logs, errors |
//! | [`caller_edge`], [`caller_request`], [`caller_answer`], [`answer_slot`] | callers |
//! | [`target_client`], [`fresh_client`] | targets |
//! | [`peer_link`], [`peer_keys`], [`deployment_keys`] | the other entry VMs |
//! | [`platform_client`] | the table service and the list of VMs |
//! | [`operator_port`], [`request_report`] | operators |
//! | [`ring`] | the bounded rings between the threads |

pub mod answer_slot;
pub mod caller_answer;
pub mod caller_edge;
pub mod caller_request;
pub mod daemon;
pub mod deployment_keys;
pub mod error;
pub mod fresh_client;
pub mod log;
pub mod operator_port;
pub mod peer_keys;
pub mod peer_link;
pub mod platform_client;
pub mod quarantine_log;
pub mod request_report;
pub mod ring;
pub mod server_stop;
pub mod settings;
pub mod target_client;
pub mod text_report;
mod util;
