//! The borrower's side of overflow: when a VM reports a shortage of slots, and which slots of other
//! cells it may use.
//!
//! A grant bounds the requests that the borrower has in flight at a target. It is not used up: when
//! a request ends, another may start under the same grant while that is valid. Lenders renew their
//! grants with each brief digest, and each digest replaces the earlier grants of its sender.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    ids::{ServiceKey, TargetKey, VmName},
    policy_update::SlotGrant,
    units::Moment,
};

/// How long a grant is valid after its receipt: one interval of urgent digests (300 ms), the delay
/// at a relay, and a late timer at a small VM.
pub const GRANT_TTL: Duration = Duration::from_millis(450);
/// The span over which refusals count as a shortage.
const REFUSAL_SPAN: Duration = Duration::from_millis(1_000);
/// The span over which arrivals are counted: short enough to show a burst within the objectives of
/// 300 to 800 ms.
const ARRIVAL_SPAN: Duration = Duration::from_millis(500);
/// A cell whose free slots are fewer than this share of its slots is nearly full. Its VMs then
/// report the excess of their arrivals before any request waits, because a grant takes about
/// as long to arrive as a request may wait.
const TIGHT_SHARE: f64 = 0.05;

/// What a VM knows of the slots of its own cell for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CellSupply {
    /// The slots of the usable targets.
    pub slots: u32,
    /// Those of them that are free.
    pub free: u32,
    /// The number of VMs in the cell.
    pub vms: u32,
    /// The mean time that a request occupies a slot; zero until one was observed.
    pub slot_time: Duration,
    /// The requests that wait at this VM.
    pub waiting: u32,
    /// The requests that this VM has in flight at targets of other cells.
    pub borrowed: u32,
}

/// The recent arrivals and refusals of one service.
#[derive(Clone, Debug, Default)]
struct ServiceDemand {
    arrivals: VecDeque<Moment>,
    refusals: VecDeque<Moment>,
}

/// The grants of one lender.
#[derive(Clone, Debug)]
struct LenderGrants {
    until: Moment,
    slots: Vec<(TargetKey, u32)>,
}

/// Tracks one VM's demand and the slots that other cells have granted it.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ryetide_core::{
///     ids::{ServiceKey, TargetKey},
///     policy_update::SlotGrant,
///     slot_borrowing::{CellSupply, SlotBorrower},
///     units::Moment,
/// };
///
/// let (now, service) = (Moment::from_millis(1_000), ServiceKey(1));
/// let mut borrower = SlotBorrower::default();
/// let supply = CellSupply { slots: 60, vms: 8, waiting: 3, ..CellSupply::default() };
/// assert_eq!(borrower.wanted(now, service, &supply), Some(3));
///
/// let target = TargetKey(9);
/// let grant = SlotGrant { target, slots: 2, borrower: "e1".into() };
/// borrower.take_grants(now, &"e9".into(), &"e1".into(), &[grant]);
/// assert_eq!(borrower.granted(now).get(&target), Some(&2));
/// assert!(borrower.granted(now + Duration::from_secs(1)).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlotBorrower {
    demand: BTreeMap<ServiceKey, ServiceDemand>,
    lenders: BTreeMap<VmName, LenderGrants>,
}

impl SlotBorrower {
    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, now: Moment, service: ServiceKey) {
        record(&mut self.demand.entry(service).or_default().arrivals, now, ARRIVAL_SPAN);
    }

    /// Records that a request was refused because of the queue.
    pub fn record_refusal(&mut self, now: Moment, service: ServiceKey) {
        record(&mut self.demand.entry(service).or_default().refusals, now, REFUSAL_SPAN);
    }

    /// Returns the number of slots of other cells that this VM could use now in addition to those
    /// in use, or `None` while it has no shortage. While it uses some and could use no more, the
    /// number is 0, and its grants are renewed.
    pub fn wanted(&self, now: Moment, service: ServiceKey, supply: &CellSupply) -> Option<u16> {
        let demand = self.demand.get(&service);
        let arrivals = demand.map_or(0, |it| count(&it.arrivals, now, ARRIVAL_SPAN));
        let refusals = demand.map_or(0, |it| count(&it.refusals, now, REFUSAL_SPAN));
        let is_tight = f64::from(supply.free) < f64::from(supply.slots) * TIGHT_SHARE;
        let has_queue = supply.waiting > 0 || refusals > 0;
        let slot_time = supply.slot_time.as_secs_f64();
        let offered = arrivals as f64 / ARRIVAL_SPAN.as_secs_f64() * slot_time;
        let share = f64::from(supply.slots) / f64::from(supply.vms.max(1));
        let excess = if is_tight || has_queue { offered - share } else { 0.0 };
        // A refused request would have occupied a slot for the slot time.
        let refused = refusals as f64 / REFUSAL_SPAN.as_secs_f64() * slot_time;
        let unserved = f64::from(supply.waiting) + refused;
        let further = (excess - f64::from(supply.borrowed)).max(unserved).ceil();
        let is_short = further > 0.0 || supply.borrowed > 0;
        is_short.then_some(further.max(0.0) as u16)
    }

    /// Replaces the grants of a lender by those among `grants` that name `own` as the borrower.
    pub fn take_grants(
        &mut self,
        now: Moment,
        lender: &VmName,
        own: &VmName,
        grants: &[SlotGrant],
    ) {
        let named = grants.iter().filter(|grant| grant.borrower == *own);
        let slots: Vec<_> = named.map(|grant| (grant.target, u32::from(grant.slots))).collect();
        self.lenders.retain(|_, granted| granted.until > now);
        if slots.is_empty() {
            self.lenders.remove(lender);
        } else {
            self.lenders.insert(lender.clone(), LenderGrants { until: now + GRANT_TTL, slots });
        }
    }

    /// Returns the targets with a valid grant, each with the most requests that may be in flight
    /// there. Where two VMs grant slots of the same target, the larger grant counts.
    pub fn granted(&self, now: Moment) -> BTreeMap<TargetKey, u32> {
        let mut granted = BTreeMap::new();
        let valid = self.lenders.values().filter(|lender| lender.until > now);
        for (target, slots) in valid.flat_map(|lender| &lender.slots) {
            let most: &mut u32 = granted.entry(*target).or_default();
            *most = (*most).max(*slots);
        }
        granted
    }

    /// Whether any grant is valid.
    pub fn has_grants(&self, now: Moment) -> bool {
        self.lenders.values().any(|lender| lender.until > now)
    }
}

fn record(times: &mut VecDeque<Moment>, now: Moment, span: Duration) {
    times.push_back(now);
    while times.front().is_some_and(|at| now.since(*at) >= span) {
        times.pop_front();
    }
}

fn count(times: &VecDeque<Moment>, now: Moment, span: Duration) -> usize {
    times.iter().filter(|at| now.since(**at) < span).count()
}
