//! Tests of an arbiter's decisions: order, placement, and refusals.

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};
use ryetide_core::{
    arbiter::ScopeArbiter,
    catalog::ServiceCatalog,
    event::LoadReport,
    ids::{OrganisationKey, OrganisationName, RequestSequence, TargetKey, TargetName, VmName},
    message::{
        IncarnationTag, RefuseReason, ReleaseMessage, ReleaseOutcome, RequestProfile, RequestRef,
    },
    safeguard::SafeguardSwitches,
    slot_request::{ArbiterVerdict, RequestKey, SlotRequest, VerdictKind},
    units::{Moment, TierRank, Tokens},
};

const TEXT: &str = "
tiers:
  - {name: urgent, wait: 2s}
  - {name: routine, wait: 10s, fill: 0.5}
organisations:
  - {name: heavy, share: 1}
  - {name: light, share: 1}
services:
  - name: drafting
    kind: model
    targets:
      - {name: fast, data-centre: here, address: '127.0.0.1:1', slots: 4, tokens: 100000,
         prefill-rate: 10000, decode-rate: 100}
      - {name: slow, data-centre: here, address: '127.0.0.1:2', slots: 4, tokens: 100000,
         prefill-rate: 1000, decode-rate: 10}
";

const ONE_TARGET: &str = "
tiers:
  - {name: urgent, wait: 30s}
organisations:
  - {name: heavy, share: 1}
services:
  - name: records
    kind: plain
    targets:
      - {name: only, data-centre: here, address: '127.0.0.1:1', slots: 8, tokens: 100000}
";

struct Bench {
    arbiter: ScopeArbiter,
    rng: SmallRng,
    verdicts: Vec<ArbiterVerdict>,
    next: u64,
}

impl Bench {
    fn new(text: &str) -> Self {
        let catalog = ServiceCatalog::parse(text).expect("the services text should be valid");
        let scope = catalog.scopes()[0];
        let switches = SafeguardSwitches::default();
        let arbiter = ScopeArbiter::new(scope, &catalog, 1.0, Moment(0), switches);
        Self { arbiter, rng: SmallRng::seed_from_u64(1), verdicts: Vec::new(), next: 0 }
    }

    /// Requests a slot for the heavy organisation and returns the request's number.
    fn ask(&mut self, now: Moment, tier: u8, prompt: u64, output: u64, deadline: u64) -> u64 {
        self.ask_as("heavy", now, tier, (prompt, output), deadline)
    }

    fn ask_as(
        &mut self,
        organisation: &str,
        now: Moment,
        tier: u8,
        (prompt, output): (u64, u64),
        deadline: u64,
    ) -> u64 {
        self.next += 1;
        let profile = RequestProfile {
            service: self.arbiter.scope().service,
            organisation: OrganisationKey::of(&OrganisationName::from(organisation)),
            tier: TierRank(tier),
            prompt: Tokens(prompt),
            output_limit: Tokens(output),
            prefixes: Vec::new(),
        };
        let ask = SlotRequest {
            key: key(self.next),
            profile,
            deadline: now + Duration::from_millis(deadline),
            waited: Duration::ZERO,
        };
        self.arbiter.request_slot(now, ask, &mut self.rng, &mut self.verdicts);
        self.next
    }

    fn advance(&mut self, now: Moment) {
        self.arbiter.advance(now, &mut self.rng, &mut self.verdicts);
    }

    fn release(&mut self, now: Moment, number: u64, outcome: ReleaseOutcome) {
        let message = ReleaseMessage {
            ask: key(number).ask,
            scope: self.arbiter.scope(),
            outcome,
            first_piece_ms: 10,
            total_ms: 100,
            output: Tokens(10),
        };
        let vm = VmName::from("e1");
        self.arbiter.release(now, &vm, &message, &mut self.verdicts, &mut Vec::new());
    }

    /// Returns the last verdict about a request.
    fn verdict(&self, number: u64) -> Option<&VerdictKind> {
        let of_request = |verdict: &&ArbiterVerdict| verdict.key == key(number);
        self.verdicts.iter().rev().find(of_request).map(|verdict| &verdict.kind)
    }
}

