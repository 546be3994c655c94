//! Allocation of an organisation's units when it asks for more than its quota.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use ryetide_core::{
    ids::{OrganisationKey, RequestSequence, VmName},
    quota::{QuotaCharge, QuotaRule, QuotaUnit},
    quota_allocator::{QuotaAllocator, QuotaClass, QuotaReply, QuotaRequest},
    units::{Moment, TierRank},
};

const KEY: OrganisationKey = OrganisationKey(7);
const RULE: QuotaRule =
    QuotaRule { unit: QuotaUnit::Tokens, rate: 100_000.0, burst: 100_000.0, default_tokens: 200 };
/// The interval at which each VM examines its waiting requests.
const STEP_MILLIS: u64 = 5;

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

fn ask(ticket: u64, now: Moment, tier: u8, units: u64, wait: u64) -> QuotaRequest {
    QuotaRequest {
        ticket: RequestSequence(ticket),
        charge: QuotaCharge { key: KEY, units },
        rule: RULE,
        class: QuotaClass { tier: TierRank(tier), route_tier: TierRank(tier) },
        late: false,
        wait_until: now + Duration::from_millis(wait),
    }
}

#[test]
fn a_request_waits_for_units_that_are_refilled_in_time() {
    let mut allocator = QuotaAllocator::default();
    assert_eq!(allocator.ask(at(0), ask(1, at(0), 0, 100_000, 0)), QuotaReply::Taken);
    assert_eq!(allocator.ask(at(0), ask(2, at(0), 0, 4_000, 400)), QuotaReply::Waits);
    assert_eq!(allocator.advance(at(30)), []);
    let verdicts = allocator.advance(at(40));
    assert_eq!((verdicts[0].ticket, verdicts[0].outcome), (RequestSequence(2), Ok(())));
}

/// A request whose units cannot be available in time must be refused at once, with the delay until
/// they are.
#[test]
fn a_request_is_refused_at_once_if_its_units_are_refilled_too_late() {
    let mut allocator = QuotaAllocator::default();
    assert_eq!(allocator.ask(at(0), ask(1, at(0), 0, 100_000, 0)), QuotaReply::Taken);
    let wait = Duration::from_millis(500);
    assert_eq!(allocator.ask(at(0), ask(2, at(0), 0, 50_000, 400)), QuotaReply::Over(wait));
}

/// The bucket is empty. A routine request waits for its units, and an urgent one that arrives later
/// must get its units first.
#[test]
fn urgent_requests_get_the_next_units_though_they_arrived_later() {
    let mut allocator = QuotaAllocator::default();
    allocator.ask(at(0), ask(1, at(0), 0, 100_000, 0));
    assert_eq!(allocator.ask(at(0), ask(2, at(0), 2, 1_000, 800)), QuotaReply::Waits);
    assert_eq!(allocator.ask(at(5), ask(3, at(5), 0, 4_000, 300)), QuotaReply::Waits);
    let order: Vec<u64> = (1..160)
        .flat_map(|step| allocator.advance(at(step * STEP_MILLIS)))
        .filter(|verdict| verdict.outcome.is_ok())
        .map(|verdict| verdict.ticket.0)
        .collect();
    assert_eq!(order, [3, 2]);
}

/// No urgent request has arrived for a while. Routine requests may use the bucket to the last unit.
#[test]
fn no_headroom_is_kept_for_unused_classes() {
    let mut allocator = QuotaAllocator::default();
    assert_eq!(allocator.ask(at(0), ask(1, at(0), 0, 4_000, 0)), QuotaReply::Taken);
    let later = 20_000;
    for ticket in 2..102 {
        let routine = ask(ticket, at(later), 2, 1_000, 0);
        assert_eq!(allocator.ask(at(later), routine), QuotaReply::Taken, "request {ticket}");
    }
}

