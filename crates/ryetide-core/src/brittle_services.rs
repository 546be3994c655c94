//! Services whose targets are brittle: a target that has to turn away too many requests within a
//! second for want of room falls over.
//!
//! All targets of such a service say so in all their answers, for as long as it lasts. The VMs tell
//! each other what was said last, since a VM with few requests would learn of it from its first
//! burst. While a service is brittle, the VMs share the slots of each target among themselves (see
//! [`slot_share`]): a slot that two VMs take at the same moment is harmless elsewhere, but here it is
//! a request turned away.

use std::{cmp, collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ServiceKey, TargetKey, VmName},
    limit_share,
    units::Moment,
};

/// How long it is remembered that a service is not brittle any more: until no VM reports otherwise.
const ENDED_TTL: Duration = Duration::from_secs(60);
/// The number of services in a digest.
const REPORTED_LIMIT: usize = 16;

/// What targets of a service have last said, as VMs report it to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct BrittleReport {
    /// The service.
    pub service: ServiceKey,
    /// Whether its targets are brittle.
    pub is_brittle: bool,
    /// The age of the answer that said so, in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct BrittleRecord {
    is_brittle: bool,
    said_at: Moment,
}

/// Which services are brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleServices {
    records: BTreeMap<ServiceKey, BrittleRecord>,
}

impl BrittleServices {
    /// Records whether an answer of the service's targets says that they are brittle. Its request was
    /// sent at `sent_at`: answers on several connections can overtake each other, so one that does
    /// not say so counts only if its request was sent after the last one that did was received.
    /// Returns whether this changes anything.
    pub fn record(
        &mut self,
        now: Moment,
        service: ServiceKey,
        is_brittle: bool,
        sent_at: Moment,
    ) -> bool {
        let known = self.records.get(&service);
        let was_brittle = known.is_some_and(|record| record.is_brittle);
        let is_outdated = known.is_none_or(|record| sent_at <= record.said_at);
        if !is_brittle && (!was_brittle || is_outdated) {
            return false;
        }
        self.records.insert(service, BrittleRecord { is_brittle, said_at: now });
        was_brittle != is_brittle
    }

    /// Records a peer's report. Returns whether this changes anything.
    pub fn merge(&mut self, now: Moment, report: BrittleReport) -> bool {
        let said_at = now.before(Duration::from_millis(u64::from(report.age_ms)));
        let known = self.records.get(&report.service).copied();
        if known.is_some_and(|record| record.said_at >= said_at) {
            return false;
        }
        let record = BrittleRecord { is_brittle: report.is_brittle, said_at };
        self.records.insert(report.service, record);
        known.is_some_and(|known| known.is_brittle) != report.is_brittle
    }

    /// Returns whether a service's targets are brittle.
    pub fn is_brittle(&self, service: ServiceKey) -> bool {
        self.records.get(&service).is_some_and(|record| record.is_brittle)
    }

    /// Returns whether nothing is known of any service.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the reports for peers, the latest first.
    pub fn reports(&self, now: Moment) -> Vec<BrittleReport> {
        let mut records: Vec<_> = self.records.iter().collect();
        records.sort_by_key(|(_, record)| cmp::Reverse(record.said_at));
        let report = |(service, record): (&ServiceKey, &BrittleRecord)| BrittleReport {
            service: *service,
            is_brittle: record.is_brittle,
            age_ms: u32::try_from(now.since(record.said_at).as_millis()).unwrap_or(u32::MAX),
        };
        records.into_iter().take(REPORTED_LIMIT).map(report).collect()
    }

    /// Drops services that have not been brittle for a time.
    pub fn expire(&mut self, now: Moment) {
        let is_needed =
            |record: &BrittleRecord| record.is_brittle || now.since(record.said_at) < ENDED_TTL;
        self.records.retain(|_, record| is_needed(record));
    }
}

/// Returns how many of a target's slots `own` may use if `vms` and `own` share them: equal parts,
/// and one more for the first VMs in an order by a hash, until all slots are dealt.
///
/// # Example
///
/// ```
/// use ryetide_core::{brittle_services, ids::TargetKey};
///
/// let target = TargetKey::of(&"t1".into());
/// let vms = [&"e1".into(), &"e2".into(), &"e3".into()];
/// let shares: Vec<u32> =
///     vms.iter().map(|own| brittle_services::slot_share(8, target, own, &vms)).collect();
/// assert_eq!(shares.iter().sum::<u32>(), 8);
/// assert!(shares.iter().all(|share| (2..=3).contains(share)));
/// ```
pub fn slot_share(slots: u32, target: TargetKey, own: &VmName, vms: &[&VmName]) -> u32 {
    let own_rank = limit_share::rank(target, own);
    let others = vms.iter().filter(|vm| **vm != own);
    let ahead = others.clone().filter(|vm| limit_share::rank(target, vm) < own_rank).count();
    let count = others.count() + 1;
    let (equal, rest) = (slots as usize / count, slots as usize % count);
    u32::try_from(equal + usize::from(ahead < rest)).unwrap_or(u32::MAX)
}
