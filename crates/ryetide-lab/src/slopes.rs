//! Measurements for docs/CAPACITY.md: how memory, traffic and processor time grow with the size of a
//! deployment. Each is measured on the core alone, or on encoded frames, at several sizes.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::SmallRng};
use ryetide_core::{
    arbiter::ScopeArbiter,
    catalog::ServiceCatalog,
    effect::{Effect, EffectBuffer},
    entry::{EntryCore, EntryOptions},
    event::{Event, ListedVm, TableAnswer, TableRow},
    ids::{
        DataCentreKey, DataCentreName, Incarnation, OrganisationKey, OrganisationName,
        RequestSequence, ServiceKey, ServiceName, TableToken, TargetKey, TargetName, VmName,
    },
    message::{
        self, HeartbeatMessage, HeldSlotMessage, IncarnationTag, PeerMessage, ReleaseMessage,
        ReleaseOutcome, RequestProfile, RequestRef, SlotRequestMessage,
    },
    safeguard::SafeguardSwitches,
    slot_request::{RequestKey, SlotRequest, VerdictKind},
    units::{Moment, Revision, TierRank, Tokens},
};

use crate::line_fit;

/// Runs all measurements and prints the results.
pub fn run() {
    println!("== resident memory");
    print_memory();
    println!("== bytes of messages (frame with its length, before QUIC and UDP)");
    print_frames();
    println!("== a heartbeat by scopes under load");
    let points: Vec<(f64, f64)> =
        [0, 1, 2, 4, 8].map(|loads| (f64::from(loads), heartbeat_bytes(loads))).to_vec();
    line_fit::print_fit("heartbeat bytes over loaded scopes", "bytes a scope", &points);
    println!("== heartbeats that one core sends, by peers");
    let points: Vec<(f64, f64)> =
        [8, 40, 81, 160, 409].map(|peers| (f64::from(peers), heartbeat_rate(peers))).to_vec();
    line_fit::print_fit("heartbeats a second over peers", "a second a peer", &points);
    println!("== decisions of an arbiter");
    for replicas in [8, 30, 60, 120] {
        let times = decision_times(replicas, 100);
        println!("    {replicas} replicas, 100 organisations: {times}");
    }
    for organisations in [100, 1_000, 5_000, 10_000] {
        let times = decision_times(120, organisations);
        println!("    120 replicas, {organisations} organisations: {times}");
    }
    println!("== processor time of the core for one whole request, arbiter and entry VM in one");
    let points: Vec<(f64, f64)> =
        [500, 1_000, 2_000, 4_000].map(|count| (f64::from(count), requests_time(count))).to_vec();
    line_fit::print_fit("milliseconds over requests", "ms a request", &points);
    println!("== processor time of idle peers");
    let points: Vec<(f64, f64)> =
        [8, 40, 81, 160, 409].map(|peers| (f64::from(peers), peers_time(peers))).to_vec();
    line_fit::print_fit(
        "ms of core time a second over peers, each heard at the interval",
        "ms",
        &points,
    );
    println!("== adopting a services text");
    let points: Vec<(f64, f64)> =
        [100, 1_000, 5_000, 10_000].map(|count| (f64::from(count), adopt_time(count))).to_vec();
    line_fit::print_fit("ms over organisations, 600 replicas of 16 services", "ms", &points);
    let points: Vec<(f64, f64)> = [100, 1_000, 5_000, 10_000]
        .map(|count| (f64::from(count), fleet_text(count, 600).len() as f64))
        .to_vec();
    line_fit::print_fit("bytes of the text over organisations, 600 replicas", "bytes", &points);
}

fn profile() -> RequestProfile {
    RequestProfile {
        service: ServiceKey::of(&ServiceName::from("model-1")),
        organisation: OrganisationKey::of(&OrganisationName::from("org-1")),
        tier: TierRank(2),
        prompt: Tokens(2_000),
        output_limit: Tokens(400),
        prefixes: (0..4).map(|index| 0x9e37_79b9_u32.rotate_left(index)).collect(),
    }
}

