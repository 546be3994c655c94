//! Which requests are quarantined for crashes of targets, and what VMs tell each other of them.

use std::time::Duration;

use ryetide_core::{
    crash_ledger::{
        CrashLedger, CrashedRun, QUARANTINE_LIFE, QuarantineMark, QuarantineNews, RequestStanding,
    },
    ids::TargetKey,
    request_print::RequestPrint,
    units::Moment,
};

const DEADLY: RequestPrint = RequestPrint(1);
const BESIDE: RequestPrint = RequestPrint(2);
const TARGETS: usize = 12;
const RAN: Duration = Duration::from_millis(80);
/// Longer than the time within which news of a crash come from all VMs.
const SETTLED: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn runs(prints: &[RequestPrint]) -> Vec<CrashedRun> {
    prints.iter().map(|print| CrashedRun { print: *print, ran: RAN }).collect()
}

/// Notes a crash for each millisecond, of a target each.
fn crash_at(ledger: &mut CrashLedger, times: &[u64], prints: &[RequestPrint]) {
    for time in times {
        ledger.note_crash(at(*time), TargetKey(*time as u32), &runs(prints));
    }
}

fn is_quarantined(ledger: &mut CrashLedger, now: Moment, print: RequestPrint) -> bool {
    matches!(ledger.standing(now, print, TARGETS), RequestStanding::Quarantined(_))
}

/// A ledger in which the deadly request is under quarantine since the first second.
fn quarantined() -> CrashLedger {
    let mut ledger = CrashLedger::default();
    crash_at(&mut ledger, &[100, 200, 300], &[DEADLY]);
    assert!(is_quarantined(&mut ledger, at(1_300), DEADLY));
    ledger
}

#[test]
fn two_crashes_blame_nobody_and_a_third_does() {
    let mut ledger = CrashLedger::default();
    crash_at(&mut ledger, &[100, 200], &[DEADLY]);
    assert_eq!(ledger.standing(at(2_000), DEADLY, TARGETS), RequestStanding::Clear);
    crash_at(&mut ledger, &[2_000], &[DEADLY]);
    let standing = ledger.standing(at(2_000) + SETTLED, DEADLY, TARGETS);
    assert_eq!(standing, RequestStanding::Quarantined(QUARANTINE_LIFE));
    let news = ledger.take_news();
    assert!(
        matches!(news[..], [QuarantineNews::Blamed(DEADLY, evidence)] if evidence.crashes == 3)
    );
}

/// A target that starts again under its old name crashes again, and all of its crashes count; what two VMs tell of one crash
/// is one.
#[test]
fn each_crash_of_a_target_counts_once() {
    let mut here = CrashLedger::default();
    let target = TargetKey(7);
    for second in 1..=3 {
        here.note_crash(at(second * 1_000), target, &runs(&[DEADLY]));
        let mut there = CrashLedger::default();
        there.note_crash(at(second * 1_000 + 20), target, &runs(&[DEADLY, BESIDE]));
        here.take(at(second * 1_000 + 30), &there.brief_news(at(second * 1_000 + 25)));
    }
    crash_at(&mut here, &[3_400, 3_500, 3_600], &[DEADLY]);
    let now = at(3_600) + SETTLED;
    assert!(is_quarantined(&mut here, now, DEADLY));
    let news = here.take_news();
    assert!(matches!(news[..], [QuarantineNews::Blamed(_, evidence)] if evidence.crashes == 6));
}

/// Four targets crash. A second request had the bad luck to run at three of them, beside the one that is to blame: it comes
/// again and is served.
#[test]
fn one_that_ran_beside_three_crashes_is_served() {
    let mut ledger = CrashLedger::default();
    crash_at(&mut ledger, &[100, 200, 300], &[DEADLY, BESIDE]);
    let now = at(300) + SETTLED;
    for print in [DEADLY, BESIDE] {
        assert!(!is_quarantined(&mut ledger, now, print), "nothing tells them apart yet");
    }
    crash_at(&mut ledger, &[1_400, 1_500, 1_600], &[DEADLY]);
    let now = at(1_600) + SETTLED;
    assert!(is_quarantined(&mut ledger, now, DEADLY));
    assert!(!is_quarantined(&mut ledger, now, BESIDE));
}