/// An organisation's urgent requests cost 4,000 units each. A request that costs 200 must not be
/// refused to keep headroom for them.
#[test]
fn a_cheap_request_is_admitted_despite_headroom() {
    let mut allocator = QuotaAllocator::default();
    allocator.ask(at(0), ask(1, at(0), 0, 4_000, 0));
    allocator.ask(at(0), ask(2, at(0), 0, 84_000, 0));
    // 12,000 units are left.
    let reply = allocator.ask(at(0), ask(3, at(0), 2, 1_000, 0));
    assert!(matches!(reply, QuotaReply::Over(_)), "{reply:?}");
    assert_eq!(allocator.ask(at(0), ask(4, at(0), 2, 200, 0)), QuotaReply::Taken);
}

#[test]
fn a_caller_that_disconnects_uses_no_units() {
    let mut allocator = QuotaAllocator::default();
    allocator.ask(at(0), ask(1, at(0), 0, 100_000, 0));
    assert_eq!(allocator.ask(at(0), ask(2, at(0), 0, 4_000, 400)), QuotaReply::Waits);
    allocator.leave(RequestSequence(2));
    assert_eq!(allocator.advance(at(200)), []);
    assert!(!allocator.has_waiting());
}

/// The results for the requests of one tier.
#[derive(Clone, Copy, Debug, Default)]
struct TierResults {
    asked: u32,
    served: u32,
}

