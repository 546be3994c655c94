//! Quotas and retry budgets over several VMs.

use std::time::Duration;

use ryetide_core::{
    cell_plan::CellMember,
    ids::{OrganisationKey, ServiceName, VmName},
    peer_digests::PeerDigests,
    quota::{QuotaCharge, QuotaLedger, QuotaRule, QuotaUnit},
    retry_budget::{RetryBudget, RetryRule},
    units::Moment,
};

const KEY: OrganisationKey = OrganisationKey(7);
const RULE: QuotaRule =
    QuotaRule { unit: QuotaUnit::Tokens, rate: 1_000.0, burst: 1_000.0, default_tokens: 200 };

fn charge(units: u64) -> QuotaCharge {
    QuotaCharge { key: KEY, units }
}

#[test]
fn a_request_without_a_size_counts_as_the_rule_says() {
    assert_eq!(RULE.cost_of(None), 200);
    assert_eq!(RULE.cost_of(Some(50)), 50);
    let by_request = QuotaRule { unit: QuotaUnit::Requests, ..RULE };
    assert_eq!(by_request.cost_of(Some(50)), 1);
}

#[test]
fn refused_and_refunded_requests_use_no_quota() {
    let mut ledger = QuotaLedger::default();
    let now = Moment::from_millis(1);
    ledger.take(now, &RULE, charge(900)).unwrap();
    let wait = ledger.take(now, &RULE, charge(200)).unwrap_err();
    assert_eq!(wait, Duration::from_millis(100));
    ledger.refund(charge(900));
    assert!(ledger.take(now, &RULE, charge(200)).is_ok());
}

/// Nine VMs serve one organisation that asks for four times its quota in total. Each VM learns of
/// the others' use 20 ms late. Over 8 s, the organisation may get its rate, one burst, and what is
/// admitted in the 20 ms before the other VMs learn of it.
#[test]
fn all_vms_together_stay_within_the_quota() {
    let names: Vec<VmName> = (0..9).map(|index| format!("e{index}").as_str().into()).collect();
    let mut ledgers: Vec<QuotaLedger> = names.iter().map(|_| QuotaLedger::default()).collect();
    let mut admitted = 0;
    for step in 0..400_u64 {
        let now = Moment::from_millis(1 + step * 20);
        for ledger in &mut ledgers {
            // 9 VMs x 9 units in 20 ms are 4,050 units a second.
            admitted += u64::from(ledger.take(now, &RULE, charge(9)).is_ok()) * 9;
        }
        let totals: Vec<u64> =
            ledgers.iter().map(|ledger| ledger.totals().map(|(_, spent)| spent).sum()).collect();
        for (own, ledger) in ledgers.iter_mut().enumerate() {
            for (peer, name) in names.iter().enumerate().filter(|(peer, _)| *peer != own) {
                ledger.record_peer_total(now, name, KEY, totals[peer], Duration::ZERO);
            }
        }
    }
    assert!(admitted <= 9_000 + 9 * 81, "admitted {admitted}");
    assert!(admitted >= 8_700, "admitted {admitted}");
}

/// A network partition divides nine VMs into four and five, and callers reach both sides. The rates
/// of the two sides must not add up to more than the organisation's rate.
#[test]
fn both_sides_of_a_partition_share_the_rate() {
    let admitted_by = |reachable: f64| {
        let mut ledger = QuotaLedger::default();
        ledger.set_reachable_share(reachable);
        let mut admitted = 0;
        for step in 1..=800_u64 {
            let now = Moment::from_millis(1 + step * 10);
            admitted += u64::from(ledger.take(now, &RULE, charge(10)).is_ok()) * 10;
        }
        admitted
    };
    let both = admitted_by(4.0 / 9.0) + admitted_by(5.0 / 9.0);
    assert!((8_900..=9_000).contains(&both), "a burst and 8 s of the rate, admitted {both}");
}

/// All nine VMs are killed at once and restart without state. For a second none reaches another,
/// while the callers of one organisation use all of them. Each VM must count itself as one of nine
/// rather than as the only one: together they may admit one burst and the rate of one second.
#[test]
fn vms_that_start_together_share_the_quota_before_they_reach_each_other() {
    let member = |index| CellMember {
        name: format!("e{index}").as_str().into(),
        data_centre: "hall-a".into(),
    };
    let listed: Vec<CellMember> = (0..8).map(member).collect();
    let mut admitted = 0;
    for _ in 0..9 {
        let mut peers = PeerDigests::default();
        let mut ledger = QuotaLedger::default();
        let start = Moment::from_millis(1);
        peers.list(start, &listed);
        ledger.set_reachable_share(peers.reachable_share(start));
        for step in 0..100_u64 {
            let now = Moment::from_millis(1 + step * 10);
            admitted += u64::from(ledger.take(now, &RULE, charge(10)).is_ok()) * 10;
        }
    }
    assert!((1_500..=2_100).contains(&admitted), "admitted {admitted}");
}

