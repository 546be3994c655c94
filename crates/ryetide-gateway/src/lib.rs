//! The HTTP gateway of an entry VM.
//!
//! The route that matches the host and path of a request determines the service, whether the
//! request may be retried, its timeout and the organisation whose quota it uses. The gateway
//! selects a target, sends the request at most as often as the route permits, and forwards the
//! answer to the caller.
//!
//! The decisions are made in [`ryetide_core`], among others in [`ryetide_core::route`] and
//! [`ryetide_core::scheduler`]. This crate does the I/O, on a single thread: its tasks share one
//! scheduler, so no request moves between threads.
//!
//! The traits in [`ports`] abstract the sources of routes, targets and peers.
//!
//! # Contents
//!
//! | module | content |
//! |---|---|
//! | [`ports`] | the interface to a platform |
//! | [`gateway`], [`gateway_state`], [`fleet_tasks`] | start and shutdown of a gateway, the state that its tasks share, background tasks |
//! | [`caller_listener`], `caller_connections`, `guarded_body`, [`caller_stream`], [`caller_body`], [`caller_service`], [`exchange`], [`quota_wait`], [`stream_binding`], [`origin_lookup`], [`caller_answer`] | the connections and requests of callers |
//! | [`request_template`], [`target_pool`], [`target_answer`], [`relay`], [`relay_fault`], [`run_fault`], [`target_notices`] | requests to targets and their answers |
//! | [`fault_detector`], [`quarantine_check`], [`quarantine_monitor`], [`stored_quarantine`] | requests and parts of prompts that crash targets |
//! | [`version_monitor`] | which services have several versions, stored for a restart of all VMs |
//! | `rollout_monitor`, `rollout_rows` | rollout orders, and their status rows for operators |
//! | [`scheduler_hub`], [`fleet_view`] | the shared scheduler, the routes and the targets |
//! | [`store_feed`], [`table_follower`], [`store_table`], [`row_faults`], [`store_outage`], [`feed_relay`], [`lag_monitor`], [`refresh_signal`] | routes, targets and peers from a platform's store |
//! | [`target_connector`], [`peer_tunnel`], [`tunnel_server`], [`tunnel_message`] | connections to targets, directly or through a peer |
//! | [`peer_link`], [`digest_relay`] | messages between entry VMs, and the relay of digests |
//! | [`gateway_text`], [`file_feed`], [`own_headers`] | a gateway without a platform |
//! | [`status_port`], `connection_limit`, [`gateway_metrics`], [`decision_log`], `ejection_report`, `overflow_log`, [`share_monitor`], [`target_changes`] | readiness, metrics, logs |

mod answer_end;
pub mod caller_answer;
pub mod caller_body;
mod caller_connections;
pub mod caller_listener;
pub mod caller_service;
mod caller_stream;
mod connection_limit;
pub mod decision_log;
pub mod digest_relay;
mod ejection_report;
pub mod exchange;
pub mod fault_detector;
pub mod feed_relay;
pub mod file_feed;
pub mod fleet_tasks;
pub mod fleet_view;
pub mod gateway;
pub mod gateway_metrics;
pub mod gateway_state;
pub mod gateway_text;
mod guarded_body;
pub mod lag_monitor;
mod local_future;
mod loop_monitor;
mod metered_stream;
pub mod origin_lookup;
mod origin_monitor;
mod origin_rows;
mod overflow_log;
pub mod own_headers;
pub mod peer_link;
pub mod peer_tunnel;
pub mod ports;
pub mod quarantine_check;
pub mod quarantine_monitor;
pub mod quota_wait;
pub mod refresh_signal;
pub mod relay;
pub mod relay_fault;
pub mod request_template;
mod retry_backoff;
mod rollout_monitor;
mod rollout_rows;
pub mod row_faults;
pub mod run_fault;
pub mod scheduler_hub;
pub mod share_monitor;
pub mod status_port;
mod stop_order;
pub mod store_feed;
pub mod store_outage;
pub mod store_table;
pub mod stored_quarantine;
pub mod stream_binding;
pub mod table_follower;
pub mod target_answer;
pub mod target_changes;
pub mod target_connector;
pub mod target_identity;
mod target_notices;
pub mod target_pool;
pub mod tunnel_message;
pub mod tunnel_server;
mod unix_time;
pub mod version_monitor;
