//! What a scheduler takes from its peers' digests, and what it tells in its own.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    digest_pace::DigestPace,
    digest_route::{DigestPeer, DigestRecipients},
    ids::{TargetKey, VmName},
    load_digest::{DigestEnvelope, DigestScope, FleetNews, LoadDigest, TargetMark},
    peer_board::{self, DigestChange},
    scheduler::Scheduler,
    units::{Moment, Tokens},
};

impl Scheduler {
    /// Takes a peer's digest.
    pub fn take_digest(&mut self, now: Moment, envelope: DigestEnvelope) {
        let DigestEnvelope { from, digest } = envelope;
        let (placed_before, unheard) = match self.peers.take(now, &from, &digest) {
            DigestChange::Stale => return,
            DigestChange::Newer { placed, unheard } => (placed, unheard),
            DigestChange::NewLife => {
                self.quotas.forget_peer(&from);
                self.crashes.retell(now);
                (digest.placed.last().map_or(0, |placed| placed.number), Duration::ZERO)
            }
        };
        if unheard >= peer_board::HEARD_SPAN {
            self.crashes.retell(now);
        }
        self.crashes.take(now, &digest.crashes);
        if !digest.rollouts.is_empty() {
            self.with_rollouts(now, |desk, now| {
                desk.take_marks(now, &from, digest.incarnation, &digest.rollouts);
            });
        }
        self.take_limits(now, &digest.limits);
        // What a peer that is heard again has used is charged to a bucket that has grown by its part.
        self.note_peers(now);
        self.forget_marks(now, &from, &digest);
        for mark in &digest.targets {
            if let Some(load) = self.targets.get_mut(&mark.target) {
                load.take_mark(now, &from, *mark);
                load.refresh(now, &self.options.assumed);
            }
        }
        for placed in digest.placed.iter().filter(|placed| placed.number > placed_before) {
            if let Some(load) = self.targets.get_mut(&placed.target) {
                load.memory_mut().note(now, placed.part, Tokens(u64::from(placed.tokens)));
            }
        }
        for (key, total) in &digest.spent {
            self.quotas.ledger_mut().note_peer(now, &from, *key, *total, unheard);
        }
        if digest.scope != DigestScope::Changes {
            self.quotas.ledger_mut().note_whole(&from);
        }
        self.pump_all(now);
    }

    /// Forgets what a peer said before of targets of which a whole digest says nothing any more.
    fn forget_marks(&mut self, now: Moment, from: &VmName, digest: &LoadDigest) {
        let told = digest.targets.iter().map(|mark| mark.target);
        if digest.scope != DigestScope::Whole {
            self.marked.entry(from.clone()).or_default().extend(told);
            return;
        }
        let told: BTreeSet<TargetKey> = told.collect();
        let before = self.marked.get(from).into_iter().flatten();
        let ended: Vec<TargetKey> = before.filter(|key| !told.contains(key)).copied().collect();
        self.marked.insert(from.clone(), told);
        for key in &ended {
            if let Some(load) = self.targets.get_mut(key) {
                load.forget_mark(now, from);
            }
        }
    }

    /// Returns what this VM tells all peers that are not of its cell.
    pub fn brief_digest(&mut self, now: Moment, news: FleetNews, leaving: bool) -> LoadDigest {
        self.leaving |= leaving;
        LoadDigest {
            incarnation: self.options.incarnation,
            sequence: self.teller.next_sequence(),
            leaving,
            scope: DigestScope::Brief,
            data_centre: Some(self.options.data_centre.clone()),
            revision: news.revision,
            registry: news.registry,
            watch: news.watch,
            spent: self.quotas.ledger().totals().collect(),
            crashes: self.crashes.brief_news(now),
            leaving_targets: news.leaving_targets,
            rollouts: self.rollout_marks(now, true),
            limits: self.limits.told(now),
            ..LoadDigest::default()
        }
    }

    /// Draws who of `listed` gets the next digest for this VM's cell.
    pub fn mate_recipients(&mut self, now: Moment, listed: &[DigestPeer]) -> DigestRecipients {
        let mates = listed.iter().filter(|peer| self.plan.is_mate(&peer.name));
        let mates: Vec<DigestPeer> = mates.cloned().collect();
        let peers = &self.peers;
        let recipients = self.route.draw_mates(&mates, |vm| peers.passes_on(now, vm));
        let is_passed_on = !recipients.relays.is_empty();
        self.pace =
            if is_passed_on { DigestPace::passed_on() } else { DigestPace::direct(mates.len()) };
        recipients
    }

    /// Draws who of `listed` gets the next brief digest: all that are not of this VM's cell are told.
    pub fn other_recipients(&mut self, now: Moment, listed: &[DigestPeer]) -> DigestRecipients {
        let others = listed.iter().filter(|peer| !self.plan.is_mate(&peer.name));
        let others: Vec<DigestPeer> = others.cloned().collect();
        let peers = &self.peers;
        self.route.draw_others(&self.options.data_centre, &others, |vm| peers.passes_on(now, vm))
    }

    /// Returns what this VM tells the peers of its cell: everything now and then, and what has changed
    /// lately in between.
    pub fn digest(&mut self, now: Moment, news: FleetNews, leaving: bool) -> LoadDigest {
        let brief = self.brief_digest(now, news, leaving);
        let waiting = self.services.keys().filter_map(|name| self.view(now, name));
        let waiting = waiting.flat_map(|view| view.wait_marks()).collect();
        let scope = self.teller.next_scope(now, self.pace.change_span(), leaving);
        let placed = self.teller.placed(scope);
        if scope == DigestScope::Changes {
            let span = self.pace.change_span();
            let spent = self.quotas.ledger().totals_since(now.before(span)).collect();
            let touched = self.teller.touched();
            let told = touched.iter().filter_map(|key| self.targets.get(key));
            let targets = told.map(|load| TargetMark { pace: None, ..load.mark(now) }).collect();
            let (data_centre, crashes) = (None, self.crashes.changed_news(now, span));
            let told = LoadDigest { scope, data_centre, targets, waiting, ..brief };
            let rollouts = self.rollout_marks(now, false);
            return LoadDigest { placed, spent, crashes, rollouts, ..told };
        }
        let told = self.targets.values().filter(|load| load.has_news(now));
        let targets = told.map(|load| load.mark(now)).collect();
        let crashes = self.crashes.whole_news(now);
        LoadDigest { scope, targets, waiting, placed, crashes, ..brief }
    }
}
