//! Usage limits of organisations over all entry VMs together.
//!
//! Every VM counts the units that each organisation has used at this VM since it started, and sends
//! the running totals to its peers. Each VM keeps a token bucket per organisation, drained by its
//! own use and by what peers report, so all buckets have nearly the same level without a query
//! before each request.
//!
//! A VM that cannot reach some of its peers fills its buckets more slowly, by the share of the VMs
//! that it can reach. In a network partition the shares of both sides add up to one, so the total
//! rate stays the agreed one.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::{OrganisationKey, VmName},
    peer_digests::PEER_TIMEOUT,
    units::Moment,
};

/// The unit in which a quota is counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaUnit {
    /// A request.
    Requests,
    /// A token, of the prompt or generated.
    Tokens,
}

impl std::str::FromStr for QuotaUnit {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "requests" => Ok(Self::Requests),
            "tokens" => Ok(Self::Tokens),
            _ => Err(()),
        }
    }
}

/// An organisation's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// The unit in which use is counted.
    pub unit: QuotaUnit,
    /// Units per second.
    pub rate: f64,
    /// The capacity of the bucket: units that may be used at once after a time without use.
    pub burst: f64,
    /// The tokens charged for a request that does not state its size.
    pub default_tokens: u64,
}

impl QuotaRule {
    /// Returns the units that a request of `tokens` costs.
    pub fn cost_of(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => tokens.unwrap_or(self.default_tokens),
        }
    }
}

/// A bucket below this share of its burst may be empty before the next digest reaches the peers.
const LOW_LEVEL_SHARE: f64 = 0.5;

/// The units charged to an organisation's bucket for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaCharge {
    /// The organisation.
    pub key: OrganisationKey,
    /// The units.
    pub units: u64,
}

/// One organisation's bucket at this VM.
#[derive(Debug)]
struct QuotaBucket {
    level: f64,
    rate: f64,
    burst: f64,
    filled_at: Moment,
    /// Units used at this VM since it started.
    spent: u64,
    /// When `spent` last changed.
    spent_at: Moment,
}

/// What peers reported of an organisation's use before this VM had a bucket for it.
#[derive(Clone, Copy, Debug)]
struct EarlyUse {
    since: Moment,
    units: f64,
}

impl EarlyUse {
    /// Returns the level of a bucket that was full before the reported use.
    fn level(&self, now: Moment, rate: f64, burst: f64) -> f64 {
        let filled = now.since(self.since).as_secs_f64() * rate;
        (burst - self.units + filled).clamp(-burst, burst)
    }
}

/// The buckets of all organisations.
///
/// # Example
///
/// ```
/// use ryetide_core::quota::{QuotaCharge, QuotaLedger, QuotaRule, QuotaUnit};
/// use ryetide_core::{ids::{OrganisationKey, OrganisationName}, units::Moment};
///
/// let key = OrganisationKey::of(&OrganisationName::from("asha"));
/// let rule = QuotaRule { unit: QuotaUnit::Requests, rate: 1.0, burst: 2.0, default_tokens: 0 };
/// let mut ledger = QuotaLedger::default();
/// let now = Moment::from_millis(1);
/// let charge = QuotaCharge { key, units: 1 };
/// assert!(ledger.take(now, &rule, charge).is_ok());
/// assert!(ledger.take(now, &rule, charge).is_ok());
/// assert!(ledger.take(now, &rule, charge).is_err());
/// ```
#[derive(Debug)]
pub struct QuotaLedger {
    buckets: BTreeMap<OrganisationKey, QuotaBucket>,
    /// The last running totals received from each peer.
    peer_totals: BTreeMap<(VmName, OrganisationKey), u64>,
    /// The peers that have sent all their totals. An organisation missing from these totals has
    /// used nothing there.
    complete_peers: BTreeSet<VmName>,
    /// What peers reported for organisations without a bucket at this VM.
    early_use: BTreeMap<OrganisationKey, EarlyUse>,
    /// The share of the entry VMs that this one can reach, including itself.
    reachable_share: f64,
}

impl Default for QuotaLedger {
    fn default() -> Self {
        Self {
            buckets: BTreeMap::new(),
            peer_totals: BTreeMap::new(),
            complete_peers: BTreeSet::new(),
            early_use: BTreeMap::new(),
            reachable_share: 1.0,
        }
    }
}

impl QuotaLedger {
    /// Sets the share of the entry VMs that this one can reach, including itself; 1 means all.
    ///
    /// A bucket's level is this VM's share of what is left for all reachable VMs, so it scales with
    /// the share. VMs that start together each begin with a small share of the burst. If the level
    /// stayed there once they reach each other, organisations that have used nothing would get much
    /// less than their rate and burst in the first second.
    pub fn set_reachable_share(&mut self, share: f64) {
        let share = share.clamp(0.0, 1.0);
        let change = if self.reachable_share > 0.0 { share / self.reachable_share } else { 1.0 };
        self.reachable_share = share;
        for bucket in self.buckets.values_mut() {
            bucket.rate *= change;
            bucket.burst *= change;
            // A debt is kept unscaled, since all VMs together caused it.
            if bucket.level > 0.0 {
                bucket.level *= change;
            }
        }
    }

    /// Charges a request to its organisation's bucket.
    ///
    /// # Errors
    ///
    /// Returns the time until enough units are available, if they are not available now.
    pub fn take(
        &mut self,
        now: Moment,
        rule: &QuotaRule,
        charge: QuotaCharge,
    ) -> Result<(), Duration> {
        self.take_with_headroom(now, rule, charge, 0.0)
    }