/// Three VMs each hold one of the deadly request's three runs, and all those of the one beside it are known here first.
/// Whoever would decide at once would blame the wrong one.
#[test]
fn nobody_is_blamed_before_the_others_runs_are_known() {
    let mut here = CrashLedger::default();
    crash_at(&mut here, &[100, 200, 300], &[BESIDE]);
    assert!(matches!(here.standing(at(310), BESIDE, TARGETS), RequestStanding::Unsettled(_)));
    let mut there = CrashLedger::default();
    crash_at(&mut there, &[100, 200, 300, 400, 420, 440], &[DEADLY]);
    here.take(at(450), &there.brief_news(at(449)));
    assert!(!is_quarantined(&mut here, at(450) + SETTLED, BESIDE));
    assert!(is_quarantined(&mut here, at(450) + SETTLED, DEADLY));
}

/// Where targets crash all the time, a request that runs long meets three crashes by chance.
#[test]
fn three_crashes_are_no_proof_where_many_targets_crash() {
    let mut ledger = CrashLedger::default();
    for second in 1..=10 {
        let time = second * 1_000;
        let other = RequestPrint(time);
        ledger.note_crash(at(time), TargetKey(time as u32), &runs(&[other]));
    }
    let long = CrashedRun { print: BESIDE, ran: Duration::from_secs(2) };
    for time in [2_500, 5_500, 8_500] {
        ledger.note_crash(at(time), TargetKey(time as u32), &[long]);
    }
    assert!(!is_quarantined(&mut ledger, at(10_000) + SETTLED, BESIDE));
}

/// A lookup that hundreds of callers make runs at every target that crashes, and is answered by all others.
#[test]
fn a_request_that_is_answered_is_not_blamed() {
    let mut ledger = CrashLedger::default();
    crash_at(&mut ledger, &[100, 200], &[BESIDE]);
    ledger.note_answered(at(250), BESIDE);
    crash_at(&mut ledger, &[300, 400], &[BESIDE]);
    assert!(!is_quarantined(&mut ledger, at(400) + SETTLED, BESIDE));
}

/// A run from before the quarantine is answered after all: the request was not to blame, and all VMs let it pass.
#[test]
fn an_answer_ends_a_quarantine_at_every_vm() {
    let mut here = quarantined();
    let mut there = CrashLedger::default();
    there.take(at(1_400), &here.whole_news(at(1_399)));
    assert!(is_quarantined(&mut there, at(1_500), DEADLY));
    here.note_answered(at(1_600), DEADLY);
    let before = there.whole_news(at(1_610));
    there.take(at(1_620), &here.whole_news(at(1_619)));
    assert!(!is_quarantined(&mut there, at(1_700), DEADLY));
    here.take(at(1_800), &before);
    assert!(
        !is_quarantined(&mut here, at(1_800), DEADLY),
        "what was said before does not bring it back"
    );
}

/// A VM starts when two targets have crashed, and the third crashes under its run: it has been told of the two, and knows.
#[test]
fn a_vm_that_starts_is_told_what_was_noted_before() {
    let mut old = CrashLedger::default();
    crash_at(&mut old, &[100, 200], &[DEADLY]);
    let later = at(60_000);
    assert!(old.whole_news(later).crashes.is_empty(), "it is not told all the time");
    old.retell(later);
    let mut new = CrashLedger::default();
    // The clock of a VM begins when it starts.
    new.take(at(5), &old.whole_news(later));
    crash_at(&mut new, &[150], &[DEADLY]);
    assert!(is_quarantined(&mut new, at(150) + SETTLED, DEADLY));
}

#[test]
fn a_quarantine_is_told_for_as_long_as_it_lasts() {
    let mut ledger = quarantined();
    let now = at(1_300) + QUARANTINE_LIFE / 2;
    assert!(is_quarantined(&mut ledger, now, DEADLY));
    for news in [ledger.whole_news(now), ledger.brief_news(now), ledger.changed_news(now, RAN)] {
        assert_eq!(news.quarantined.len(), 1);
    }
}

