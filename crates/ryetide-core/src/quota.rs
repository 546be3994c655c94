//! What organisations may use over all entry VMs together.
//!
//! Every VM counts what it let through for each organisation since it started, and tells its peers
//! the running total. A VM's bucket is drained by its own use and by what the peers report, so all
//! buckets show nearly the same level without anyone being asked before a request goes out.
//!
//! A VM that cannot hear some of its peers fills its bucket more slowly, by the part of the VMs that
//! it hears. The parts of a partition's two sides add up to one, so the rate over all VMs stays the
//! agreed one whoever is cut off.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::{OrganisationKey, VmName},
    peer_board::HEARD_SPAN,
    units::Moment,
};

/// What one unit of a quota is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaUnit {
    /// A request.
    Requests,
    /// A token, prompt and generated.
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
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once after a quiet time.
    pub burst: f64,
    /// Tokens that a request counts as when it does not say how many it takes.
    pub default_tokens: u64,
}

impl QuotaRule {
    /// Returns the units that a request of `tokens` takes.
    pub fn cost_of(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => tokens.unwrap_or(self.default_tokens),
        }
    }
}

/// A bucket less full than this part of a burst may be empty before peers next hear of it.
const SHORT_PART: f64 = 0.5;

/// What a request takes from its organisation's bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaCharge {
    /// The organisation.
    pub key: OrganisationKey,
    /// The units.
    pub units: u64,
}

/// One organisation's bucket as this VM sees it.
#[derive(Debug)]
struct QuotaBucket {
    level: f64,
    rate: f64,
    burst: f64,
    filled_at: Moment,
    /// Units that this VM has let through since it started.
    spent: u64,
    /// When that last changed.
    spent_at: Moment,
}

/// What peers used of an organisation's quota before this VM had a bucket for it.
#[derive(Clone, Copy, Debug)]
struct EarlyUse {
    since: Moment,
    units: f64,
}

impl EarlyUse {
    /// What is left of a full bucket.
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
    /// The running totals last heard from each peer.
    heard: BTreeMap<(VmName, OrganisationKey), u64>,
    /// The peers that have told all their totals: of an organisation that they did not name, nothing was used.
    whole: BTreeSet<VmName>,
    /// What peers used of organisations for which nobody has asked here yet.
    early: BTreeMap<OrganisationKey, EarlyUse>,
    /// The part of the entry VMs that this one hears, itself included.
    heard_part: f64,
}

impl Default for QuotaLedger {
    fn default() -> Self {
        Self {
            buckets: BTreeMap::new(),
            heard: BTreeMap::new(),
            whole: BTreeSet::new(),
            early: BTreeMap::new(),
            heard_part: 1.0,
        }
    }
}

impl QuotaLedger {
    /// Sets the part of the entry VMs that this one hears, itself included; 1 is all of them.
    ///
    /// What is left in a bucket is this VM's part of what is left for all VMs that it hears, so it grows and
    /// shrinks with them. After all VMs were killed at once each starts with its own part of a burst; kept at
    /// that when they heard each other, nine VMs let an organisation that had used nothing have 1,206 units in
    /// the first second, of 1,800 that its rate and its burst give.
    pub fn set_heard_part(&mut self, part: f64) {
        let part = part.clamp(0.0, 1.0);
        let change = if self.heard_part > 0.0 { part / self.heard_part } else { 1.0 };
        self.heard_part = part;
        for bucket in self.buckets.values_mut() {
            bucket.rate *= change;
            bucket.burst *= change;
            // A debt stays: it was run up by all of them.
            if bucket.level > 0.0 {
                bucket.level *= change;
            }
        }
    }

    /// Takes what a request costs from its organisation's bucket.
    ///
    /// # Errors
    ///
    /// Returns the time after which as many units will be there, when they are not now.
    pub fn take(
        &mut self,
        now: Moment,
        rule: &QuotaRule,
        charge: QuotaCharge,
    ) -> Result<(), Duration> {
        self.take_above(now, rule, charge, 0.0)
    }

    /// Takes what a request costs from a bucket in which `room` units are left then.
    ///
    /// # Errors
    ///
    /// Returns the time after which as many units will be there, when they are not now.
    pub fn take_above(
        &mut self,
        now: Moment,
        rule: &QuotaRule,
        charge: QuotaCharge,
        room: f64,
    ) -> Result<(), Duration> {
        let QuotaCharge { key, units } = charge;
        let (rate, burst) = (rule.rate * self.heard_part, rule.burst * self.heard_part);
        let bucket = self.buckets.entry(key).or_insert_with(|| {
            let early = self.early.remove(&key);
            let level = early.map_or(burst, |early| early.level(now, rate, burst));
            QuotaBucket { level, rate, burst, filled_at: now, spent: 0, spent_at: now }
        });
        bucket.fill(now, rate, burst);
        // A request larger than the burst is let through from a full bucket, or it never would be.
        let needed = (units as f64 + room).min(burst);
        if bucket.level < needed {
            return Err(refill_time(needed - bucket.level, rate));
        }
        bucket.level -= units as f64;
        bucket.spent += units;
        bucket.spent_at = now;
        Ok(())
    }

