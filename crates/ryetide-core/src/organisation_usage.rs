//! The engine time that each organisation's requests for a service have recently used.
//!
//! Every VM sums what it has served itself and adds what its peers report. All sums decay with the
//! same half-life, so an organisation's usage is its mean rate of use over some seconds. Peers
//! report only their heaviest organisations; the others count as light there. A second sum with a
//! longer half-life tells what an organisation usually uses.
//!
//! The sums are soft state. A VM that starts knows none, and a report that was lost is missing for
//! about one half-life.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::{OrganisationKey, RequestSequence, VmName},
    units::Moment,
};

/// The time in which a use of engine time loses half of its weight, in milliseconds. With 1 s,
/// single long answers decide the order; with 8 s, an overload of four seconds is half over before
/// it shows.
const HALF_LIFE_MS: u64 = 3_000;
/// The half-life of what an organisation usually uses, in milliseconds. An overload of eight times
/// the usual load raises it by a third in four seconds.
const USUAL_HALF_LIFE_MS: u64 = 60_000;
/// The multiple of its usual usage that an organisation is guaranteed. In a burst from all
/// organisations, large ones then do not yield to one that overloads the service.
const GUARANTEED_FACTOR: f64 = 2.0;
/// The half-life of usage.
pub const HALF_LIFE: Duration = Duration::from_millis(HALF_LIFE_MS);
/// The span of observations that is needed to tell usual use from an overload.
const MIN_HISTORY: Duration = Duration::from_secs(20);
/// A peer counts as a source of usage data for this long after its last report.
const SOURCE_TTL: Duration = HALF_LIFE.saturating_mul(2);
/// Sums below this, in seconds, are dropped, because they change no order.
const MIN_USAGE: f64 = 0.001;
/// The interval between two sorts of all organisations by usage. In this time usage decays by 6 %,
/// and 10,000 organisations are examined in about 1 ms.
const SORT_INTERVAL: Duration = Duration::from_millis(250);
/// The number of organisations, besides those with waiting requests, whose usage is considered. The
/// share of an organisation that is not among the 64 heaviest is never the one that is cut.
const MAX_HEAVIEST: usize = 64;
/// An organisation with a smaller part of a VM's usage is not reported. It is below every share
/// level, unless 64 organisations use about the same.
const MIN_REPORTED_PART: f64 = 1.0 / 64.0;

/// A sum that decays with a half-life in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingSum<const MILLIS: u64> {
    value: f64,
    at: Moment,
}

impl<const MILLIS: u64> DecayingSum<MILLIS> {
    /// Returns the sum at `now`.
    fn at(&self, now: Moment) -> f64 {
        let halves = now.since(self.at).as_secs_f64() * 1_000.0 / MILLIS as f64;
        self.value * 0.5_f64.powf(halves)
    }

    /// Adds to the sum, or subtracts from it down to zero.
    fn add(&mut self, now: Moment, amount: f64) {
        *self = Self { value: (self.at(now) + amount).max(0.0), at: now };
    }

    fn is_negligible(&self, now: Moment) -> bool {
        self.at(now) < MIN_USAGE
    }
}

/// Engine time, in seconds.
type RecentSum = DecayingSum<HALF_LIFE_MS>;

/// The fleet-wide use of one organisation.
#[derive(Debug, Default)]
struct FleetUsage {
    recent: RecentSum,
    usual: DecayingSum<USUAL_HALF_LIFE_MS>,
}

/// What one peer has reported.
#[derive(Debug, Default)]
struct PeerUsage {
    received_at: Moment,
    sums: BTreeMap<OrganisationKey, RecentSum>,
}

/// The recent usage of one service by organisation.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::{
///     ids::OrganisationKey, organisation_usage::{HALF_LIFE, OrganisationUsage}, units::Moment,
/// };
///
/// let (key, now) = (OrganisationKey(7), Moment::from_millis(1));
/// let mut usage = OrganisationUsage::default();
/// usage.charge(now, key, Duration::from_secs(2));
/// assert_eq!(usage.of(now + HALF_LIFE, key), 1.0);
/// ```
#[derive(Debug, Default)]
pub struct OrganisationUsage {
    own: BTreeMap<OrganisationKey, RecentSum>,
    peers: BTreeMap<VmName, PeerUsage>,
    /// The fleet-wide sums.
    totals: BTreeMap<OrganisationKey, FleetUsage>,
    /// When the first use was recorded.
    since: Option<Moment>,
    /// The organisations at the last sort, heaviest first.
    heaviest: Vec<OrganisationKey>,
    sorted_at: Option<Moment>,
    /// Recently queued requests below their organisation's share, and all of them.
    queued_below: RecentSum,
    queued: RecentSum,
    pub(crate) excess: ShareExcess,
}

/// Which organisations and requests were last found above their share, for logs and metrics.
#[derive(Debug, Default)]
pub(crate) struct ShareExcess {
    /// The organisations with waiting requests above their share.
    pub(crate) organisations: BTreeSet<OrganisationKey>,
    /// When each organisation was last logged.
    pub(crate) logged: BTreeMap<OrganisationKey, Moment>,
    /// The waiting requests that were counted as deferred.
    pub(crate) deferred: BTreeSet<RequestSequence>,
}

impl OrganisationUsage {
    /// Adds engine time that a request of this VM uses.
    pub fn charge(&mut self, now: Moment, organisation: OrganisationKey, used: Duration) {
        self.add_own(now, organisation, used.as_secs_f64());
    }

    /// Subtracts engine time that was charged for a request which did not run.
    pub fn refund(&mut self, now: Moment, organisation: OrganisationKey, unused: Duration) {
        self.add_own(now, organisation, -unused.as_secs_f64());
    }

