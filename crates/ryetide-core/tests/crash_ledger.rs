//! Which requests are quarantined after crashes of targets, and the reports of crashes between VMs.

use std::time::Duration;

use ryetide_core::{
    crash_ledger::{
        CrashLedger, CrashedRun, QUARANTINE_TTL, QuarantineChange, QuarantineStatus, SuspectReport,
    },
    crash_suspect::{CrashSuspect, RequestFeatures},
    ids::{ServiceKey, TargetKey},
    prompt_part::{PartId, PromptPart},
    request_fingerprint::RequestFingerprint,
    units::Moment,
};

const CRASHING: RequestFingerprint = RequestFingerprint(1);
const INNOCENT: RequestFingerprint = RequestFingerprint(2);
const TARGETS: usize = 12;
const RAN: Duration = Duration::from_millis(80);
/// Longer than the time that a ledger waits for reports of a crash.
const SETTLED: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn runs(fingerprints: &[RequestFingerprint]) -> Vec<CrashedRun> {
    fingerprints
        .iter()
        .map(|fingerprint| CrashedRun { features: (*fingerprint).into(), ran: RAN })
        .collect()
}

/// Records a crash at each of these milliseconds, each of another target.
fn crash_at(ledger: &mut CrashLedger, times: &[u64], fingerprints: &[RequestFingerprint]) {
    for time in times {
        ledger.record_crash(at(*time), TargetKey(*time as u32), &runs(fingerprints));
    }
}

fn is_quarantined(ledger: &mut CrashLedger, now: Moment, fingerprint: RequestFingerprint) -> bool {
    matches!(
        ledger.quarantine_status(now, &fingerprint.into(), TARGETS),
        QuarantineStatus::Quarantined(_)
    )
}

/// Returns a ledger in which the request that crashes targets is quarantined from 1.3 s on.
fn quarantined() -> CrashLedger {
    let mut ledger = CrashLedger::default();
    crash_at(&mut ledger, &[100, 200, 300], &[CRASHING]);
    assert!(is_quarantined(&mut ledger, at(1_300), CRASHING));
    ledger
}

#[test]
fn a_request_is_quarantined_at_its_third_crash() {
    let mut ledger = CrashLedger::default();
    crash_at(&mut ledger, &[100, 200], &[CRASHING]);
    assert_eq!(
        ledger.quarantine_status(at(2_000), &CRASHING.into(), TARGETS),
        QuarantineStatus::Clear
    );
    crash_at(&mut ledger, &[2_000], &[CRASHING]);
    let standing = ledger.quarantine_status(at(2_000) + SETTLED, &CRASHING.into(), TARGETS);
    assert_eq!(standing, QuarantineStatus::Quarantined(QUARANTINE_TTL));
    let changes = ledger.take_changes();
    assert!(matches!(
        changes[..],
        [QuarantineChange::Started(CrashSuspect::Request(CRASHING), evidence)] if evidence.crashes == 3
    ));
}

/// All crashes of a target that restarts under its old name count, but reports of two VMs of the
/// same crash count once.
#[test]
fn each_crash_of_a_target_counts_once() {
    let mut here = CrashLedger::default();
    let target = TargetKey(7);
    for second in 1..=3 {
        here.record_crash(at(second * 1_000), target, &runs(&[CRASHING]));
        let mut there = CrashLedger::default();
        there.record_crash(at(second * 1_000 + 20), target, &runs(&[CRASHING, INNOCENT]));
        here.take(at(second * 1_000 + 30), &there.own_update(at(second * 1_000 + 25)));
    }
    crash_at(&mut here, &[3_400, 3_500, 3_600], &[CRASHING]);
    let now = at(3_600) + SETTLED;
    assert!(is_quarantined(&mut here, now, CRASHING));
    let changes = here.take_changes();
    assert!(
        matches!(changes[..], [QuarantineChange::Started(_, evidence)] if evidence.crashes == 6)
    );
}

