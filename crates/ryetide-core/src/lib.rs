//! The decision core of ryetide: a pure, deterministic state machine.
//!
//! Ryetide schedules requests onto heterogeneous engines. Each entry VM runs one
//! [`entry::EntryCore`], which receives events ([`event::Event`]) and returns effects
//! ([`effect::Effect`]) for the daemon to carry out. Nothing in this crate opens a socket, reads a
//! clock, starts a thread, writes a log or draws unseeded randomness, so the daemon, the scripted
//! scenarios, the fault matrix and the fuzzers all drive the same code, and a recorded run can be
//! replayed.
//!
//! # Guarantees
//!
//! * **At most one dispatch.** [`request`] holds each request's state, which changes only along the
//!   chart in `charts/request.yaml`; `dispatching` is entered once, before the first byte.
//! * **Urgent before routine.** One [`arbiter`] orders the requests for each service's targets in a
//!   data centre with a [`queue`] that is strict between tiers and fair between organisations.
//! * **At most one run for a caller's retries.** [`claim`] stores idempotency keys in the platform's
//!   table service.
//! * **Configuration never reverts.** [`configuration`] accepts an edit by compare-and-swap and
//!   applies only higher revisions.
//!
//! # Contents
//!
//! | modules | contents |
//! |---|---|
//! | [`entry`] | the core: `step(now, event)` pushes effects |
//! | [`event`], [`effect`], [`message`] | events, effects, and the messages between entry VMs |
//! | [`chart`] | state charts, read from files and interpreted |
//! | [`text`], [`catalog`] | parsing of operators' YAML, with all errors reported at once; the services text |
//! | [`arbiter`], [`slot_request`], [`queue`], [`target_estimate`], [`affinity`], [`retry_planner`] | order, admission and placement of requests for a service |
//! | [`membership`] | the peers, and which VM arbitrates a service |
//! | [`claim`], [`configuration`], [`request`] | the state behind the guarantees |
//! | [`request_fingerprint`], [`prompt_part`], [`crash_suspect`], [`crash_ledger`], [`crash_update`], [`crash_attribution`] | requests and parts of prompts that crash targets |
//! | [`route`], [`route_text`], [`quota`], [`quota_allocator`], [`retry_budget`], [`slot_window`], [`retry_delay`] | routed requests: their routes, quotas and retries |
//! | [`rollout_order`], [`rollout_manager`], [`service_rollout`], [`trial_share`], [`rollout_evidence`], [`rollout_evaluation`], [`version_baseline`] | rollouts of new versions: their traffic, evaluation and outcome |
//! | [`scheduler`], [`scheduler_options`], [`queue_view`], [`wait_queue`], [`recent_arrivals`], [`deadline_tracker`], [`decision`] | queueing and refusal of routed requests |
//! | [`stream_continuation`], [`stream_origin`], [`version_history`], [`origin_inquiry`] | streams that go on at the version which began them |
//! | [`placement`], [`target_load`], [`target_health`], [`target_speed`], [`prompt_cache`] | placement of routed requests |
//! | [`scheduling_policy`], [`policy_update`] | the optional policies for uneven load, and what VMs report for them |
//! | [`outlier_detector`], [`target_ejection`] | ejection of targets that fail requests |
//! | [`slot_borrowing`], [`slot_lending`], [`scheduler_overflow`] | use of free slots of other cells |
//! | [`organisation_usage`], [`share_order`], [`fair_share`], [`scheduler_shares`] | fair shares among organisations |
//! | [`load_digest`], [`peer_digests`], [`cell_plan`], [`digest_timing`], [`digest_route`] | load reports between entry VMs |
//! | [`path_table`], [`tunnel_helpers`], [`tunnel_room`] | connections to targets through peers |
//! | [`target_registry`], [`listing_span`], [`target_notice`] | the existing targets, and the notices in their answers |
//! | [`target_limit`], [`limit_share`], [`brittle_services`] | request rate limits and brittleness that targets announce, and each VM's share |
//! | [`watcher_selection`], [`era_version`] | which VMs watch the source of routes and targets, and how its versions compare |
//! | [`event_tracker`], [`event_scanner`] | the ends and ids of the events in a stream |
//! | [`accept_queue`], [`connection_table`], [`memory_room`], [`machine_limits`] | which callers get a turn, a connection and memory |
//! | [`safeguard`] | switches that let tests show what each safeguard prevents |
//! | [`ids`], [`units`], [`json_form`] | newtypes, and the JSON encoding of values |