fn key(number: u64) -> RequestKey {
    let ask = RequestRef { incarnation: IncarnationTag(0), sequence: RequestSequence(number) };
    RequestKey { vm: VmName::from("e1"), ask }
}

fn target(name: &str) -> TargetKey {
    TargetKey::of(&TargetName::from(name))
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn a_request_goes_to_the_faster_target() {
    let mut bench = Bench::new(TEXT);
    let number = bench.ask(at(1), 0, 100, 10, 10_000);
    assert_eq!(bench.verdict(number), Some(&VerdictKind::Grant(target("fast"))));
}

/// Guards against answers that come late because a request is granted a target that cannot complete
/// it in time. The fast target is full; the slow one is free, but would need 11 s while 6 s are
/// left. The request must stay queued for the fast one.
#[test]
fn a_target_that_would_miss_the_deadline_is_not_granted() {
    let mut bench = Bench::new(TEXT);
    let first: Vec<u64> = (0..4).map(|_| bench.ask(at(1), 0, 10, 100, 1_500)).collect();
    for number in &first {
        assert_eq!(bench.verdict(*number), Some(&VerdictKind::Grant(target("fast"))));
    }
    let long = bench.ask(at(2), 0, 1_000, 100, 6_000);
    assert_eq!(bench.verdict(long), Some(&VerdictKind::Queued));
    bench.release(at(500), first[0], ReleaseOutcome::Completed);
    assert_eq!(bench.verdict(long), Some(&VerdictKind::Grant(target("fast"))));
}

/// Guards against urgent requests that wait seconds for their first token behind long prompts at
/// the engine. Engines process prompts in order and do not preempt, so a second long request of a
/// lower tier must wait at the arbiter, where urgent requests can overtake it.
#[test]
fn prompts_of_lower_tiers_do_not_pile_up_at_an_engine() {
    let mut bench = Bench::new(TEXT);
    let long: Vec<u64> = (0..3).map(|_| bench.ask(at(1), 1, 8_000, 10, 60_000)).collect();
    let granted = long
        .iter()
        .filter(|number| matches!(bench.verdict(**number), Some(VerdictKind::Grant(_))))
        .count();
    assert_eq!(granted, 2, "one for each engine");
    let urgent = bench.ask(at(2), 0, 50, 5, 2_000);
    assert_eq!(bench.verdict(urgent), Some(&VerdictKind::Grant(target("fast"))));
    // Once the first prompt is processed, the engine gets the next one, before the first completes.
    bench.release(at(700), urgent, ReleaseOutcome::Completed);
    bench.advance(at(790));
    let granted = long
        .iter()
        .filter(|number| matches!(bench.verdict(**number), Some(VerdictKind::Grant(_))))
        .count();
    assert_eq!(granted, 3);
}

#[test]
fn routine_leaves_headroom_for_urgent() {
    let mut bench = Bench::new(TEXT);
    let routine: Vec<u64> = (0..6).map(|_| bench.ask(at(1), 1, 10, 100, 60_000)).collect();
    let granted = routine
        .iter()
        .filter(|number| matches!(bench.verdict(**number), Some(VerdictKind::Grant(_))))
        .count();
    assert_eq!(granted, 4, "half of the eight slots");
    let urgent = bench.ask(at(2), 0, 10, 10, 5_000);
    assert!(matches!(bench.verdict(urgent), Some(VerdictKind::Grant(_))));
}

/// Guards against an urgent request that is refused while routine requests wait and are served
/// later. The urgent work alone exceeds what the targets can do within its permitted wait, so a
/// request is shed; all requests that wait in lower tiers must be shed with it.
#[test]
fn routine_is_shed_before_urgent() {
    let mut bench = Bench::new(TEXT);
    let routine: Vec<u64> = (0..6).map(|_| bench.ask(at(1), 1, 10, 400, 60_000)).collect();
    let mut shed = None;
    for _ in 0..60 {
        let number = bench.ask(at(2), 0, 10, 100, 60_000);
        if matches!(bench.verdict(number), Some(VerdictKind::Refuse(RefuseReason::Shed, _))) {
            shed = Some(number);
            break;
        }
    }
    assert!(shed.is_some(), "urgent work alone should have been too much");
    for number in routine {
        let verdict = bench.verdict(number);
        assert!(
            matches!(verdict, Some(VerdictKind::Grant(_) | VerdictKind::Refuse(..))),
            "{number} still waits below shed urgent work: {verdict:?}"
        );
    }
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_before_any_prefill() {
    let mut bench = Bench::new(TEXT);
    let number = bench.ask(at(1), 0, 20_000, 100, 500);
    let refused = VerdictKind::Refuse(RefuseReason::DeadlineUnreachable, Duration::ZERO);
    match bench.verdict(number) {
        Some(VerdictKind::Refuse(reason, retry)) => {
            assert_eq!(VerdictKind::Refuse(*reason, Duration::ZERO), refused);
            assert!(*retry > Duration::ZERO);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_request_larger_than_any_target_is_refused() {
    let mut bench = Bench::new(TEXT);
    let number = bench.ask(at(1), 0, 200_000, 100, 3_600_000);
    let verdict = bench.verdict(number);
    assert!(matches!(verdict, Some(VerdictKind::Refuse(RefuseReason::TooLarge, _))), "{verdict:?}");
}

/// Guards against a request that keeps waiting after its permitted wait is over: it must be refused
/// then, and not only at its deadline.
#[test]
fn a_request_is_refused_when_its_permitted_wait_is_over() {
    let mut bench = Bench::new(TEXT);
    for _ in 0..8 {
        bench.ask(at(1), 0, 10, 1_000, 3_000_000);
    }
    let number = bench.ask(at(1), 0, 10, 10, 1_000_000);
    if bench.verdict(number) == Some(&VerdictKind::Queued) {
        bench.advance(at(2_010));
    }
    let verdict = bench.verdict(number);
    assert!(matches!(verdict, Some(VerdictKind::Refuse(RefuseReason::Shed, _))), "{verdict:?}");
}

#[test]
fn retry_delays_are_spread_and_grow_with_the_backlog() {
    let mut bench = Bench::new(TEXT);
    let mut times = Vec::new();
    for _ in 0..400 {
        let number = bench.ask(at(1), 0, 10, 100, 60_000);
        if let Some(VerdictKind::Refuse(_, retry)) = bench.verdict(number) {
            times.push(*retry);
        }
    }
    assert!(times.len() > 100, "{} refused", times.len());
    let (least, greatest) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    assert!(*greatest > *least * 2, "from {least:?} to {greatest:?}");
    let mean = |part: &[Duration]| part.iter().sum::<Duration>() / part.len() as u32;
    let (early, late) = times.split_at(times.len() / 2);
    assert!(mean(late) > mean(early), "the retry delay does not grow with the backlog");
}

#[test]
fn a_leaving_target_is_granted_to_nobody() {
    let mut bench = Bench::new(TEXT);
    let report = LoadReport { leaving: true, ..LoadReport::default() };
    bench.arbiter.record_report(at(1), target("fast"), &report, &mut Vec::new());
    let number = bench.ask(at(2), 0, 10, 10, 60_000);
    assert_eq!(bench.verdict(number), Some(&VerdictKind::Grant(target("slow"))));
    bench.arbiter.set_leaving(target("fast"), false, &mut Vec::new());
    let number = bench.ask(at(3), 0, 10, 10, 60_000);
    assert_eq!(bench.verdict(number), Some(&VerdictKind::Grant(target("fast"))));
}

/// Guards against every request being sent to an unreachable target: a failed connection must pause
/// the target, and after the pause it must be tried again.
#[test]
fn a_target_that_cannot_be_reached_is_paused() {
    let mut bench = Bench::new(TEXT);
    let number = bench.ask(at(1), 0, 10, 10, 60_000);
    bench.release(at(2), number, ReleaseOutcome::ConnectFailed);
    let next = bench.ask(at(3), 0, 10, 10, 60_000);
    assert_eq!(bench.verdict(next), Some(&VerdictKind::Grant(target("slow"))));
    let later = bench.ask(at(400), 0, 10, 10, 60_000);
    assert_eq!(bench.verdict(later), Some(&VerdictKind::Grant(target("fast"))));
}

/// Guards against slots that stay empty because an engine's load report includes the requests that
/// this arbiter granted. Reports arrive late, so the arbiter must compare them with its grants at
/// the time of the report.
#[test]
fn a_late_report_does_not_count_own_grants_twice() {
    let mut bench = Bench::new(TEXT);
    for _ in 0..3 {
        bench.ask(at(1), 0, 10, 10, 60_000);
    }
    let report = LoadReport { age_ms: 1_000, running: 3, ..LoadReport::default() };
    bench.arbiter.record_report(at(1_500), target("fast"), &report, &mut Vec::new());
    let number = bench.ask(at(1_501), 0, 10, 10, 60_000);
    assert_eq!(bench.verdict(number), Some(&VerdictKind::Grant(target("fast"))));
}

#[test]
fn load_from_other_sources_occupies_slots() {
    let mut bench = Bench::new(TEXT);
    let report = LoadReport { age_ms: 100, running: 4, ..LoadReport::default() };
    bench.arbiter.record_report(at(1_000), target("fast"), &report, &mut Vec::new());
    let number = bench.ask(at(1_001), 0, 10, 10, 60_000);
    assert_eq!(bench.verdict(number), Some(&VerdictKind::Grant(target("slow"))));
    let later = bench.ask(at(5_000), 0, 10, 10, 60_000);
    assert_eq!(bench.verdict(later), Some(&VerdictKind::Grant(target("fast"))));
}

/// Guards against slots that leak when an entry VM dies, which then never returns them.
#[test]
fn the_slots_of_a_dead_vm_are_free_again() {
    let mut bench = Bench::new(TEXT);
    for _ in 0..20 {
        bench.ask(at(1), 0, 10, 1_000, 3_000_000);
    }
    assert_eq!(bench.arbiter.held(), 8);
    bench.arbiter.remove_vm(at(2), &VmName::from("e1"), &mut Vec::new());
    assert_eq!((bench.arbiter.held(), bench.arbiter.waiting()), (0, 0));
}

/// Guards against slots that leak when the message that returns one is lost: the slot must be
/// reclaimed some time after its expected end.
#[test]
fn an_orphaned_slot_is_reclaimed() {
    let mut bench = Bench::new(TEXT);
    bench.ask(at(1), 0, 10, 100, 60_000);
    bench.advance(at(20_000));
    assert_eq!(bench.arbiter.held(), 1);
    bench.advance(at(40_000));
    assert_eq!(bench.arbiter.held(), 0);
}

/// Guards against refusals that rest on an assumed speed. The services text declares no speeds and
/// none was observed yet, so the engines may be far faster than assumed: of 60 requests with 5 s
/// each that arrive at once, none may be refused, and they are granted as slots become free.
#[test]
fn an_assumed_speed_refuses_no_request() {
    let text = TEXT.replace("prefill-rate: 10000, decode-rate: 100", "refusal-ran-nothing: true");
    let text = text.replace("prefill-rate: 1000, decode-rate: 10", "refusal-ran-nothing: true");
    let mut bench = Bench::new(&text);
    let numbers: Vec<u64> = (0..60).map(|_| bench.ask(at(1), 0, 2_000, 400, 5_000)).collect();
    let refused = |bench: &Bench| {
        let verdicts = numbers.iter().map(|number| bench.verdict(*number));
        verdicts.filter(|it| matches!(it, Some(VerdictKind::Refuse(..)))).count()
    };
    assert_eq!(refused(&bench), 0);
    for round in 0..8 {
        let granted = numbers
            .iter()
            .filter(|number| matches!(bench.verdict(**number), Some(VerdictKind::Grant(_))));
        let granted: Vec<u64> = granted.copied().collect();
        for number in granted {
            bench.release(at(100 + round * 100), number, ReleaseOutcome::Completed);
        }
    }
    assert_eq!(refused(&bench), 0);
}

/// Guards against a target that gets no requests for seconds after it is reachable again because
/// several connections failed at the same time and each doubled the pause, although they show a
/// single outage.
#[test]
fn connections_that_fail_together_make_one_pause() {
    let mut bench = Bench::new(TEXT);
    let asks: Vec<u64> = (0..4).map(|_| bench.ask(at(1), 0, 100, 10, 10_000)).collect();
    for (number, late) in asks.iter().zip([10, 11, 40, 200]) {
        assert_eq!(bench.verdict(*number), Some(&VerdictKind::Grant(target("fast"))));
        bench.release(at(late), *number, ReleaseOutcome::ConnectFailed);
    }
    let next = bench.ask(at(270), 0, 100, 10, 10_000);
    assert_eq!(bench.verdict(next), Some(&VerdictKind::Grant(target("fast"))));
    bench.release(at(280), next, ReleaseOutcome::ConnectFailed);
    let again = bench.ask(at(600), 0, 100, 10, 10_000);
    assert_eq!(
        bench.verdict(again),
        Some(&VerdictKind::Grant(target("slow"))),
        "the second pause should be twice as long"
    );
}

/// Simulates a target that crashes during each request and is down for 300 ms each time, and
/// initially for `down` milliseconds. Returns the times in milliseconds at which requests reached
/// it.
fn simulate_crashing_target(down: u64) -> Vec<u64> {
    let mut bench = Bench::new(ONE_TARGET);
    let (mut up_at, mut reached) = (down, Vec::new());
    let mut running: Vec<(u64, u64)> = Vec::new();
    for millis in (1..8_000).step_by(10) {
        bench.advance(at(millis));
        if millis % 60 == 1 {
            running.push((bench.ask(at(millis), 0, 10, 10, 30_000), 0));
        }
        let crashes = running.iter().any(|(_, end)| *end != 0 && *end <= millis);
        if crashes {
            up_at = millis + 300;
        }
        for (number, end) in std::mem::take(&mut running) {
            let granted = matches!(bench.verdict(number), Some(VerdictKind::Grant(_)));
            if end != 0 && crashes {
                bench.release(at(millis), number, ReleaseOutcome::Failed);
            } else if end == 0 && granted && millis < up_at {
                bench.release(at(millis), number, ReleaseOutcome::ConnectFailed);
            } else if end == 0 && granted {
                reached.push(millis);
                running.push((number, millis + 30));
            } else if bench.verdict(number) == Some(&VerdictKind::Queued) || end != 0 {
                running.push((number, end));
            }
        }
    }
    reached
}

/// Guards against a target that is paused for longer after each crash although it soon restarts: a
/// request that reaches it must reset the pause.
#[test]
fn a_target_that_is_reached_again_begins_with_a_short_pause() {
    for down in (1..2_000).step_by(150) {
        let reached = simulate_crashing_target(down);
        let gaps = reached.windows(2).map(|pair| pair[1] - pair[0]);
        let longest = gaps.max().expect("the target should be reached more than once");
        assert!(longest < 1_000, "initially down for {down} ms: {reached:?}");
    }
}

/// Guards against small requests to a plain service that are refused as late behind large bodies,
/// which were taken for prompts that an engine reads.
#[test]
fn large_bodies_delay_no_request_to_a_plain_service() {
    let text = ONE_TARGET.replace("tokens: 100000", "tokens: 10000000");
    let mut bench = Bench::new(&text);
    let large: Vec<u64> = (0..4).map(|_| bench.ask(at(1), 0, 800_000, 0, 60_000)).collect();
    for number in large {
        assert_eq!(bench.verdict(number), Some(&VerdictKind::Grant(target("only"))));
        bench.release(at(50), number, ReleaseOutcome::Completed);
    }
    for _ in 0..8 {
        let small = bench.ask(at(60), 0, 100, 0, 60_000);
        assert_eq!(bench.verdict(small), Some(&VerdictKind::Grant(target("only"))));
    }
}

/// Guards against requests that are refused as late behind prompts that an engine, faster than assumed,
/// has long read.
#[test]
fn prompts_that_an_engine_has_read_delay_no_request() {
    let text = ONE_TARGET.replace("plain", "model").replace("tokens: 100000", "tokens: 10000000");
    let mut bench = Bench::new(&text);
    let long: Vec<u64> = (0..4).map(|_| bench.ask(at(1), 0, 100_000, 10, 60_000)).collect();
    for number in long {
        assert_eq!(bench.verdict(number), Some(&VerdictKind::Grant(target("only"))));
        bench.release(at(150), number, ReleaseOutcome::Completed);
    }
    let short = bench.ask(at(160), 0, 100, 10, 5_000);
    assert_eq!(bench.verdict(short), Some(&VerdictKind::Grant(target("only"))));
}