    /// Returns the units that this VM gives out at once after a quiet time.
    pub fn burst_of(&self, rule: &QuotaRule) -> f64 {
        rule.burst * self.heard_part
    }

    /// Returns the time until a request's units are there beside `more` others. It may be longer than a whole
    /// bucket takes, since the others are taken meanwhile.
    pub fn time_until(
        &self,
        now: Moment,
        rule: &QuotaRule,
        charge: QuotaCharge,
        more: f64,
    ) -> Duration {
        let rate = rule.rate * self.heard_part;
        let level = self.buckets.get(&charge.key).map_or(0.0, |bucket| {
            let passed = now.since(bucket.filled_at).as_secs_f64();
            (bucket.level + passed * rate).min(bucket.burst)
        });
        refill_time(charge.units as f64 + more - level, rate)
    }

    /// Puts back what a request took that did not run after all.
    pub fn give_back(&mut self, charge: QuotaCharge) {
        if let Some(bucket) = self.buckets.get_mut(&charge.key) {
            bucket.level += charge.units as f64;
            bucket.spent = bucket.spent.saturating_sub(charge.units);
        }
    }

    /// Takes a peer's running total. One that a peer names first is only remembered, unless all its totals were
    /// known before: what it let through before this VM heard of it cannot be told from what it lets through now.
    ///
    /// With hundreds of VMs such first requests are much of what an organisation may use. Counted at no other VM,
    /// and each VM taking a bucket that it had not used yet for full, 195 VMs that had started together let an
    /// organisation at three times its usual load have 5.50 million units in eight seconds, of 5.18 million.
    ///
    /// What a peer let through while it was taken for unheard came from its own part of the rate, which this VM
    /// did not fill its buckets with. Charged at the end of a cut of six seconds, it put all organisations in
    /// debt at once: for a second 28 of 98 requests were refused as over quota, on both sides.
    pub fn note_peer(
        &mut self,
        now: Moment,
        peer: &VmName,
        key: OrganisationKey,
        total: u64,
        unheard: Duration,
    ) {
        let first = if self.whole.contains(peer) { 0 } else { total };
        let before = self.heard.insert((peer.clone(), key), total).unwrap_or(first);
        let counted = HEARD_SPAN.as_secs_f64() / unheard.max(HEARD_SPAN).as_secs_f64();
        let used = total.saturating_sub(before) as f64 * counted;
        match self.buckets.get_mut(&key) {
            Some(bucket) => {
                // What has come in since the last request here is counted first. Else the use of three seconds
                // would pass for a debt, of which no more than a burst is paid back: a VM that an organisation
                // asks seldom would always find its bucket full.
                bucket.fill(now, bucket.rate, bucket.burst);
                bucket.level -= used;
            }
            None => {
                let new = EarlyUse { since: now, units: 0.0 };
                self.early.entry(key).or_insert(new).units += used;
            }
        }
    }

    /// Notes that a peer has told all its totals.
    pub fn note_whole(&mut self, peer: &VmName) {
        if !self.whole.contains(peer) {
            self.whole.insert(peer.clone());
        }
    }

    /// Forgets a peer's totals: it has started anew.
    pub fn forget_peer(&mut self, peer: &VmName) {
        self.heard.retain(|(name, _), _| name != peer);
        self.whole.remove(peer);
    }

    /// Returns whether an organisation has used up more than half of what it may use at once.
    pub fn is_short(&self) -> bool {
        self.buckets.values().any(|bucket| bucket.level < bucket.burst * SHORT_PART)
    }

    /// Returns those of this VM's own running totals that have changed since a moment.
    pub fn totals_since(&self, since: Moment) -> impl Iterator<Item = (OrganisationKey, u64)> + '_ {
        let changed = self.buckets.iter().filter(move |(_, bucket)| bucket.spent_at >= since);
        changed.map(|(key, bucket)| (*key, bucket.spent))
    }

    /// Returns this VM's own running totals.
    pub fn totals(&self) -> impl Iterator<Item = (OrganisationKey, u64)> + '_ {
        self.buckets.iter().map(|(key, bucket)| (*key, bucket.spent))
    }
}

/// Returns the time in which `missing` units come in, at most a minute.
fn refill_time(missing: f64, rate: f64) -> Duration {
    Duration::from_secs_f64((missing / rate.max(1e-3)).clamp(0.0, 60.0))
}

impl QuotaBucket {
    fn fill(&mut self, now: Moment, rate: f64, burst: f64) {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        (self.rate, self.burst) = (rate, burst);
        // Several VMs may have let requests through at the same moment; the debt is paid back, but
        // never more than a burst of it, so that a garbled total cannot shut an organisation out.
        self.level = (self.level.max(-burst) + passed * rate).min(burst);
    }
}
