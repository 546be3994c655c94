//! The routed face of an entry VM.
//!
//! Callers name a host and a path; the routes in force say which service answers, what may be
//! repeated, how long it may take and whose quota it counts against. The gateway finds a target,
//! sends the request there at most as often as its route permits, and passes the whole answer on.
//!
//! All decisions are in [`ryetide_core`]: [`ryetide_core::route`] and [`ryetide_core::scheduler`]
//! among others. This crate carries them out, on one thread: its tasks share one scheduler, so that a
//! request crosses no thread on its way.
//!
//! Where routes, targets and peers come from is behind the traits in [`ports`].
//!
//! # Contents
//!
//! | module | what it is |
//! |---|---|
//! | [`ports`] | what a platform must provide, and what it is told |
//! | [`gateway`], [`gateway_state`], [`fleet_duties`] | a whole gateway: its start and end, what its tasks share, the tasks beside the callers' |
//! | [`caller_listener`], [`caller_service`], [`exchange`], [`quota_wait`], [`caller_answer`] | callers |
//! | [`call_template`], [`target_pool`], [`target_answer`], [`relay`], [`relay_fault`], [`run_fault`], [`event_scanner`], [`target_words`] | targets |
//! | [`crash_watch`], [`standing_wait`], [`quarantine_keeper`] | requests that crash targets |
//! | `rollout_keeper`, `rollout_rows` | orders to bring new versions in, and what operators are told of them |
//! | [`scheduler_hub`], [`fleet_view`] | the scheduler and what it schedules onto |
//! | [`store_feed`], [`table_follower`], [`store_table`], [`row_faults`], [`store_outage`], [`feed_relay`], [`feed_watch`], [`feed_nudge`] | routes, targets and peers from a platform's store |
//! | [`peer_link`], [`digest_relay`] | the other entry VMs, and what is passed on between them |
//! | [`gateway_text`], [`file_feed`], [`own_headers`] | a gateway without a platform |
//! | [`status_port`], [`gateway_metrics`], [`decision_log`], [`target_news`] | readiness, metrics, logs |

pub mod call_template;
pub mod caller_answer;
pub mod caller_listener;
pub mod caller_service;
pub mod crash_watch;
pub mod decision_log;
pub mod digest_relay;
pub mod event_scanner;
pub mod exchange;
pub mod feed_nudge;
pub mod feed_relay;
pub mod feed_watch;
pub mod file_feed;
pub mod fleet_duties;
pub mod fleet_view;
pub mod gateway;
pub mod gateway_metrics;
pub mod gateway_state;
pub mod gateway_text;
mod local_future;
pub mod own_headers;
pub mod peer_link;
pub mod ports;
pub mod quarantine_keeper;
pub mod quota_wait;
pub mod relay;
pub mod relay_fault;
mod retry_pause;
mod rollout_keeper;
mod rollout_rows;
pub mod row_faults;
pub mod run_fault;
pub mod scheduler_hub;
pub mod standing_wait;
pub mod status_port;
pub mod store_feed;
pub mod store_outage;
pub mod store_table;
pub mod table_follower;
pub mod target_answer;
pub mod target_news;
pub mod target_pool;
pub mod target_words;
mod unix_time;