fn request_ref() -> RequestRef {
    RequestRef { incarnation: IncarnationTag(0xbeef), sequence: RequestSequence(1_000_000) }
}

/// The length of the prefix of each frame on a peer connection.
const FRAME_LENGTH: usize = 4;

fn frame_bytes(message: &PeerMessage) -> usize {
    message::encode(message).len() + FRAME_LENGTH
}

fn print_frames() {
    let scope = message::scope_of(
        ServiceKey::of(&ServiceName::from("model-1")),
        DataCentreKey::of(&DataCentreName::from("hall-a")),
    );
    let target = TargetKey::of(&TargetName::from("target-1"));
    let ask = PeerMessage::Ask(SlotRequestMessage {
        ask: request_ref(),
        data_centre: scope.data_centre,
        profile: profile(),
        deadline_ms: 30_000,
        waited_ms: 0,
    });
    let release = PeerMessage::Release(ReleaseMessage {
        ask: request_ref(),
        scope,
        outcome: ReleaseOutcome::Completed,
        first_piece_ms: 400,
        total_ms: 12_000,
        output: Tokens(400),
    });
    let holding = PeerMessage::Holding(HeldSlotMessage {
        ask: request_ref(),
        data_centre: scope.data_centre,
        target,
        profile: profile(),
        running_ms: 6_000,
    });
    let rows = [
        ("ask", ask),
        ("grant", PeerMessage::Grant { ask: request_ref(), target }),
        ("queued", PeerMessage::Queued { ask: request_ref() }),
        ("release", release),
        ("holding", holding),
        ("heartbeat, idle", PeerMessage::Heartbeat(HeartbeatMessage::default())),
    ];
    for (name, message) in rows {
        println!("    {name}: {} bytes", frame_bytes(&message));
    }
}

fn heartbeat_bytes(loads: u32) -> f64 {
    let load = |number: u32| ryetide_core::message::ScopeLoad {
        scope: message::scope_of(
            ServiceKey(number.wrapping_mul(0x9e37_79b9)),
            DataCentreKey(7 << 25),
        ),
        usable: true,
        waits_ms: vec![0, 10, 200, 2_000, 20_000],
    };
    let heartbeat = HeartbeatMessage {
        revision: Revision(325_000),
        leaving: false,
        loads: (1..=loads).map(load).collect(),
    };
    frame_bytes(&PeerMessage::Heartbeat(heartbeat)) as f64
}

fn core_with_peers(peers: u32) -> EntryCore {
    let options =
        EntryOptions::new(VmName::from("e0"), DataCentreName::from("hall-0"), Incarnation(1));
    let mut core = EntryCore::new(options);
    let mut effects = EffectBuffer::new(usize::MAX);
    core.step(Moment(1), Event::ListRead(listed(peers)), &mut effects);
    core
}

/// Puts a services text in force by answering the core's first read of the table.
fn adopt(core: &mut EntryCore, text: &str, effects: &mut EffectBuffer) {
    let value = serde_json::json!({"revision": 1, "operation": 1, "text": text}).to_string();
    let answer = TableAnswer::Row(Some(TableRow { version: 1, value }));
    let event = Event::TableReplied { token: TableToken(1), answer };
    core.step(Moment::from_millis(2), event, effects);
}

fn listed(peers: u32) -> Vec<ListedVm> {
    let vm = |number: u32| ListedVm {
        name: format!("e{number}"),
        data_centre: DataCentreName::from(format!("hall-{}", number % 5).as_str()),
        peer_address: Some(([127, 0, 0, 1], 10_000).into()),
        leaving: false,
    };
    (1..=peers).map(vm).collect()
}

/// Returns the heartbeats per second that a core sends, over 60 s.
fn heartbeat_rate(peers: u32) -> f64 {
    let mut core = core_with_peers(peers);
    let mut effects = EffectBuffer::new(usize::MAX);
    let mut sent = 0;
    for tick in 1..=240_u64 {
        core.step(Moment::from_millis(tick * 250), Event::Tick, &mut effects);
        let is_heartbeat = |effect: &Effect| {
            matches!(effect, Effect::Send { message: PeerMessage::Heartbeat(_), .. })
        };
        sent += effects.drain().filter(is_heartbeat).count();
    }
    sent as f64 / 60.0
}