/// All nine VMs are killed at once, start together, and reach each other a tenth of a second later.
/// An organisation that has used nothing asks for a little less than its rate and its burst in the
/// first second. Its requests must not be refused as over quota because each VM began with a ninth
/// of the burst.
#[test]
fn vms_that_reach_each_other_again_allow_the_whole_burst() {
    let names: Vec<VmName> = (0..9).map(|index| format!("e{index}").as_str().into()).collect();
    let mut ledgers: Vec<QuotaLedger> = names.iter().map(|_| QuotaLedger::default()).collect();
    ledgers.iter_mut().for_each(|ledger| ledger.set_reachable_share(1.0 / 9.0));
    let mut admitted = 0;
    for step in 0..100_u64 {
        let now = Moment::from_millis(1 + step * 10);
        if step == 10 {
            ledgers.iter_mut().for_each(|ledger| ledger.set_reachable_share(1.0));
        }
        for ledger in &mut ledgers {
            admitted += u64::from(ledger.take(now, &RULE, charge(2)).is_ok()) * 2;
        }
        let totals: Vec<u64> =
            ledgers.iter().map(|ledger| ledger.totals().map(|(_, spent)| spent).sum()).collect();
        for (own, ledger) in ledgers.iter_mut().enumerate().filter(|_| step >= 10) {
            for (peer, name) in names.iter().enumerate().filter(|(peer, _)| *peer != own) {
                ledger.record_peer_total(now, name, KEY, totals[peer], Duration::ZERO);
            }
        }
    }
    assert!(admitted >= 1_750, "admitted {admitted} of 1,800");
}

/// Hundreds of VMs start together, and an organisation asks for three times its rate, so that each
/// VM gets one of its requests every three seconds. Each VM learns of the others' use within 0.3 s.
/// If a VM took a bucket without requests for full, and a peer's first use counted nowhere, every
/// VM would admit a request regardless of the others: together 1.5 times the quota of eight
/// seconds.
#[test]
fn hundreds_of_vms_that_start_together_stay_within_the_quota() {
    let rule = QuotaRule { rate: 100_000.0, burst: 100_000.0, ..RULE };
    let names: Vec<VmName> = (0..195).map(|index| format!("e{index}").as_str().into()).collect();
    let mut ledgers: Vec<QuotaLedger> = names.iter().map(|_| QuotaLedger::default()).collect();
    for (own, ledger) in ledgers.iter_mut().enumerate() {
        let peers = names.iter().enumerate().filter(|(peer, _)| *peer != own);
        peers.for_each(|(_, name)| ledger.record_all_totals(name));
    }
    let (mut admitted, mut asked) = (0_u64, 0_usize);
    for step in 0..800_u64 {
        let now = Moment::from_millis(1 + step * 10);
        while (asked as u64) * 5_000 < (step + 1) * 3_000 {
            let ledger = &mut ledgers[asked * 7 % 195];
            admitted += u64::from(ledger.take(now, &rule, charge(5_000)).is_ok()) * 5_000;
            asked += 1;
        }
        if step % 30 != 0 {
            continue;
        }
        let totals: Vec<Option<u64>> =
            ledgers.iter().map(|ledger| ledger.totals().map(|(_, spent)| spent).next()).collect();
        for (own, ledger) in ledgers.iter_mut().enumerate() {
            for (peer, name) in names.iter().enumerate().filter(|(peer, _)| *peer != own) {
                let Some(total) = totals[peer] else { continue };
                ledger.record_peer_total(now, name, KEY, total, Duration::ZERO);
            }
        }
    }
    // The rate of eight seconds, a burst, and what is admitted before the other VMs learn of it.
    assert!(admitted <= 900_000 + 90_000, "admitted {admitted}");
    assert!(admitted >= 850_000, "admitted {admitted}");
}

/// A network partition of six seconds divides nine VMs into four and five, and an organisation uses
/// a third of its rate on each side. At its end, each VM receives all the use of the other side at
/// once. That use came from the other side's share of the rate, so the organisation is well within
/// its quota, and none of its requests may be refused.
#[test]
fn the_end_of_a_partition_puts_no_organisation_in_debt() {
    let mut ledger = QuotaLedger::default();
    let peer = VmName::from("e9");
    let at = Moment::from_millis;
    ledger.take(at(1), &RULE, charge(1)).unwrap();
    ledger.record_peer_total(at(1), &peer, KEY, 5_000, Duration::ZERO);
    ledger.set_reachable_share(4.0 / 9.0);
    for step in 1..=600_u64 {
        // A third of 1,000 units per second.
        assert!(ledger.take(at(1 + step * 10), &RULE, charge(3)).is_ok(), "step {step}");
    }
    ledger.set_reachable_share(1.0);
    ledger.record_peer_total(at(6_002), &peer, KEY, 5_000 + 2_000, Duration::from_millis(6_000));
    for step in 601..=700_u64 {
        assert!(ledger.take(at(1 + step * 10), &RULE, charge(6)).is_ok(), "step {step}");
    }
}

/// Every target of a service fails every request for ten seconds, and all requests may be retried.
/// The number of retries must stay within the permitted share and slack.
#[test]
fn retries_stay_within_their_budget_while_every_request_fails() {
    let rule = RetryRule { share: 0.2, window: Duration::from_secs(10), slack: 56.0 };
    let service = ServiceName::from("desk");
    let mut budgets: Vec<RetryBudget> = (0..8).map(|_| RetryBudget::new(rule)).collect();
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for step in 0..1_000_u64 {
        let now = Moment::from_millis(1 + step * 10);
        for budget in &mut budgets {
            budget.set_vm_count(now, Some(8));
            budget.record_request(now, &service);
            requests += 1;
            retries += u32::from(budget.spend(now, &service));
        }
    }
    let bound = f64::from(requests) * 0.2 + 56.0;
    assert!(f64::from(retries) < bound, "{retries} retries of {requests}");
    assert!(f64::from(retries) > f64::from(requests) * 0.1, "{retries} retries of {requests}");
}
