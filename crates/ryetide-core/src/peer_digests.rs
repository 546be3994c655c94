//! The other entry VMs: their last digests, and which of them are reachable.

use std::{cmp::Ordering, collections::BTreeMap, time::Duration};

use crate::{
    cell_plan::CellMember,
    ids::{DataCentreName, Incarnation, ServiceKey, VmName},
    load_digest::{FleetState, LoadDigest, QueueReport},
    slot_turn::{SlotClaimant, UrgencyClass},
    units::{Moment, Revision},
    watcher_selection::WATCH_SPAN,
};

/// A peer is reachable while its last digest is younger than this: the longest interval between two
/// digests twice, and a margin.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A peer whose last digest is older than this no longer counts as serving, and its share of quotas
/// and limits goes to the others.
const SERVING_TIMEOUT: Duration = Duration::from_secs(20);

/// A peer that was last heard longer ago than this no longer divides what VMs grant without asking
/// each other. A peer that is silent may be cut off and serve its callers, and one that has left may
/// be back where this VM cannot hear it: both still use their parts. Data centres lose each other for
/// minutes.
const DIVIDING_TIMEOUT: Duration = Duration::from_secs(600);
/// A VM that starts is listed within this time, so that VMs which start together find each other.
const SETTLING_SPAN: Duration = Duration::from_secs(2);

/// A peer whose last digest is older than this is not a member of a cell: its callers have moved to
/// other VMs.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct PeerRecord {
    incarnation: Incarnation,
    sequence: u64,
    placed: u32,
    received_at: Moment,
    leaving: bool,
    data_centre: Option<DataCentreName>,
    revision: Revision,
    registry: u64,
    /// Whether the peer watches the source of routes and targets.
    watches: bool,
    waiting: Vec<QueueReport>,
}

/// The effect of applying a digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DigestChange {
    /// The digest is not newer than the last one of the peer.
    Stale,
    /// The digest is newer than the last one; placements above `placed` have not been applied.
    Newer {
        /// The number of the last placement that was applied.
        placed: u32,
        /// The time since the last digest of the peer.
        silent_for: Duration,
    },
    /// The peer was not known in this incarnation.
    NewIncarnation,
}

/// Whether this VM's routes and targets are older than those of a reachable peer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FeedLag {
    /// A peer has a newer revision of the routes.
    pub routes: bool,
    /// A peer has received newer changes of targets.
    pub targets: bool,
}

/// Requests queued at peers that go before, or on a level with, a request queued here.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AheadCount {
    /// Requests of a more urgent class.
    pub better: u32,
    /// Requests of the same class.
    pub equal: u32,
}

/// The assumed number of VMs before the list of VMs has been read: the most of a deployment that is
/// one cell.
const ASSUMED_COUNT: usize = 12;

/// A peer that is listed and has not sent a digest yet.
#[derive(Clone, Debug)]
struct ListedPeer {
    since: Moment,
    data_centre: DataCentreName,
}

/// The peers of this VM.
#[derive(Debug, Default)]
pub struct PeerDigests {
    records: BTreeMap<VmName, PeerRecord>,
    /// Peers that are listed and have not sent a digest yet. None before the list has been read.
    unreported: Option<BTreeMap<VmName, ListedPeer>>,
    /// When the list was first read.
    listed_since: Option<Moment>,
}