/// Returns the processor time per second, in milliseconds, for receiving the heartbeats of `peers` at
/// the interval at which the core sends them.
fn peers_time(peers: u32) -> f64 {
    let mut core = core_with_peers(peers);
    let mut effects = EffectBuffer::new(usize::MAX);
    // The core's interval: heartbeats of 150 bytes within a budget of 3,000 bytes per second.
    let interval = Duration::from_millis(250).max(Duration::from_millis(u64::from(peers) * 50));
    let rounds = 20;
    let started = Instant::now();
    for round in 1..=rounds {
        let now = Moment(1) + interval * round;
        for number in 1..=peers {
            let event = Event::PeerMessage {
                from: VmName::from(format!("e{number}").as_str()),
                incarnation: Incarnation(u64::from(number)),
                address: ([127, 0, 0, 1], 10_000).into(),
                data_centre: DataCentreName::from(format!("hall-{}", number % 5).as_str()),
                message: PeerMessage::Heartbeat(HeartbeatMessage::default()),
            };
            core.step(now, event, &mut effects);
            black_box(effects.drain().count());
        }
    }
    let spent = started.elapsed().as_secs_f64() * 1_000.0;
    spent / (interval.as_secs_f64() * f64::from(rounds))
}

/// Returns a services text with 16 services in five data centres.
fn fleet_text(organisations: u32, replicas: u32) -> String {
    let mut text = "tiers:\n".to_owned();
    for tier in 0..5 {
        text += &format!("  - {{name: tier-{tier}, wait: 10s, fill: 0.9}}\n");
    }
    text.push_str("organisations:\n");
    for number in 0..organisations {
        text += &format!("  - {{name: org-{number}, share: {}}}\n", number % 9 + 1);
    }
    text.push_str("services:\n");
    for service in 0..16 {
        text += &format!("  - name: model-{service}\n    kind: model\n    targets:\n");
        for replica in (0..replicas).filter(|replica| replica % 16 == service) {
            text += &format!(
                "      - {{name: target-{replica}, data-centre: hall-{}, \
                 address: '10.0.0.1:{}', slots: 16, tokens: 200000}}\n",
                replica / 16 % 5,
                1_000 + replica
            );
        }
    }
    text
}

