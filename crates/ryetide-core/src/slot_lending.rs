//! The lender's side of overflow: which free slots of a cell its VMs grant to VMs of other cells.
//!
//! Each target of a cell has one granting VM, chosen by rendezvous hashing. It grants only slots
//! beyond a reserve for the cell's own requests. No message asks for a slot or returns one: the
//! borrowers' brief digests hold what they want and what they use, and the lender's brief digests
//! hold the grants.

use std::{collections::BTreeMap, time::Duration};

use xxhash_rust::xxh3;

use crate::{
    ids::{ServiceKey, TargetKey, VmName},
    policy_update::{MAX_ENTRIES, PolicyUpdate, SlotGrant},
    slot_borrowing::GRANT_TTL,
    units::Moment,
};

/// How long a reported shortage is known: two intervals of urgent digests and their delay, so that
/// one lost digest does not end it.
const SHORTAGE_TTL: Duration = Duration::from_millis(700);
/// The assumed longest delay of a digest. A grant is valid at the borrower from its receipt, so the
/// lender counts it as valid for this much longer.
const DIGEST_DELAY: Duration = Duration::from_millis(50);
/// The number of VMs that consider a borrower for each slot that it wants or uses.
/// About every second granting VM has a slot to lend where a third of the slots are free.
const LENDERS_PER_SLOT: usize = 2;
/// The least number of VMs of other data centres that consider a borrower.
const MIN_LENDERS: usize = 6;
/// The least number of VMs of its own data centre that consider a borrower: those of three cells,
/// since their slots are preferred and their digests stay inside the data centre.
const NEAR_LENDERS: usize = 24;
/// The standard deviations of the cell's own arrivals that the reserve covers. Where arrivals
/// exceed it, a request waits at an engine for a part of one slot time.
const RESERVE_DEVIATIONS: f64 = 1.0;

/// The demand of a cell's own callers for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CellDemand {
    /// Arrivals a second at all VMs of the cell.
    pub arrival_rate: f64,
    /// The mean time that a request occupies a slot.
    pub slot_time: Duration,
    /// Requests of the cell's VMs that are running.
    pub running: u32,
}

impl CellDemand {
    /// Returns the number of free slots that the cell needs for its own requests until its grants
    /// have expired: the expected growth of its running requests, and a margin for the random
    /// number of arrivals.
    ///
    /// Requests that end in this time free slots for those that arrive, so only the growth counts.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    /// use ryetide_core::slot_lending::CellDemand;
    ///
    /// let slot_time = Duration::from_millis(500);
    /// let steady = CellDemand { arrival_rate: 60.0, slot_time, running: 30 };
    /// assert!((4..=8).contains(&steady.reserve()));
    /// let growing = CellDemand { arrival_rate: 120.0, ..steady };
    /// assert!(growing.reserve() > 20);
    /// ```
    pub fn reserve(&self) -> u32 {
        let slot_time = self.slot_time.as_secs_f64();
        if slot_time <= 0.0 {
            return 0;
        }
        let period = GRANT_TTL.as_secs_f64();
        let offered = self.arrival_rate * slot_time;
        let ended_share = 1.0 - (-period / slot_time).exp();
        let growth = (offered - f64::from(self.running)) * ended_share;
        let deviation = (self.arrival_rate * period.min(slot_time)).sqrt();
        (growth.max(0.0) + RESERVE_DEVIATIONS * deviation).ceil() as u32
    }
}

/// A target of the cell that may be lent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LendableTarget {
    /// The target.
    pub key: TargetKey,
    /// Its free slots.
    pub free: u32,
    /// Whether this VM grants its slots.
    pub is_granted_here: bool,
}

/// The slots that a cell can lend of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LendableSlots {
    /// The service.
    pub service: ServiceKey,
    /// All targets of the cell that may be lent, in the same order at each VM.
    pub targets: Vec<LendableTarget>,
    /// Free slots that the cell needs for its own requests.
    pub reserve: u32,
}

impl LendableSlots {
    /// Returns the slots beyond the reserve at each target that this VM grants; `None` if the cell
    /// has no more free slots than the reserve.
    ///
    /// The sum over the cell is rounded, not each target's part, since targets often have only one
    /// or two free slots.
    fn spare(&self) -> Option<BTreeMap<TargetKey, u32>> {
        let free: u32 = self.targets.iter().map(|target| target.free).sum();
        let spare = u64::from(free.checked_sub(self.reserve)?);
        let (mut seen, mut given) = (0_u64, 0_u64);
        let mut spares = BTreeMap::new();
        for target in &self.targets {
            seen += u64::from(target.free);
            let part = seen * spare / u64::from(free.max(1)) - given;
            given += part;
            if target.is_granted_here {
                spares.insert(target.key, u32::try_from(part).unwrap_or(u32::MAX));
            }
        }
        Some(spares)
    }
}