/// It lasts while the request comes, and ends when it has not come for long enough.
#[test]
fn a_quarantine_ends_when_nobody_asks() {
    let mut ledger = quarantined();
    let mut now = at(1_300);
    for _ in 0..3 {
        now = now + QUARANTINE_LIFE / 2;
        ledger.age(now);
        assert!(is_quarantined(&mut ledger, now, DEADLY));
    }
    now = now + QUARANTINE_LIFE;
    ledger.age(now);
    assert_eq!(ledger.standing(now, DEADLY, TARGETS), RequestStanding::Clear);
    assert_eq!(ledger.quarantine_count(), 0);
}

/// Two VMs repeat to each other what they know, each time a little late. It ends at both all the same.
#[test]
fn a_quarantine_that_nobody_asks_for_ends_while_vms_tell_each_other() {
    let (mut here, mut there) = (quarantined(), CrashLedger::default());
    let late = Duration::from_millis(50);
    let mut now = at(1_300);
    while now < at(1_300) + QUARANTINE_LIFE + Duration::from_secs(2) {
        there.take(now + late, &here.whole_news(now));
        here.take(now + late, &there.whole_news(now));
        now = now + Duration::from_millis(400);
        here.age(now);
        there.age(now);
    }
    assert_eq!((here.quarantine_count(), there.quarantine_count()), (0, 0));
}

/// A crash is forgotten in the end, so that requests that came by three in a year are not blamed.
#[test]
fn crashes_are_forgotten() {
    let mut ledger = CrashLedger::default();
    crash_at(&mut ledger, &[100, 200], &[DEADLY]);
    let later = at(100) + Duration::from_secs(1_000);
    ledger.age(later);
    assert!(!ledger.is_suspect(DEADLY));
    ledger.note_crash(later, TargetKey(9), &runs(&[DEADLY]));
    assert!(!is_quarantined(&mut ledger, later + SETTLED, DEADLY));
}

/// Engines that run two hundred requests at once crash under one of them. It is found out though nobody remembers all of
/// those that ended with it.
#[test]
fn the_one_to_blame_is_not_lost_among_hundreds() {
    let mut ledger = CrashLedger::default();
    let mut now = at(0);
    for crash in 0..8_u32 {
        now = at(u64::from(crash) * 400);
        let first = 1_000 + u64::from(crash) * 1_000;
        let mut prints: Vec<RequestPrint> = (first..first + 200).map(RequestPrint).collect();
        prints.insert(usize::try_from(crash).expect("a small number") * 20, DEADLY);
        ledger.note_crash(now, TargetKey(crash), &runs(&prints));
    }
    assert!(is_quarantined(&mut ledger, now + SETTLED, DEADLY));
}

/// Whatever crashes, and whoever asks: what is remembered and told stays small.
#[test]
fn what_is_remembered_is_bounded() {
    let mut ledger = CrashLedger::default();
    for crash in 0..2_000_u32 {
        let prints: Vec<RequestPrint> =
            (0..50).map(|run| RequestPrint(u64::from(crash) * 100 + run)).collect();
        ledger.note_crash(at(u64::from(crash)), TargetKey(crash), &runs(&prints));
    }
    for print in 0..500 {
        let mark =
            QuarantineMark { print: RequestPrint(1_000_000 + print), age_ms: 1, asked_ms: 1 };
        ledger.take_kept(at(2_000), &mark, true);
    }
    for print in 0..20_000 {
        ledger.note_answered(at(2_000), RequestPrint(180_000 + print));
    }
    ledger.retell(at(2_000));
    let news = ledger.whole_news(at(2_000));
    assert!(news.crashes.len() <= 512, "{} runs are told", news.crashes.len());
    assert!(news.cleared.len() <= 512, "{} answers are told", news.cleared.len());
    assert!(news.quarantined.len() <= 64 && ledger.kept(at(2_000)).len() <= 64);
    let suspects = (0..200_000).filter(|print| ledger.is_suspect(RequestPrint(*print))).count();
    assert!(suspects <= 256 * 32, "{suspects} requests are remembered");
}
