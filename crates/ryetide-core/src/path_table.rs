//! Which targets this VM reaches directly, and which only through a peer.
//!
//! A VM can lose its network path to targets that other VMs still reach. What one request finds out
//! serves the next ones: they open their connections through a peer, until a probe shows that the
//! direct path works again. A VM that has lost its path to several targets one after the other, and
//! has reached none since, presumes that it is cut off from all.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::TargetKey, units::Moment};

/// The time between two probes of a lost path.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The most probes that are sent at once.
const MAX_PROBES: usize = 8;
/// The number of targets that must have been lost, with none reached since, for this VM to presume
/// that it is cut off from all.
const MIN_LOST_TARGETS: usize = 2;

/// How connections to a target are opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetPath {
    /// By this VM itself.
    Direct,
    /// By a peer.
    ThroughPeer,
}

#[derive(Clone, Copy, Debug)]
struct LostPath {
    since: Moment,
    next_probe: Moment,
}

/// The paths from this VM to the targets.
#[derive(Clone, Debug, Default)]
pub struct PathTable {
    lost: BTreeMap<TargetKey, LostPath>,
    /// When a direct connection to any target was last opened.
    reached_at: Moment,
}

impl PathTable {
    /// Returns how connections to a target are opened.
    pub fn path(&self, target: TargetKey) -> TargetPath {
        match self.lost.contains_key(&target) || self.is_cut_off() {
            true => TargetPath::ThroughPeer,
            false => TargetPath::Direct,
        }
    }

    /// Whether this VM presumably reaches no target.
    pub fn is_cut_off(&self) -> bool {
        let since = |path: &&LostPath| path.since > self.reached_at;
        self.lost.values().filter(since).count() >= MIN_LOST_TARGETS
    }

    /// Returns the number of targets whose direct path is lost.
    pub fn lost_count(&self) -> usize {
        self.lost.len()
    }

    /// Records that a direct connection to a target was opened. Returns whether its path had been
    /// lost. The other lost paths are probed at once, since a partition mostly ends for all of them
    /// together.
    pub fn record_reached(&mut self, now: Moment, target: TargetKey) -> bool {
        self.reached_at = now;
        let was_lost = self.lost.remove(&target).is_some();
        if was_lost {
            self.lost.values_mut().for_each(|path| path.next_probe = now);
        }
        was_lost
    }

    /// Records that a peer has reached a target which this VM did not reach. Returns whether this is
    /// new.
    pub fn record_lost(&mut self, now: Moment, target: TargetKey) -> bool {
        let path = LostPath { since: now, next_probe: now + PROBE_INTERVAL };
        let is_new = !self.lost.contains_key(&target);
        self.lost.entry(target).or_insert(path);
        is_new
    }

    /// Returns the targets whose lost paths are to be probed now, those that are due longest first.
    pub fn take_due_probes(&mut self, now: Moment) -> Vec<TargetKey> {
        let due = self.lost.iter().filter(|(_, path)| path.next_probe <= now);
        let mut due: Vec<(Moment, TargetKey)> =
            due.map(|(target, path)| (path.next_probe, *target)).collect();
        due.sort_unstable();
        due.truncate(MAX_PROBES);
        for (_, target) in &due {
            if let Some(path) = self.lost.get_mut(target) {
                path.next_probe = now + PROBE_INTERVAL;
            }
        }
        due.into_iter().map(|(_, target)| target).collect()
    }

    /// Forgets the targets for which `is_known` does not hold.
    pub fn retain(&mut self, is_known: impl Fn(TargetKey) -> bool) {
        self.lost.retain(|target, _| is_known(*target));
    }
}