    fn add_own(&mut self, now: Moment, organisation: OrganisationKey, seconds: f64) {
        self.own.entry(organisation).or_default().add(now, seconds);
        self.add_total(now, organisation, seconds);
    }

    /// Adds to the fleet-wide sums. What an organisation uses above its share while others wait
    /// does not become usual.
    fn add_total(&mut self, now: Moment, organisation: OrganisationKey, seconds: f64) {
        self.since.get_or_insert(now);
        let total = self.totals.entry(organisation).or_default();
        total.recent.add(now, seconds);
        if !self.excess.organisations.contains(&organisation) {
            total.usual.add(now, seconds);
        }
    }

    /// Applies a peer's report. An organisation that it does not list is no longer among the
    /// heaviest there, and its last reported usage decays.
    pub fn merge(
        &mut self,
        now: Moment,
        from: &VmName,
        reported: impl IntoIterator<Item = (OrganisationKey, u32)>,
    ) {
        let peer = self.peers.entry(from.clone()).or_default();
        peer.received_at = now;
        let mut changes = Vec::new();
        for (organisation, millis) in reported {
            let value = f64::from(millis) / 1_000.0;
            let before = peer.sums.insert(organisation, RecentSum { value, at: now });
            changes.push((organisation, value - before.map_or(0.0, |sum| sum.at(now))));
        }
        for (organisation, change) in changes {
            self.add_total(now, organisation, change);
        }
    }

    /// Returns the fleet-wide usage of an organisation, in seconds.
    pub fn of(&self, now: Moment, organisation: OrganisationKey) -> f64 {
        self.totals.get(&organisation).map_or(0.0, |total| total.recent.at(now))
    }

    /// Returns the fleet-wide usage that an organisation is guaranteed, in seconds, which follows
    /// from its usual rate; zero while the history is too short.
    pub fn guaranteed(&self, now: Moment, organisation: OrganisationKey) -> f64 {
        let age = self.since.map_or(Duration::ZERO, |since| now.since(since));
        let Some(total) = self.totals.get(&organisation).filter(|_| age >= MIN_HISTORY) else {
            return 0.0;
        };
        let halves = age.as_secs_f64() * 1_000.0 / USUAL_HALF_LIFE_MS as f64;
        let observed_part = 1.0 - 0.5_f64.powf(halves);
        let scale = HALF_LIFE_MS as f64 / USUAL_HALF_LIFE_MS as f64;
        total.usual.at(now) * scale / observed_part * GUARANTEED_FACTOR
    }

    /// Returns the organisations with their fleet-wide usage in seconds, heaviest first as of the
    /// last call of [`Self::refresh`].
    pub fn heaviest(&self, now: Moment) -> impl Iterator<Item = (OrganisationKey, f64)> {
        self.heaviest.iter().map(move |key| (*key, self.of(now, *key)))
    }

    /// Drops what has decayed and sorts the organisations anew, if that is due.
    pub fn refresh(&mut self, now: Moment) {
        if self.sorted_at.is_some_and(|at| now.since(at) < SORT_INTERVAL) {
            return;
        }
        self.sorted_at = Some(now);
        self.own.retain(|_, sum| !sum.is_negligible(now));
        for peer in self.peers.values_mut() {
            peer.sums.retain(|_, sum| !sum.is_negligible(now));
        }
        self.peers
            .retain(|_, peer| !peer.sums.is_empty() || now.since(peer.received_at) < HALF_LIFE);
        self.totals.retain(|_, total| !total.usual.is_negligible(now));
        let recent = self.totals.iter().map(|(key, total)| (as_millis(total.recent.at(now)), *key));
        let mut heaviest: Vec<(u64, OrganisationKey)> =
            recent.filter(|(millis, _)| *millis > 0).collect();
        heaviest.sort_by_key(|(millis, key)| (Reverse(*millis), *key));
        self.heaviest = heaviest.into_iter().map(|(_, key)| key).take(MAX_HEAVIEST).collect();
    }

    /// Returns this VM's own heaviest organisations with their usage in milliseconds.
    pub fn own_heaviest(&self, now: Moment) -> Vec<(OrganisationKey, u32)> {
        let total: f64 = self.own.values().map(|sum| sum.at(now)).sum();
        let min_reported = (total * MIN_REPORTED_PART).max(MIN_USAGE);
        let heavy = self.own.iter().map(|(key, sum)| (*key, sum.at(now)));
        let heavy = heavy.filter(|(_, used)| *used >= min_reported);
        let to_millis = |used| u32::try_from(as_millis(used)).unwrap_or(u32::MAX);
        let mut heavy: Vec<_> = heavy.map(|(key, used)| (key, to_millis(used))).collect();
        heavy.sort_by_key(|(key, millis)| (Reverse(*millis), *key));
        heavy
    }

    /// Returns the peers that have recently reported usage.
    pub fn sources(&self, now: Moment) -> impl Iterator<Item = &VmName> {
        let recent =
            self.peers.iter().filter(move |(_, peer)| now.since(peer.received_at) < SOURCE_TTL);
        recent.map(|(vm, _)| vm)
    }

    /// Records that a request was queued, above or below its organisation's share.
    pub fn record_queued(&mut self, now: Moment, is_above: bool) {
        self.queued.add(now, 1.0);
        if !is_above {
            self.queued_below.add(now, 1.0);
        }
    }

    /// Returns the decayed numbers of recently queued requests below their organisation's share,
    /// and of all.
    pub fn recently_queued(&self, now: Moment) -> (f64, f64) {
        (self.queued_below.at(now), self.queued.at(now))
    }
}

fn as_millis(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}