    /// Charges a request to its organisation's bucket, if that leaves `headroom` units in it.
    ///
    /// # Errors
    ///
    /// Returns the time until enough units are available, if they are not available now.
    pub fn take_with_headroom(
        &mut self,
        now: Moment,
        rule: &QuotaRule,
        charge: QuotaCharge,
        headroom: f64,
    ) -> Result<(), Duration> {
        let QuotaCharge { key, units } = charge;
        let (rate, burst) = (rule.rate * self.reachable_share, rule.burst * self.reachable_share);
        let bucket = self.buckets.entry(key).or_insert_with(|| {
            let early = self.early_use.remove(&key);
            let level = early.map_or(burst, |early| early.level(now, rate, burst));
            QuotaBucket { level, rate, burst, filled_at: now, spent: 0, spent_at: now }
        });
        bucket.fill(now, rate, burst);
        // A request larger than the burst is admitted with a full bucket, since it never could be
        // otherwise.
        let needed = (units as f64 + headroom).min(burst);
        if bucket.level < needed {
            return Err(refill_time(needed - bucket.level, rate));
        }
        bucket.level -= units as f64;
        bucket.spent += units;
        bucket.spent_at = now;
        Ok(())
    }

    /// Returns this VM's share of the burst.
    pub fn burst_of(&self, rule: &QuotaRule) -> f64 {
        rule.burst * self.reachable_share
    }

    /// Returns the time until `more` units and those of a request are available. The result may
    /// exceed the time to fill a whole bucket, since other requests take units meanwhile.
    pub fn time_until(
        &self,
        now: Moment,
        rule: &QuotaRule,
        charge: QuotaCharge,
        more: f64,
    ) -> Duration {
        let rate = rule.rate * self.reachable_share;
        let level = self.buckets.get(&charge.key).map_or(0.0, |bucket| {
            let passed = now.since(bucket.filled_at).as_secs_f64();
            (bucket.level + passed * rate).min(bucket.burst)
        });
        refill_time(charge.units as f64 + more - level, rate)
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, charge: QuotaCharge) {
        if let Some(bucket) = self.buckets.get_mut(&charge.key) {
            bucket.level += charge.units as f64;
            bucket.spent = bucket.spent.saturating_sub(charge.units);
        }
    }

    /// Applies a running total received from a peer.
    ///
    /// The first total from a peer only sets the base, unless the peer has sent all its totals
    /// before: use from before the peer was known cannot be told from new use. With hundreds of
    /// VMs, such first requests are a large part of an organisation's use. If they counted at no
    /// other VM, and each VM took an unused bucket as full, organisations over their rate could
    /// exceed their quota after all VMs start together.
    ///
    /// Use by a peer that was unreachable for `unreachable_for` counts only in part. It came from the
    /// peer's own share of the rate, which this VM did not add to its buckets. Counted in full at
    /// the end of a network partition, it would put all organisations in debt at once, and their
    /// requests would be refused on both sides.
    pub fn record_peer_total(
        &mut self,
        now: Moment,
        peer: &VmName,
        key: OrganisationKey,
        total: u64,
        unreachable_for: Duration,
    ) {
        let first = if self.complete_peers.contains(peer) { 0 } else { total };
        let before = self.peer_totals.insert((peer.clone(), key), total).unwrap_or(first);
        let counted = PEER_TIMEOUT.as_secs_f64() / unreachable_for.max(PEER_TIMEOUT).as_secs_f64();
        let used = total.saturating_sub(before) as f64 * counted;
        match self.buckets.get_mut(&key) {
            Some(bucket) => {
                // Adds the refill since the last request at this VM first. Otherwise the use of
                // several seconds would count as debt, which is capped at one burst, and a VM that
                // an organisation uses rarely would always have a full bucket.
                bucket.fill(now, bucket.rate, bucket.burst);
                bucket.level -= used;
            }
            None => {
                let new = EarlyUse { since: now, units: 0.0 };
                self.early_use.entry(key).or_insert(new).units += used;
            }
        }
    }

    /// Records that a peer has sent all its totals.
    pub fn record_all_totals(&mut self, peer: &VmName) {
        if !self.complete_peers.contains(peer) {
            self.complete_peers.insert(peer.clone());
        }
    }

    /// Removes a peer's totals after the peer has restarted.
    pub fn forget_peer(&mut self, peer: &VmName) {
        self.peer_totals.retain(|(name, _), _| name != peer);
        self.complete_peers.remove(peer);
    }

    /// Whether any organisation has used more than half of its burst.
    pub fn is_short(&self) -> bool {
        self.buckets.values().any(|bucket| bucket.level < bucket.burst * LOW_LEVEL_SHARE)
    }

    /// Returns this VM's own running totals that have changed since a moment.
    pub fn totals_since(&self, since: Moment) -> impl Iterator<Item = (OrganisationKey, u64)> + '_ {
        let changed = self.buckets.iter().filter(move |(_, bucket)| bucket.spent_at >= since);
        changed.map(|(key, bucket)| (*key, bucket.spent))
    }

    /// Returns this VM's own running totals.
    pub fn totals(&self) -> impl Iterator<Item = (OrganisationKey, u64)> + '_ {
        self.buckets.iter().map(|(key, bucket)| (*key, bucket.spent))
    }
}

/// Returns the time in which `missing` units are refilled, at most a minute.
fn refill_time(missing: f64, rate: f64) -> Duration {
    Duration::from_secs_f64((missing / rate.max(1e-3)).clamp(0.0, 60.0))
}

impl QuotaBucket {
    fn fill(&mut self, now: Moment, rate: f64, burst: f64) {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        (self.rate, self.burst) = (rate, burst);
        // Several VMs may have admitted requests at the same moment. The debt is paid back, but at
        // most one burst of it, so that a corrupted total cannot lock an organisation out.
        self.level = (self.level.max(-burst) + passed * rate).min(burst);
    }
}