impl PeerDigests {
    /// Records what a digest says about the peer itself.
    pub fn apply(&mut self, now: Moment, from: &VmName, digest: &LoadDigest) -> DigestChange {
        let known =
            self.records.get(from).filter(|record| record.incarnation == digest.incarnation);
        let change = match known {
            Some(record) if record.sequence >= digest.sequence => return DigestChange::Stale,
            Some(record) => DigestChange::Newer {
                placed: record.placed,
                silent_for: now.since(record.received_at),
            },
            None => DigestChange::NewIncarnation,
        };
        let placed = match change {
            DigestChange::Newer { placed, .. } => placed,
            DigestChange::Stale | DigestChange::NewIncarnation => 0,
        };
        // A digest of changes does not name the data centre. It comes from earlier digests then, or
        // from the list.
        let listed = self.unreported.as_ref().and_then(|unreported| unreported.get(from));
        let listed_centre = listed.map(|peer| peer.data_centre.clone());
        let known_centre = known.and_then(|record| record.data_centre.clone()).or(listed_centre);
        let record = PeerRecord {
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            placed: digest.placed.last().map_or(placed, |placed| placed.number),
            received_at: now,
            leaving: digest.leaving,
            data_centre: digest.data_centre.clone().or(known_centre),
            revision: digest.revision,
            registry: digest.registry,
            watches: digest.watch.is_some() && !digest.leaving,
            waiting: digest.waiting.clone(),
        };
        self.records.insert(from.clone(), record);
        if let Some(unreported) = &mut self.unreported {
            unreported.remove(from);
        }
        change
    }

    /// Records the list of peers. Listed peers count before their first digest. Otherwise, after
    /// all VMs were killed at once, each VM would take itself for the only one and let an
    /// organisation's callers use the whole quota at every VM.
    pub fn list(&mut self, now: Moment, listed: &[CellMember]) {
        self.listed_since.get_or_insert(now);
        let before = self.unreported.take().unwrap_or_default();
        let unreported = listed.iter().filter(|member| !self.records.contains_key(&member.name));
        let peer = |member: &CellMember| {
            let since = before.get(&member.name).map_or(now, |peer| peer.since);
            let data_centre = member.data_centre.clone();
            (member.name.clone(), ListedPeer { since, data_centre })
        };
        self.unreported = Some(unreported.map(peer).collect());
    }

    /// Returns the number of entry VMs that count as serving, this one included.
    pub fn known_count(&self, now: Moment) -> usize {
        let serving = self.records.values().filter(|it| !it.leaving);
        let known =
            serving.filter(|record| now.since(record.received_at) < SERVING_TIMEOUT).count() + 1;
        let Some(unreported) = &self.unreported else { return known.max(ASSUMED_COUNT) };
        known + unreported.values().filter(|peer| now.since(peer.since) < SERVING_TIMEOUT).count()
    }

    /// Returns the number of entry VMs that divide what each grants without asking the others, this
    /// one included. It is never too low for long, and `None` until the list of VMs can be complete.
    pub fn dividing_count(&self, now: Moment) -> Option<usize> {
        let is_settled = now.since(self.listed_since?) >= SETTLING_SPAN;
        let is_recent = |at: Moment| now.since(at) < DIVIDING_TIMEOUT;
        let heard = self.records.values().filter(|record| is_recent(record.received_at));
        let listed = self.unreported.iter().flatten().filter(|(_, peer)| is_recent(peer.since));
        is_settled.then(|| heard.count() + listed.count() + 1)
    }

    /// Returns the peers that count as serving; none before the list of them has been read.
    pub fn known(&self, now: Moment) -> Option<Vec<&VmName>> {
        let unreported = self.unreported.as_ref()?;
        let listed = unreported.iter().filter(|(_, peer)| now.since(peer.since) < SERVING_TIMEOUT);
        let serving = self.records.iter().filter(|(_, record)| !record.leaving);
        let recent = serving.filter(|(_, record)| now.since(record.received_at) < SERVING_TIMEOUT);
        Some(recent.map(|(name, _)| name).chain(listed.map(|(name, _)| name)).collect())
    }

    /// Returns the peers that may be members of cells: those with a recent digest, and those just
    /// listed. Listed peers are included because no VM has received a digest after all VMs were
    /// killed at once, and VMs that then sent full digests to all of 69 others would have no
    /// processor time left to receive any.
    pub fn members(&self, now: Moment) -> Vec<CellMember> {
        let serving = self.records.iter().filter(|(_, record)| !record.leaving);
        let recent = serving.filter(|(_, record)| now.since(record.received_at) < MEMBER_TIMEOUT);
        let member = |(name, record): (&VmName, &PeerRecord)| {
            Some(CellMember { name: name.clone(), data_centre: record.data_centre.clone()? })
        };
        let unreported = self.unreported.iter().flatten();
        let listed = unreported.filter(|(_, peer)| now.since(peer.since) < MEMBER_TIMEOUT);
        let listed_member = |(name, peer): (&VmName, &ListedPeer)| CellMember {
            name: name.clone(),
            data_centre: peer.data_centre.clone(),
        };
        recent.filter_map(member).chain(listed.map(listed_member)).collect()
    }