pub mod accept_queue;
pub mod affinity;
pub mod arbiter;
mod arbiter_placement;
mod arbiter_wait;
pub mod arrival_forecast;
pub mod brittle_services;
pub mod catalog;
pub mod cell_plan;
pub mod chart;
pub mod claim;
pub mod configuration;
pub mod connection_table;
pub mod crash_attribution;
pub mod crash_ledger;
mod crash_records;
mod crash_rivals;
mod crash_sequence;
pub mod crash_suspect;
pub mod crash_update;
pub mod deadline_tracker;
pub mod decision;
pub mod digest_route;
pub mod digest_timing;
mod digest_tracker;
pub mod effect;
pub mod entry;
mod entry_admission;
mod entry_dispatch;
mod entry_election;
mod entry_finish;
mod entry_limit;
mod entry_notice;
mod entry_peer;
mod entry_quarantine;
mod entry_resume;
mod entry_slot;
pub mod era_version;
pub mod event;
pub mod event_scanner;
pub mod event_tracker;
pub mod fair_share;
pub mod health_path;
pub mod ids;
pub mod json_form;
mod ledger_time;
pub mod limit_share;
pub mod listing_span;
pub mod load_digest;
pub mod machine_limits;
pub mod membership;
pub mod memory_room;
pub mod message;
pub mod organisation_usage;
pub mod origin_inquiry;
pub mod outlier_detector;
mod output_estimate;
pub mod path_table;
pub mod peer_digests;
pub mod placement;
pub mod policy_update;
pub mod prompt_cache;
pub mod prompt_part;
mod quarantine_list;
pub mod queue;
pub mod queue_view;
pub mod quota;
pub mod quota_allocator;
pub mod quota_returns;
pub mod recent_arrivals;
pub mod request;
pub mod request_fingerprint;
pub mod retry_budget;
pub mod retry_delay;
pub mod retry_planner;
pub mod return_schedule;
pub mod rollout_evaluation;
pub mod rollout_evidence;
pub mod rollout_manager;
pub mod rollout_order;
pub mod route;
pub mod route_text;
pub mod run_durations;
pub mod safeguard;
pub mod scheduler;
mod scheduler_brittle;
mod scheduler_digests;
mod scheduler_ejection;
mod scheduler_limits;
pub mod scheduler_options;
pub mod scheduler_overflow;
mod scheduler_policies;
mod scheduler_retries;
mod scheduler_returns;
mod scheduler_rollouts;
pub mod scheduler_shares;
pub mod scheduling_policy;
pub mod service_rollout;
pub mod share_order;
pub mod slot_borrowing;
mod slot_ledger;
pub mod slot_lending;
pub mod slot_request;
pub mod slot_turn;
pub mod slot_window;
pub mod stop_window;
pub mod stream_continuation;
pub mod stream_origin;
pub mod target_ejection;
pub mod target_estimate;
pub mod target_health;
pub mod target_limit;
pub mod target_load;
pub mod target_notice;
pub mod target_registry;
pub mod target_speed;
pub mod text;
pub mod trial_share;
pub mod tunnel_helpers;
pub mod tunnel_room;
pub mod units;
mod util;
pub mod version_baseline;
pub mod version_history;
pub mod wait_queue;
pub mod watcher_selection;