/// What a borrower has reported.
#[derive(Clone, Debug)]
struct BorrowerRecord {
    at: Moment,
    /// Whether the borrower is in this VM's data centre.
    is_near: bool,
    wanted: BTreeMap<ServiceKey, u32>,
    in_flight: BTreeMap<TargetKey, u32>,
}

/// A grant that a borrower may still use.
#[derive(Clone, Debug)]
struct IssuedGrant {
    until: Moment,
    grant: SlotGrant,
}

/// A borrower of one service, while grants are computed.
struct Borrower<'a> {
    name: &'a VmName,
    record: &'a BorrowerRecord,
    /// Slots that it wants beyond those in use.
    wanted: u32,
}

/// The shortages that other cells have reported to a VM, and the grants that it has issued.
#[derive(Clone, Debug, Default)]
pub struct SlotLender {
    borrowers: BTreeMap<VmName, BorrowerRecord>,
    issued: Vec<IssuedGrant>,
}

impl SlotLender {
    /// Records what a VM of another cell reports. An update without shortages ends those known.
    pub fn record(&mut self, now: Moment, from: &VmName, is_near: bool, update: &PolicyUpdate) {
        self.borrowers.retain(|_, record| now.since(record.at) < SHORTAGE_TTL);
        if update.shortages.is_empty() {
            self.borrowers.remove(from);
            return;
        }
        let wanted = update.shortages.iter().map(|it| (it.service, u32::from(it.wanted)));
        let in_flight = update.borrowed.iter().map(|it| (it.target, u32::from(it.running)));
        let (wanted, in_flight) = (wanted.collect(), in_flight.collect());
        self.borrowers.insert(from.clone(), BorrowerRecord { at: now, is_near, wanted, in_flight });
    }

    /// Forgets the shortages of a VM that other lenders serve.
    pub fn forget(&mut self, from: &VmName) {
        self.borrowers.remove(from);
    }

    /// Whether any shortage is known.
    pub fn knows_shortage(&self, now: Moment) -> bool {
        self.borrowers.values().any(|record| now.since(record.at) < SHORTAGE_TTL)
    }

    /// Returns the grants that are possible now, at most as many as a digest holds.
    pub fn plan(&self, now: Moment, slots: &[LendableSlots]) -> Vec<SlotGrant> {
        let mut grants: Vec<SlotGrant> =
            slots.iter().flat_map(|of_service| self.plan_service(now, of_service)).collect();
        grants.sort_by_key(|grant| std::cmp::Reverse(grant.slots));
        grants.truncate(MAX_ENTRIES);
        grants
    }

    /// Records grants that are being sent. Returns those that the borrower did not have before.
    pub fn issue(&mut self, now: Moment, grants: &[SlotGrant]) -> Vec<SlotGrant> {
        self.issued.retain(|issued| issued.until > now);
        let is_known = |grant: &SlotGrant, issued: &IssuedGrant| {
            (issued.grant.target, &issued.grant.borrower) == (grant.target, &grant.borrower)
        };
        let is_new = |grant: &&SlotGrant| !self.issued.iter().any(|issued| is_known(grant, issued));
        let new = grants.iter().filter(is_new).cloned().collect();
        let until = now + GRANT_TTL + DIGEST_DELAY;
        self.issued.extend(grants.iter().cloned().map(|grant| IssuedGrant { until, grant }));
        new
    }

    fn plan_service(&self, now: Moment, slots: &LendableSlots) -> Vec<SlotGrant> {
        let borrowers = self.borrowers_of(now, slots.service);
        let Some(mut spare) = slots.spare().filter(|_| !borrowers.is_empty()) else {
            return Vec::new();
        };
        // Slots under an earlier grant stay with its borrower until the grant has expired there.
        let room =
            |(key, part): (&TargetKey, &u32)| (*key, part.saturating_sub(self.unused(now, *key)));
        let mut open: BTreeMap<TargetKey, u32> = spare.iter().map(room).collect();
        let (near, far): (Vec<_>, Vec<_>) =
            borrowers.into_iter().partition(|borrower| borrower.record.is_near);
        let mut grants = Vec::new();
        for group in [near, far] {
            let total = spare.values().sum();
            for (borrower, quota) in group.iter().zip(divide(total, &group)) {
                grants.extend(self.assign(now, borrower, quota, &mut spare, &mut open));
            }
        }
        grants
    }

