//! Selects the peer that opens a connection for this VM.
//!
//! Every VM can be such a helper. Peers of this VM's data centre or of the target's come first,
//! since bytes then cross between data centres once, as they would directly. Among those, the one
//! with the fewest of this VM's tunnels is taken, so that the work spreads over all of them. A peer
//! that has failed or declined is avoided for a short time, unless there is no other.

use std::{collections::BTreeMap, time::Duration};

use xxhash_rust::xxh3;

use crate::{
    ids::{DataCentreName, VmName},
    units::Moment,
};

/// How long a peer that did not help is avoided.
const AVOID_SPAN: Duration = Duration::from_millis(1_000);

/// A peer that may open a connection for this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HelperCandidate {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
}

#[derive(Clone, Copy, Debug, Default)]
struct HelperRecord {
    /// This VM's tunnels through the peer.
    open: u32,
    avoided_until: Moment,
}

/// The peers through which this VM opens connections to targets.
#[derive(Debug)]
pub struct TunnelHelpers {
    records: BTreeMap<VmName, HelperRecord>,
    /// Varies the choice among otherwise equal peers.
    seed: u64,
    choices: u64,
}

impl TunnelHelpers {
    /// Creates the state without any tunnel. VMs with different seeds prefer different peers.
    pub fn new(seed: u64) -> Self {
        Self { records: BTreeMap::new(), seed, choices: 0 }
    }

    /// Returns the best of `candidates` for a tunnel to a target; `near` tells which data centres
    /// are preferred.
    pub fn choose<'a>(
        &mut self,
        now: Moment,
        candidates: &'a [HelperCandidate],
        near: impl Fn(&DataCentreName) -> bool,
    ) -> Option<&'a HelperCandidate> {
        self.choices = self.choices.wrapping_add(1);
        let rank = |candidate: &&HelperCandidate| {
            let record = self.records.get(&candidate.name).copied().unwrap_or_default();
            let is_avoided = now < record.avoided_until;
            let draw = self.draw(&candidate.name);
            (is_avoided, !near(&candidate.data_centre), record.open, draw)
        };
        candidates.iter().min_by_key(rank)
    }

    /// Records that a tunnel through a peer was opened.
    pub fn record_opened(&mut self, peer: &VmName) {
        let record = self.records.entry(peer.clone()).or_default();
        record.open += 1;
        record.avoided_until = Moment::default();
    }

    /// Records that a tunnel through a peer was closed.
    pub fn record_closed(&mut self, peer: &VmName) {
        if let Some(record) = self.records.get_mut(peer) {
            record.open = record.open.saturating_sub(1);
        }
    }

    /// Records that a peer did not help: it could not be reached, declined, or broke off a tunnel.
    pub fn record_failed(&mut self, now: Moment, peer: &VmName) {
        self.records.entry(peer.clone()).or_default().avoided_until = now + AVOID_SPAN;
    }

    /// Forgets the peers for which `is_listed` does not hold and that have no tunnel.
    pub fn retain(&mut self, is_listed: impl Fn(&VmName) -> bool) {
        self.records.retain(|peer, record| record.open > 0 || is_listed(peer));
    }

    fn draw(&self, peer: &VmName) -> u64 {
        xxh3::xxh3_64_with_seed(peer.as_str().as_bytes(), self.seed ^ self.choices)
    }
}