    /// Returns a peer's data centre, if it is known.
    pub fn data_centre(&self, peer: &VmName) -> Option<&DataCentreName> {
        self.records.get(peer)?.data_centre.as_ref()
    }

    /// Returns whether a peer is reachable and not shutting down, so that it can relay digests.
    pub fn is_available(&self, now: Moment, peer: &VmName) -> bool {
        let is_available =
            |record: &PeerRecord| !record.leaving && now.since(record.received_at) < PEER_TIMEOUT;
        self.records.get(peer).is_some_and(is_available)
    }

    /// Returns whether a peer was heard recently, even if it is shutting down.
    pub fn is_reachable(&self, now: Moment, peer: &VmName) -> bool {
        let is_recent = |record: &PeerRecord| now.since(record.received_at) < PEER_TIMEOUT;
        self.records.get(peer).is_some_and(is_recent)
    }

    /// Returns the share of the serving entry VMs that are reachable, this one included.
    pub fn reachable_share(&self, now: Moment) -> f64 {
        let reachable = self.reachable(now).filter(|record| !record.leaving).count() + 1;
        reachable as f64 / self.known_count(now) as f64
    }

    /// Returns whether reachable peers have newer routes or targets than this VM, whose state is
    /// `state`.
    pub fn feed_lag(&self, now: Moment, state: FleetState) -> FeedLag {
        FeedLag {
            routes: self.reachable(now).any(|record| record.revision > state.revision),
            targets: self.reachable(now).any(|record| record.registry > state.registry_reached),
        }
    }

    /// Returns the peers that watch the source of routes and targets, by their last digests.
    pub fn watching(&self, now: Moment) -> impl Iterator<Item = &VmName> {
        let recent = self
            .records
            .iter()
            .filter(move |(_, record)| now.since(record.received_at) < WATCH_SPAN);
        recent.filter(|(_, record)| record.watches).map(|(vm, _)| vm)
    }

    /// Returns the number of requests at peers in more urgent classes than `class`, and in the same
    /// class.
    pub fn ahead(&self, now: Moment, service: ServiceKey, class: UrgencyClass) -> AheadCount {
        let reports = self.reachable(now).flat_map(|record| record.waiting.iter());
        let mut ahead = AheadCount::default();
        for report in reports.filter(|report| report.service == service) {
            match report.class.cmp(&class) {
                Ordering::Less => ahead.better += u32::from(report.count),
                Ordering::Equal => ahead.equal += u32::from(report.count),
                Ordering::Greater => {}
            }
        }
        ahead
    }

    /// Returns the peers with queued requests for a service, each with its most urgent class.
    pub fn claimants(&self, now: Moment, service: ServiceKey) -> Vec<SlotClaimant<'_>> {
        let reachable =
            self.records.iter().filter(|(_, record)| now.since(record.received_at) < PEER_TIMEOUT);
        let claimants = reachable.filter_map(|(vm, record)| {
            let reports = record.waiting.iter().filter(|report| report.service == service);
            Some(SlotClaimant { vm, class: reports.map(|report| report.class).min()? })
        });
        claimants.collect()
    }

    /// Returns the number of requests queued at peers for a service.
    pub fn waiting(&self, now: Moment, service: ServiceKey) -> u32 {
        let reports = self.reachable(now).flat_map(|record| record.waiting.iter());
        reports
            .filter(|report| report.service == service)
            .map(|report| u32::from(report.count))
            .sum()
    }

    fn reachable(&self, now: Moment) -> impl Iterator<Item = &PeerRecord> {
        self.records.values().filter(move |record| now.since(record.received_at) < PEER_TIMEOUT)
    }
}