    /// Assigns up to `quota` slots to a borrower: those that it has a grant for already, then
    /// others.
    fn assign(
        &self,
        now: Moment,
        borrower: &Borrower<'_>,
        quota: u32,
        spare: &mut BTreeMap<TargetKey, u32>,
        open: &mut BTreeMap<TargetKey, u32>,
    ) -> Vec<SlotGrant> {
        let mut left = quota;
        let mut assigned: BTreeMap<TargetKey, u32> = BTreeMap::new();
        for (target, part) in spare.iter_mut() {
            let kept = left.min(self.unused_by(now, *target, borrower.name)).min(*part);
            *part -= kept;
            left -= kept;
            *assigned.entry(*target).or_default() += kept + borrower.in_flight(*target);
        }
        let mut by_room: Vec<(u32, TargetKey)> =
            open.iter().map(|(key, room)| (*room, *key)).collect();
        by_room.sort_by(|one, other| other.cmp(one));
        for (room, target) in by_room {
            let part = spare.entry(target).or_default();
            let taken = left.min(room).min(*part);
            *part -= taken;
            left -= taken;
            open.insert(target, room - taken);
            *assigned.entry(target).or_default() += taken;
        }
        let grants = assigned.into_iter().filter(|(_, slots)| *slots > 0);
        let grant = |(target, slots)| SlotGrant {
            target,
            slots: u8::try_from(slots).unwrap_or(u8::MAX),
            borrower: borrower.name.clone(),
        };
        grants.map(grant).collect()
    }

    fn borrowers_of(&self, now: Moment, service: ServiceKey) -> Vec<Borrower<'_>> {
        let known = self.borrowers.iter().filter(|(_, record)| now.since(record.at) < SHORTAGE_TTL);
        let mut borrowers = Vec::new();
        for (name, record) in known {
            let Some(wanted) = record.wanted.get(&service).copied() else { continue };
            borrowers.push(Borrower { name, record, wanted });
        }
        borrowers
    }

    /// Returns the slots of a target under valid grants that no reported run uses.
    fn unused(&self, now: Moment, target: TargetKey) -> u32 {
        let of_target = self.issued.iter().filter(|issued| issued.grant.target == target);
        let mut names: Vec<&VmName> = of_target.map(|issued| &issued.grant.borrower).collect();
        names.sort_unstable();
        names.dedup();
        names.into_iter().map(|name| self.unused_by(now, target, name)).sum()
    }

    fn unused_by(&self, now: Moment, target: TargetKey, borrower: &VmName) -> u32 {
        let valid = self.issued.iter().filter(|issued| issued.until > now);
        let own = valid
            .filter(|issued| issued.grant.target == target && issued.grant.borrower == *borrower);
        let most = own.map(|issued| u32::from(issued.grant.slots)).max().unwrap_or(0);
        let record = self.borrowers.get(borrower);
        let in_flight = record.and_then(|record| record.in_flight.get(&target)).copied();
        most.saturating_sub(in_flight.unwrap_or(0))
    }
}

impl Borrower<'_> {
    fn in_flight(&self, target: TargetKey) -> u32 {
        self.record.in_flight.get(&target).copied().unwrap_or(0)
    }
}

/// Divides `total` slots among borrowers in proportion to what they want, none more than that.
fn divide(total: u32, borrowers: &[Borrower<'_>]) -> Vec<u32> {
    let wanted: u32 = borrowers.iter().map(|borrower| borrower.wanted).sum();
    let given = total.min(wanted);
    let (mut seen, mut divided) = (0_u64, 0_u64);
    let quota = |borrower: &Borrower<'_>| {
        seen += u64::from(borrower.wanted);
        let part = seen * u64::from(given) / u64::from(wanted.max(1)) - divided;
        divided += part;
        u32::try_from(part).unwrap_or(u32::MAX)
    };
    borrowers.iter().map(quota).collect()
}

/// Returns the VM that grants the slots of a target: the first of `vms` by rendezvous hashing.
pub fn granting_vm<'a>(
    target: TargetKey,
    vms: impl Iterator<Item = &'a VmName>,
) -> Option<&'a VmName> {
    vms.max_by_key(|vm| (rendezvous(vm, u64::from(target.0)), *vm))
}

/// Returns the number of VMs that consider a borrower which could use `wanted` slots. It is in
/// proportion to `wanted`, so that the grants of a large fleet do not exceed the shortage many
/// times.
pub fn lender_count(wanted: u32, is_near: bool) -> usize {
    let by_slots = wanted as usize * LENDERS_PER_SLOT;
    by_slots.max(if is_near { NEAR_LENDERS } else { MIN_LENDERS })
}

/// Returns whether `own` is among the first `count` lenders of a borrower; `others` are the other
/// VMs that could lend to it.
pub fn is_considered<'a>(
    borrower: &VmName,
    count: usize,
    own: &VmName,
    others: impl Iterator<Item = &'a VmName>,
) -> bool {
    let seed = xxh3::xxh3_64(borrower.as_str().as_bytes());
    let own_hash = rendezvous(own, seed);
    others.filter(|vm| rendezvous(vm, seed) > own_hash).count() < count
}

fn rendezvous(vm: &VmName, seed: u64) -> u64 {
    xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
}