impl TierResults {
    fn served_share(self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

/// The load of an organisation that asks for more than its rate at several VMs.
struct LoadSimulation {
    vms: usize,
    /// For each tier, the units asked for per second and the mean cost of a request.
    tiers: [(f64, f64); 3],
    seconds: u64,
    /// Whether all requests have one class and none waits, so that units go out in order of
    /// arrival.
    in_arrival_order: bool,
}

impl LoadSimulation {
    /// Simulates the load; each VM learns of the others' use 20 ms late. Returns the results by
    /// tier and the number of admitted units.
    fn run(&self, seed: u64) -> ([TierResults; 3], u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let names: Vec<VmName> =
            (0..self.vms).map(|index| format!("e{index}").as_str().into()).collect();
        let mut allocators: Vec<QuotaAllocator> =
            names.iter().map(|_| QuotaAllocator::default()).collect();
        let mut results = [TierResults::default(); 3];
        let mut asked: HashMap<u64, (usize, u64)> = HashMap::new();
        let (mut units, mut ticket) = (0, 0);
        for step in 0..self.seconds * 1_000 / STEP_MILLIS {
            let now = at(step * STEP_MILLIS);
            for (tier, (rate, mean)) in self.tiers.iter().enumerate() {
                let expected = rate / mean * STEP_MILLIS as f64 / 1e3;
                let count = expected as u32 + u32::from(rng.random_bool(expected.fract()));
                for _ in 0..count {
                    ticket += 1;
                    // From a fifth of the mean to four times as much, mostly below the mean.
                    let cost = (mean * (0.2 + 3.8 * rng.random::<f64>().powi(4))) as u64;
                    let wait = if self.in_arrival_order { 0 } else { 300 };
                    let class = if self.in_arrival_order { 0 } else { tier as u8 };
                    results[tier].asked += 1;
                    asked.insert(ticket, (tier, cost));
                    let vm = rng.random_range(0..self.vms);
                    if allocators[vm].ask(now, ask(ticket, now, class, cost, wait))
                        == QuotaReply::Taken
                    {
                        results[tier].served += 1;
                        units += cost;
                    }
                }
            }
            for allocator in &mut allocators {
                for verdict in allocator.advance(now) {
                    if verdict.outcome.is_ok() {
                        let (tier, cost) = asked[&verdict.ticket.0];
                        results[tier].served += 1;
                        units += cost;
                    }
                }
            }
            if step % 4 == 0 {
                exchange_totals(now, &names, &mut allocators);
            }
        }
        (results, units)
    }
}

fn exchange_totals(now: Moment, names: &[VmName], allocators: &mut [QuotaAllocator]) {
    let totals: Vec<u64> = allocators
        .iter()
        .map(|allocator| allocator.ledger().totals().map(|(_, spent)| spent).sum())
        .collect();
    for (own, allocator) in allocators.iter_mut().enumerate() {
        for (peer, name) in names.iter().enumerate().filter(|(peer, _)| *peer != own) {
            allocator.ledger_mut().record_peer_total(now, name, KEY, totals[peer], Duration::ZERO);
        }
    }
}

/// An organisation asks for half more than its rate for twenty seconds at eight VMs: reviews and
/// drafts within the rate, and notes beyond it. In order of arrival, a fifth of the reviews and
/// drafts is refused. The urgent tiers must get nearly all that they ask for and the notes what is
/// left, without unused units. No more may be admitted than the rate, a burst, and what is admitted
/// before the other VMs learn of it.
#[test]
fn the_urgent_tiers_of_an_organisation_are_served_first() {
    let tiers = [(50_000.0, 4_000.0), (30_000.0, 3_000.0), (70_000.0, 1_300.0)];
    for seed in 1..=3 {
        let load = LoadSimulation { vms: 8, tiers, seconds: 20, in_arrival_order: false };
        let (results, units) = load.run(seed);
        let (before, units_before) = LoadSimulation { in_arrival_order: true, ..load }.run(seed);
        assert!(before[0].served_share() < 0.85, "in order of arrival {before:?}");
        assert!(results[0].served_share() > 0.97, "{results:?}");
        assert!(results[1].served_share() > 0.9, "{results:?}");
        assert!(results[2].served_share() > 0.2, "{results:?}");
        assert!(units as f64 > 0.97 * units_before as f64, "{units} of {units_before}");
        assert!(units < 2_100_000 + 8 * 16_000, "{units}");
    }
}

/// Urgent requests alone ask for more than the rate. More than half of them must be admitted,
/// whatever their size, and some of the cheap requests as well.
#[test]
fn urgent_requests_over_the_rate_starve_no_request_size() {
    let tiers = [(160_000.0, 4_000.0), (1_000.0, 200.0), (1_000.0, 200.0)];
    let (results, units) =
        LoadSimulation { vms: 8, tiers, seconds: 20, in_arrival_order: false }.run(4);
    assert!(results[0].served_share() > 0.5, "{results:?}");
    assert!(results[1].served_share() > 0.2, "{results:?}");
    assert!(units as f64 > 1_950_000.0, "{units}");
}

/// For any sequence of tiers and of sizes below the burst, a single VM must admit no more than the
/// rate and one burst, and every waiting request must get a result by the end of its wait.
#[test]
fn no_order_of_requests_gets_more_than_the_quota() {
    bolero::check!().with_type::<Vec<(u8, u16, u8)>>().for_each(|script| {
        let mut allocator = QuotaAllocator::default();
        let (mut now, mut units, mut waiting) = (0_u64, 0_u64, HashMap::new());
        for (index, (tier, cost, pause)) in script.iter().enumerate() {
            now += u64::from(*pause);
            for verdict in allocator.advance(at(now)) {
                let cost: u64 = waiting.remove(&verdict.ticket.0).expect("the request waits");
                units += if verdict.outcome.is_ok() { cost } else { 0 };
            }
            let (ticket, cost) = (index as u64, u64::from(*cost));
            match allocator.ask(at(now), ask(ticket, at(now), tier % 3, cost, 200)) {
                QuotaReply::Taken => units += cost,
                QuotaReply::Waits => {
                    waiting.insert(ticket, cost);
                }
                QuotaReply::Over(_) => {}
            }
            let limit = 100_000.0 * (1.0 + now as f64 / 1e3) + 1.0;
            assert!(units as f64 <= limit, "{units} of {limit}");
        }
        for verdict in allocator.advance(at(now + 200)) {
            assert!(waiting.remove(&verdict.ticket.0).is_some());
        }
        assert!(waiting.is_empty() && !allocator.has_waiting());
    });
}