/// Guards against a quarantine of a request that happened to run at three targets crashed by
/// another one. The other request is identified by its further crashes.
#[test]
fn a_request_that_met_three_crashes_of_another_is_not_quarantined() {
    let mut ledger = CrashLedger::default();
    crash_at(&mut ledger, &[100, 200, 300], &[CRASHING, INNOCENT]);
    let now = at(300) + SETTLED;
    for fingerprint in [CRASHING, INNOCENT] {
        assert!(!is_quarantined(&mut ledger, now, fingerprint), "they cannot be distinguished yet");
    }
    crash_at(&mut ledger, &[1_400, 1_500, 1_600], &[CRASHING]);
    let now = at(1_600) + SETTLED;
    assert!(is_quarantined(&mut ledger, now, CRASHING));
    assert!(!is_quarantined(&mut ledger, now, INNOCENT));
}

/// Guards against a quarantine of the wrong request because a VM decides before it has the reports
/// of its peers. Here it knows all crashes of the innocent request first.
#[test]
fn no_request_is_quarantined_before_the_reports_of_peers_have_arrived() {
    let mut here = CrashLedger::default();
    crash_at(&mut here, &[100, 200, 300], &[INNOCENT]);
    assert!(matches!(
        here.quarantine_status(at(310), &INNOCENT.into(), TARGETS),
        QuarantineStatus::Undecided(_)
    ));
    let mut there = CrashLedger::default();
    crash_at(&mut there, &[100, 200, 300, 400, 420, 440], &[CRASHING]);
    here.take(at(450), &there.own_update(at(449)));
    assert!(!is_quarantined(&mut here, at(450) + SETTLED, INNOCENT));
    assert!(is_quarantined(&mut here, at(450) + SETTLED, CRASHING));
}

/// Guards against a quarantine of a long-running request that meets three crashes by chance, since
/// targets crash all the time.
#[test]
fn three_crashes_do_not_suffice_where_many_targets_crash() {
    let mut ledger = CrashLedger::default();
    for second in 1..=10 {
        let time = second * 1_000;
        let other = RequestFingerprint(time);
        ledger.record_crash(at(time), TargetKey(time as u32), &runs(&[other]));
    }
    let long = CrashedRun { features: INNOCENT.into(), ran: Duration::from_secs(2) };
    for time in [2_500, 5_500, 8_500] {
        ledger.record_crash(at(time), TargetKey(time as u32), std::slice::from_ref(&long));
    }
    assert!(!is_quarantined(&mut ledger, at(10_000) + SETTLED, INNOCENT));
}

/// Guards against a quarantine of a request that many callers make: it runs at every target that
/// crashes, but the other targets answer it.
#[test]
fn a_request_that_is_answered_is_not_quarantined() {
    let mut ledger = CrashLedger::default();
    crash_at(&mut ledger, &[100, 200], &[INNOCENT]);
    ledger.record_answered(at(250), at(250), &INNOCENT.into());
    crash_at(&mut ledger, &[300, 400], &[INNOCENT]);
    assert!(!is_quarantined(&mut ledger, at(400) + SETTLED, INNOCENT));
}

/// A run from before the quarantine gets a completed answer, so the request is not the cause. All
/// VMs end its quarantine, also when an older report of it arrives later.
#[test]
fn an_answer_ends_a_quarantine_at_every_vm() {
    let mut here = quarantined();
    let mut there = CrashLedger::default();
    there.take(at(1_400), &here.full_update(at(1_399)));
    assert!(is_quarantined(&mut there, at(1_500), CRASHING));
    here.record_answered(at(1_600), at(1_600), &CRASHING.into());
    let before = there.full_update(at(1_610));
    there.take(at(1_620), &here.full_update(at(1_619)));
    assert!(!is_quarantined(&mut there, at(1_700), CRASHING));
    here.take(at(1_800), &before);
    assert!(
        !is_quarantined(&mut here, at(1_800), CRASHING),
        "an older report does not restore the quarantine"
    );
}

/// Guards against a VM that starts after two crashes and does not count them when the third one
/// occurs during its own run.
#[test]
fn a_vm_that_starts_gets_earlier_crashes() {
    let mut old = CrashLedger::default();
    crash_at(&mut old, &[100, 200], &[CRASHING]);
    let later = at(60_000);
    assert!(old.full_update(later).crashes.is_empty(), "old crashes are not always reported");
    old.resend_all(later);
    let mut new = CrashLedger::default();
    // The clock of a VM starts with the VM.
    new.take(at(5), &old.full_update(later));
    crash_at(&mut new, &[150], &[CRASHING]);
    assert!(is_quarantined(&mut new, at(150) + SETTLED, CRASHING));
}