/// Returns the median time that a core takes to put a services text in force, in milliseconds.
fn adopt_time(organisations: u32) -> f64 {
    let text = fleet_text(organisations, 600);
    let mut times = Vec::new();
    for _ in 0..5 {
        let mut core = core_with_peers(8);
        let mut effects = EffectBuffer::new(usize::MAX);
        let started = Instant::now();
        adopt(&mut core, &text, &mut effects);
        times.push(started.elapsed().as_secs_f64() * 1_000.0);
        assert_eq!(core.configuration().revision(), Revision(1), "the text is in force");
    }
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Returns a services text with one service of `replicas` targets in one data centre.
fn scope_text(replicas: u32, organisations: u32) -> String {
    let mut text = "tiers:\n".to_owned();
    for tier in 0..5 {
        text += &format!("  - {{name: tier-{tier}, wait: 10s, fill: 0.9}}\n");
    }
    text.push_str("organisations:\n");
    for number in 0..organisations {
        text += &format!("  - {{name: org-{number}, share: 1}}\n");
    }
    text.push_str("services:\n  - name: model-1\n    kind: model\n    targets:\n");
    for replica in 0..replicas {
        text += &format!(
            "      - {{name: target-{replica}, data-centre: hall-0, address: '10.0.0.1:1000', \
             slots: 16, tokens: 200000, prefill-rate: 20000, decode-rate: 50}}\n"
        );
    }
    text
}

/// Measures slot requests and releases at an arbiter whose slots are all in use, with a queue.
fn decision_times(replicas: u32, organisations: u32) -> String {
    let catalog = ServiceCatalog::parse(&scope_text(replicas, organisations));
    let catalog = catalog.expect("the generated text is valid");
    let scope = catalog.scopes()[0];
    let switches = SafeguardSwitches::default();
    let mut arbiter = ScopeArbiter::new(scope, &catalog, 1.0, Moment(1), switches);
    let mut rng = SmallRng::seed_from_u64(7);
    let keys: Vec<OrganisationKey> = catalog.organisations().keys().copied().collect();
    let (mut verdicts, mut notices) = (Vec::new(), Vec::new());
    let mut held = std::collections::VecDeque::new();
    let mut times = Vec::new();
    let vm = VmName::from("e1");
    for number in 0..40_000_u64 {
        let now = Moment(number * 500 + 1);
        let ask = RequestRef { incarnation: IncarnationTag(0), sequence: RequestSequence(number) };
        let key = RequestKey { vm: vm.clone(), ask };
        let organisation = keys[(number as usize * 7_919) % keys.len()];
        let profile =
            RequestProfile { organisation, tier: TierRank((number % 5) as u8), ..profile() };
        let ask = SlotRequest {
            key,
            profile,
            deadline: now + Duration::from_secs(60),
            waited: Duration::ZERO,
        };
        let started = Instant::now();
        arbiter.request_slot(now, ask, &mut rng, &mut verdicts);
        times.push(started.elapsed());
        let grants = verdicts.drain(..).filter(|it| matches!(it.kind, VerdictKind::Grant(_)));
        held.extend(grants.map(|verdict| verdict.key));
        // Slots are released at the rate at which a fully used scope completes its requests.
        if held.len() >= replicas as usize * 12 {
            let Some(key) = held.pop_front() else { continue };
            let release = ReleaseMessage {
                ask: key.ask,
                scope,
                outcome: ReleaseOutcome::Completed,
                first_piece_ms: 150,
                total_ms: 8_000,
                output: Tokens(400),
            };
            let started = Instant::now();
            arbiter.release(now, &vm, &release, &mut verdicts, &mut notices);
            times.push(started.elapsed());
            let grants = verdicts.drain(..).filter(|it| matches!(it.kind, VerdictKind::Grant(_)));
            held.extend(grants.map(|verdict| verdict.key));
        }
    }
    times.sort();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e6;
    format!("p50 {:.2} us, p99 {:.2} us over {} decisions", at(0.5), at(0.99), times.len())
}

/// Returns the processor time of `count` requests from arrival to end, in milliseconds, on a core that
/// is its own arbiter.
fn requests_time(count: u32) -> f64 {
    let mut core = core_with_peers(0);
    let mut effects = EffectBuffer::new(usize::MAX);
    adopt(&mut core, &scope_text(8, 10), &mut effects);
    effects.drain();
    let started = Instant::now();
    for number in 1..=u64::from(count) {
        let now = Moment::from_millis(1_000 + number * 20);
        run_request(&mut core, now, RequestSequence(number), &mut effects);
    }
    let spent = started.elapsed().as_secs_f64() * 1_000.0;
    assert!(core.status().requests.is_empty(), "every request has ended");
    spent
}

/// Runs one request with an answer of 32 pieces through all steps of the core.
fn run_request(
    core: &mut EntryCore,
    now: Moment,
    sequence: RequestSequence,
    effects: &mut EffectBuffer,
) {
    let request = ryetide_core::event::CallerRequest {
        sequence,
        service: "model-1".to_owned(),
        organisation: "org-1".to_owned(),
        tier: "tier-1".to_owned(),
        deadline: Duration::from_secs(30),
        non_idempotent: false,
        key: None,
        prompt: Tokens(200),
        output_limit: Tokens(32),
        prefixes: Vec::new(),
        call: ryetide_core::event::TargetCall {
            method: "POST".to_owned(),
            path: String::new(),
            content_type: String::new(),
            body: bytes::Bytes::from_static(b"{}"),
        },
    };
    core.step(now, Event::Arrived(request), effects);
    let attempt = effects.drain().find_map(|effect| match effect {
        Effect::Connect { attempt, .. } => Some(attempt),
        _ => None,
    });
    let Some(attempt) = attempt else { return };
    core.step(now, Event::Connected { sequence, attempt }, effects);
    let piece = bytes::Bytes::from_static(&[b'x'; 60]);
    for number in 0..32_u64 {
        let event =
            Event::TargetPiece { sequence, attempt, offset: number * 60, bytes: piece.clone() };
        core.step(now, event, effects);
        effects.drain();
    }
    core.step(now, Event::TargetEnd { sequence, attempt, length: 32 * 60 }, effects);
    effects.drain();
}

/// Prints how the resident memory of this process grows with the state of a core. It must run first,
/// and the state is kept until the end, because reuse of freed memory would hide the growth.
fn print_memory() {
    let mut kept: Vec<Vec<EntryCore>> = Vec::new();
    let mut points = Vec::new();
    for peers in [50, 100, 200, 409] {
        let base = resident_bytes();
        kept.push((0..MEMORY_COPIES).map(|_| core_with_peers(peers)).collect());
        let grown = resident_bytes().saturating_sub(base) as f64 / f64::from(MEMORY_COPIES);
        points.push((f64::from(peers), grown));
    }
    line_fit::print_fit("bytes of a core over peers known", "bytes a peer", &points);
    let mut catalogs = Vec::new();
    let mut points = Vec::new();
    for organisations in [100, 1_000, 5_000, 10_000] {
        let text = fleet_text(organisations, 600);
        let base = resident_bytes();
        catalogs.push(
            (0..4)
                .map(|_| ServiceCatalog::parse(&text).expect("the generated text is valid"))
                .collect::<Vec<_>>(),
        );
        let grown = resident_bytes().saturating_sub(base) as f64 / 4.0;
        points.push((f64::from(organisations), grown));
    }
    line_fit::print_fit("bytes of a catalog over organisations, 600 replicas", "bytes", &points);
    print_waiting_memory();
    black_box((kept, catalogs));
}

/// The number of copies of a core, so that their memory is much larger than a page.
const MEMORY_COPIES: u32 = 50;

fn print_waiting_memory() {
    let catalog = ServiceCatalog::parse(&scope_text(1, 10)).expect("the generated text is valid");
    let (scope, switches) = (catalog.scopes()[0], SafeguardSwitches::default());
    let later = Moment(u64::MAX / 2);
    let mut arbiters: Vec<ScopeArbiter> =
        (0..8).map(|_| ScopeArbiter::new(scope, &catalog, 1.0, later, switches)).collect();
    let (mut rng, mut verdicts) = (SmallRng::seed_from_u64(7), Vec::new());
    let (now, base) = (Moment(u64::MAX / 2 - 1), resident_bytes());
    let organisation = OrganisationKey::of(&OrganisationName::from("org-1"));
    let mut points = Vec::new();
    for number in 1..=4_000_u64 {
        for arbiter in &mut arbiters {
            let ask =
                RequestRef { incarnation: IncarnationTag(0), sequence: RequestSequence(number) };
            let profile = RequestProfile {
                organisation,
                prompt: Tokens(1),
                output_limit: Tokens(1),
                ..profile()
            };
            let ask = SlotRequest {
                key: RequestKey { vm: VmName::from("e1"), ask },
                profile,
                deadline: now + Duration::from_secs(3_600),
                waited: Duration::ZERO,
            };
            arbiter.request_slot(now, ask, &mut rng, &mut verdicts);
            verdicts.clear();
        }
        if number.is_multiple_of(1_000) {
            let waiting: usize = arbiters.iter().map(ScopeArbiter::waiting).sum();
            points.push((waiting as f64, resident_bytes().saturating_sub(base) as f64));
        }
    }
    line_fit::print_fit("bytes over requests waiting at an arbiter", "bytes a request", &points);
    black_box(arbiters);
}

/// Returns the resident memory of this process.
///
/// # Panics
///
/// Panics when the system does not provide the figure, which must not count as zero.
pub fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("/proc/self/statm is readable");
    let pages = statm.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok());
    pages.expect("the second field is a number of pages") * 4_096
}
