//! Applies peers' digests to a scheduler and builds the scheduler's own digests.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    crash_ledger::CrashUpdate,
    digest_route::{DigestPeer, DigestRecipients},
    digest_timing::DigestTiming,
    ids::{TargetKey, VmName},
    load_digest::{DigestEnvelope, DigestScope, FleetState, LoadDigest, TargetReport},
    peer_digests::{self, DigestChange},
    policy_update::PolicyUpdate,
    scheduler::Scheduler,
    units::{Moment, Tokens},
};

impl Scheduler {
    /// Applies a peer's digest.
    pub fn apply_digest(&mut self, now: Moment, envelope: DigestEnvelope) {
        let DigestEnvelope { from, digest } = envelope;
        let (last_placement, silent_for) = match self.peers.apply(now, &from, &digest) {
            DigestChange::Stale => return,
            DigestChange::Newer { placed, silent_for } => (placed, silent_for),
            DigestChange::NewIncarnation => {
                self.quotas.forget_peer(&from);
                self.crashes.resend_all(now);
                (digest.placed.last().map_or(0, |placed| placed.number), Duration::ZERO)
            }
        };
        if silent_for >= peer_digests::PEER_TIMEOUT {
            self.crashes.resend_all(now);
        }
        let part_crashes = digest.policies.part_crashes.clone();
        let crashes = CrashUpdate { parts: part_crashes, ..digest.crashes.clone() };
        self.crashes.take(now, &crashes);
        if !digest.rollouts.is_empty() {
            self.with_rollouts(now, |manager, now| {
                let LoadDigest { incarnation, rollouts, policies, .. } = &digest;
                manager.take_progress(now, &from, *incarnation, rollouts, &policies.baselines);
            });
        }
        self.merge_limit_reports(now, &digest.limits);
        self.merge_brittle_reports(now, &digest.policies.brittle);
        self.merge_usage(now, &from, &digest.policies.usage);
        // If the peer was unreachable, the ledger's buckets have grown since by its share of each
        // quota; its spending is charged to the grown buckets.
        self.update_peer_counts(now);
        self.forget_dropped_reports(now, &from, &digest);
        for report in &digest.targets {
            if let Some(load) = self.targets.get_mut(&report.target) {
                let running = load.running(now);
                load.store_report(now, &from, *report);
                load.refresh(now, &self.options.assumed);
                if load.running(now) > running {
                    self.record_peer_run(now, report.target, &from);
                }
            }
        }
        self.merge_outcome_reports(now, &from, &digest.policies.outcomes);
        for placed in digest.placed.iter().filter(|placed| placed.number > last_placement) {
            if let Some(load) = self.targets.get_mut(&placed.target) {
                load.prompt_cache_mut().record(
                    now,
                    placed.prompt_hash,
                    Tokens(u64::from(placed.tokens)),
                );
            }
        }
        for (key, total) in &digest.spent {
            self.quotas.ledger_mut().record_peer_total(now, &from, *key, *total, silent_for);
        }
        if digest.scope != DigestScope::Changes {
            self.quotas.ledger_mut().record_all_totals(&from);
        }
        self.apply_overflow(now, &from, &digest);
        self.process_queues(now);
    }

    /// Forgets the earlier reports of a peer on targets that its newest full digest leaves out.
    fn forget_dropped_reports(&mut self, now: Moment, from: &VmName, digest: &LoadDigest) {
        let reported = digest.targets.iter().map(|report| report.target);
        if digest.scope != DigestScope::Whole {
            self.reported_targets.entry(from.clone()).or_default().extend(reported);
            return;
        }
        let reported: BTreeSet<TargetKey> = reported.collect();
        let before = self.reported_targets.get(from).into_iter().flatten();
        let ended: Vec<TargetKey> = before.filter(|key| !reported.contains(key)).copied().collect();
        self.reported_targets.insert(from.clone(), reported);
        for key in &ended {
            if let Some(load) = self.targets.get_mut(key) {
                load.remove_report(now, from);
            }
        }
    }

    /// Returns the digest for all peers outside this VM's cell.
    pub fn brief_digest(&mut self, now: Moment, state: FleetState, leaving: bool) -> LoadDigest {
        let mut digest = self.common_digest(now, state, leaving);
        digest.policies.outcomes = self.outcome_reports(now, DigestScope::Brief);
        digest.policies.usage = self.usage_reports(now, DigestScope::Brief);
        self.with_overflow(now, digest)
    }