#[test]
fn a_quarantine_is_reported_for_as_long_as_it_lasts() {
    let mut ledger = quarantined();
    let now = at(1_300) + QUARANTINE_TTL / 2;
    assert!(is_quarantined(&mut ledger, now, CRASHING));
    for update in [ledger.full_update(now), ledger.own_update(now), ledger.recent_update(now, RAN)]
    {
        assert_eq!(update.quarantined.len(), 1);
    }
}

/// A quarantine lasts while attempts of the request arrive, and ends when none has arrived for long
/// enough.
#[test]
fn a_quarantine_ends_without_further_attempts() {
    let mut ledger = quarantined();
    let mut now = at(1_300);
    for _ in 0..3 {
        now = now + QUARANTINE_TTL / 2;
        ledger.age(now);
        assert!(is_quarantined(&mut ledger, now, CRASHING));
    }
    now = now + QUARANTINE_TTL;
    ledger.age(now);
    assert_eq!(ledger.quarantine_status(now, &CRASHING.into(), TARGETS), QuarantineStatus::Clear);
    assert_eq!(ledger.quarantine_count(), 0);
}

/// Guards against a quarantine that never ends because two VMs keep renewing it by their delayed
/// reports to each other.
#[test]
fn a_quarantine_without_attempts_ends_while_vms_report_it_to_each_other() {
    let (mut here, mut there) = (quarantined(), CrashLedger::default());
    let late = Duration::from_millis(50);
    let mut now = at(1_300);
    while now < at(1_300) + QUARANTINE_TTL + Duration::from_secs(2) {
        there.take(now + late, &here.full_update(now));
        here.take(now + late, &there.full_update(now));
        now = now + Duration::from_millis(400);
        here.age(now);
        there.age(now);
    }
    assert_eq!((here.quarantine_count(), there.quarantine_count()), (0, 0));
}

/// Guards against a quarantine of a request for crashes that are far apart in time.
#[test]
fn crashes_expire() {
    let mut ledger = CrashLedger::default();
    crash_at(&mut ledger, &[100, 200], &[CRASHING]);
    let later = at(100) + Duration::from_secs(1_000);
    ledger.age(later);
    assert!(!ledger.is_suspect(&CRASHING.into()));
    ledger.record_crash(later, TargetKey(9), &runs(&[CRASHING]));
    assert!(!is_quarantined(&mut ledger, later + SETTLED, CRASHING));
}

/// Guards against a cause that is not found because engines run two hundred requests at once, so
/// that the limit of records is reached.
#[test]
fn the_cause_is_found_among_hundreds_of_requests() {
    let mut ledger = CrashLedger::default();
    let mut now = at(0);
    for crash in 0..8_u32 {
        now = at(u64::from(crash) * 400);
        let first = 1_000 + u64::from(crash) * 1_000;
        let mut fingerprints: Vec<RequestFingerprint> =
            (first..first + 200).map(RequestFingerprint).collect();
        fingerprints.insert(usize::try_from(crash).expect("a small number") * 20, CRASHING);
        ledger.record_crash(now, TargetKey(crash), &runs(&fingerprints));
    }
    assert!(is_quarantined(&mut ledger, now + SETTLED, CRASHING));
}

/// Records and reports stay bounded under any number of crashes, quarantines and answers.
#[test]
fn records_and_reports_are_bounded() {
    let mut ledger = CrashLedger::default();
    for crash in 0..2_000_u32 {
        let fingerprints: Vec<RequestFingerprint> =
            (0..50).map(|run| RequestFingerprint(u64::from(crash) * 100 + run)).collect();
        ledger.record_crash(at(u64::from(crash)), TargetKey(crash), &runs(&fingerprints));
    }
    for fingerprint in 0..500 {
        let report = SuspectReport {
            suspect: CrashSuspect::Request(RequestFingerprint(1_000_000 + fingerprint)),
            age_ms: 1,
            asked_ms: 1,
        };
        ledger.take_stored(at(2_000), &report, true);
    }
    for fingerprint in 0..20_000 {
        ledger.record_answered(
            at(2_000),
            at(2_000),
            &RequestFingerprint(180_000 + fingerprint).into(),
        );
    }
    ledger.resend_all(at(2_000));
    let update = ledger.full_update(at(2_000));
    assert!(update.crashes.len() <= 512, "{} runs are reported", update.crashes.len());
    assert!(update.cleared.len() <= 512, "{} answers are reported", update.cleared.len());
    assert!(update.quarantined.len() <= 64 && ledger.stored(at(2_000)).len() <= 64);
    let suspects = (0..200_000)
        .filter(|fingerprint| ledger.is_suspect(&RequestFingerprint(*fingerprint).into()))
        .count();
    assert!(suspects <= 256 * 32, "{suspects} requests are recorded");
}