    /// Returns what the digests of all scopes contain.
    fn common_digest(&mut self, now: Moment, state: FleetState, leaving: bool) -> LoadDigest {
        self.leaving |= leaving;
        let policies = PolicyUpdate {
            brittle: self.brittle.reports(now),
            baselines: self.rollouts.baseline_reports(),
            ..Default::default()
        };
        let digest = LoadDigest {
            incarnation: self.options.incarnation,
            sequence: self.digest_tracker.next_sequence(),
            leaving,
            scope: DigestScope::Brief,
            data_centre: Some(self.options.data_centre.clone()),
            revision: state.revision,
            registry: state.registry,
            watch: state.watch,
            spent: self.quotas.ledger().totals().collect(),
            leaving_targets: state.leaving_targets,
            rollouts: self.rollout_progress(now, true),
            limits: self.limits.reports(now),
            policies,
            ..LoadDigest::default()
        };
        with_crashes(digest, self.crashes.own_update(now))
    }

    /// Chooses which of `listed` receive the next digest for this VM's cell.
    pub fn cell_recipients(&mut self, now: Moment, listed: &[DigestPeer]) -> DigestRecipients {
        let in_cell = listed.iter().filter(|peer| self.plan.is_cell_peer(&peer.name));
        let in_cell: Vec<DigestPeer> = in_cell.cloned().collect();
        let peers = &self.peers;
        let recipients = self.route.choose_in_cell(&in_cell, |vm| peers.is_available(now, vm));
        let is_relayed = !recipients.relays.is_empty();
        self.digest_timing =
            if is_relayed { DigestTiming::relayed() } else { DigestTiming::direct(in_cell.len()) };
        recipients
    }

    /// Chooses which of `listed` receive the next brief digest, which is meant for every peer
    /// outside this VM's cell.
    pub fn outside_recipients(&mut self, now: Moment, listed: &[DigestPeer]) -> DigestRecipients {
        let others = listed.iter().filter(|peer| !self.plan.is_cell_peer(&peer.name));
        let others: Vec<DigestPeer> = others.cloned().collect();
        let peers = &self.peers;
        self.route
            .choose_outside(&self.options.data_centre, &others, |vm| peers.is_available(now, vm))
    }

    /// Returns the digest for the peers in this VM's cell: periodically a full one, in between one
    /// with the recent changes.
    pub fn digest(&mut self, now: Moment, state: FleetState, leaving: bool) -> LoadDigest {
        let mut brief = self.common_digest(now, state, leaving);
        let views = self.services.keys().filter_map(|name| self.view(now, name));
        let waiting = views.flat_map(|view| view.queue_reports()).collect();
        let scope = self.digest_tracker.next_scope(now, self.digest_timing.repeat_span(), leaving);
        let placed = self.digest_tracker.placed(scope);
        brief.policies.outcomes = self.outcome_reports(now, scope);
        if scope == DigestScope::Changes {
            let span = self.digest_timing.repeat_span();
            let spent = self.quotas.ledger().totals_since(now.before(span)).collect();
            let touched = self.digest_tracker.touched();
            let changed = touched.iter().filter_map(|key| self.targets.get(key));
            let targets =
                changed.map(|load| TargetReport { speed: None, ..load.report(now) }).collect();
            let data_centre = None;
            let changes = LoadDigest { scope, data_centre, targets, waiting, ..brief };
            let rollouts = self.rollout_progress(now, false);
            let digest = LoadDigest { placed, spent, rollouts, ..changes };
            return with_crashes(digest, self.crashes.recent_update(now, span));
        }
        let loaded = self.targets.values().filter(|load| load.has_news(now));
        let targets = loaded.map(|load| load.report(now)).collect();
        let crashes = self.crashes.full_update(now);
        brief.policies.usage = self.usage_reports(now, scope);
        with_crashes(LoadDigest { scope, targets, waiting, placed, ..brief }, crashes)
    }
}

/// Replaces what a digest reports of crashes.
fn with_crashes(mut digest: LoadDigest, mut crashes: CrashUpdate) -> LoadDigest {
    digest.policies.part_crashes = std::mem::take(&mut crashes.parts);
    LoadDigest { crashes, ..digest }
}