/// Returns a ledger in which a part of prompts is quarantined from 3 s on: a target crashes under it
/// every 300 ms, and requests that ended there are answered at others.
fn with_quarantined_part() -> (CrashLedger, RequestFeatures) {
    let mut ledger = CrashLedger::default();
    let features = |number: u64, parts: &[u64]| {
        let ids: Vec<PartId> = parts.iter().map(|id| PartId(*id)).collect();
        let parts = PromptPart::list(ServiceKey(1), &ids);
        RequestFeatures { fingerprint: RequestFingerprint(number), parts }
    };
    for number in 1..=6 {
        let (bad, sound) = (features(number, &[1, 7]), features(100 + number, &[1, 8]));
        let runs = [bad, sound.clone()].map(|features| CrashedRun { features, ran: RAN });
        let time = at(number * 300);
        ledger.record_crash(time, TargetKey(number as u32), &runs);
        let sent = time + Duration::from_millis(20);
        ledger.record_answered(sent + RAN, sent, &sound);
    }
    let request = features(200, &[1, 7]);
    let status = ledger.quarantine_status(at(3_000), &request, TARGETS);
    assert_eq!(status, QuarantineStatus::Quarantined(QUARANTINE_TTL));
    let sound = features(201, &[1, 8]);
    let status = ledger.quarantine_status(at(3_000), &sound, TARGETS);
    assert_eq!(status, QuarantineStatus::Clear);
    (ledger, request)
}

#[test]
fn a_quarantine_of_a_part_is_reported_and_ends_without_further_requests() {
    let (mut here, request) = with_quarantined_part();
    let mut there = CrashLedger::default();
    there.take(at(3_050), &here.own_update(at(3_040)));
    let status = there.quarantine_status(at(3_100), &request, TARGETS);
    assert_eq!(status, QuarantineStatus::Quarantined(QUARANTINE_TTL));
    let later = at(3_100) + QUARANTINE_TTL;
    here.age(later);
    assert_eq!(here.quarantine_count(), 0);
}

/// Guards against a part whose quarantine ends with a run that was sent before it crashed targets.
#[test]
fn an_answer_to_an_earlier_run_ends_no_quarantine_of_a_part() {
    let (mut ledger, request) = with_quarantined_part();
    ledger.record_sound_parts(at(3_200), at(200), &request);
    assert_eq!(ledger.quarantine_count(), 1);
    ledger.record_sound_parts(at(3_600), at(3_200), &request);
    assert_eq!(ledger.quarantine_count(), 0);
}

/// Guards against callers who invent parts by the thousand, which take a VM's memory and links, or
/// the place of a part that crashes targets.
#[test]
fn invented_parts_take_no_place() {
    let (mut ledger, request) = with_quarantined_part();
    for crash in 0..500_u64 {
        let ids: Vec<PartId> = (0..100).map(|id| PartId(1_000 + crash * 100 + id)).collect();
        let parts = PromptPart::list(ServiceKey(1), &ids);
        assert!(parts.len() <= 32);
        let fingerprint = RequestFingerprint(10_000 + crash);
        let run = CrashedRun { features: RequestFeatures { fingerprint, parts }, ran: RAN };
        ledger.record_crash(at(3_000 + crash), TargetKey(100 + crash as u32), &[run]);
    }
    let update = ledger.own_update(at(3_600));
    let parts: usize = update.parts.crashes.iter().map(|report| report.parts.len()).sum();
    assert!(parts <= 1_024, "{parts} parts are reported");
    let status = ledger.quarantine_status(at(3_600), &request, TARGETS);
    assert_eq!(status, QuarantineStatus::Quarantined(QUARANTINE_TTL));
}
