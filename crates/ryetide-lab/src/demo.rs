//! The demo: the harness association's floor and quoting desk, on embedded stand-ins.
//!
//! Three data centres with three entry VMs and three replicas of the drafting model each, of unlike
//! speed, and a plain service for shop-floor records. Supervisors ask for short colour checks while
//! planners upload long drawings, a hundredfold apart; for a while the drawings alone are more than
//! the replicas can do.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use ntex::rt::{DefaultRuntime, System};
use ryetide::error::StepError;

use crate::{
    caller::{CallOutcome, CallTerms, TestCaller},
    deployment::{ServiceSite, TargetSite, TextFrame},
    engine_batch::{EnginePrompt, EngineSpeed},
    site::{LocalSite, SitePlan},
    workload::{self, WorkArrival, WorkClass},
};

/// How long arrivals last.
const SPAN: Duration = Duration::from_secs(10);
/// The seed of the arrivals.
const SEED: u64 = 20_261_202;
/// Times that a caller comes back after it was told when.
const COMEBACKS: u32 = 1;
const DATA_CENTRES: [&str; 3] = ["rajkot-hall", "ahd-hall", "morbi-hall"];
const SERVICE: &str = "drafting";

/// What the callers of one tier were told.
#[derive(Clone, Debug, Default)]
pub struct TierTally {
    /// Requests.
    pub offered: u64,
    /// Whole answers within the deadline.
    pub answered: u64,
    /// Whole answers after the deadline.
    pub late: u64,
    /// Not run, after coming back.
    pub not_run: u64,
    /// May have run.
    pub unknown: u64,
    /// Connections that failed.
    pub cut: u64,
    /// Answers that were not what the caller must receive.
    pub wrong: u64,
    /// Tokens of answers within the deadline.
    pub tokens: u64,
    /// Comebacks after "not run".
    pub comebacks: u64,
}

/// The demo's result.
#[derive(Clone, Debug, Default)]
pub struct DemoReport {
    /// By tier.
    pub tiers: BTreeMap<String, TierTally>,
    /// Prompt tokens that the engines worked on.
    pub prefilled: u64,
    /// Prompt tokens worked on for answers that were not received in time.
    pub wasted: u64,
    /// Requests dispatched more than once, as the engines count.
    pub doubled: u64,
    /// How long it took.
    pub took: Duration,
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<8} {:>8} {:>9} {:>6} {:>8} {:>8} {:>4} {:>6} {:>10} {:>10}",
            "tier",
            "offered",
            "answered",
            "late",
            "not-run",
            "unknown",
            "cut",
            "wrong",
            "tokens/s",
            "comebacks"
        )?;
        for (tier, tally) in &self.tiers {
            writeln!(
                formatter,
                "{:<8} {:>8} {:>9} {:>6} {:>8} {:>8} {:>4} {:>6} {:>10.0} {:>10}",
                tier,
                tally.offered,
                tally.answered,
                tally.late,
                tally.not_run,
                tally.unknown,
                tally.cut,
                tally.wrong,
                tally.tokens as f64 / SPAN.as_secs_f64(),
                tally.comebacks
            )?;
        }
        let share = 100.0 * self.wasted as f64 / self.prefilled.max(1) as f64;
        writeln!(
            formatter,
            "wasted prefill: {} of {} prompt tokens ({share:.2} %)",
            self.wasted, self.prefilled
        )?;
        writeln!(formatter, "dispatched more than once: {}", self.doubled)?;
        write!(formatter, "took {:.1} s", self.took.as_secs_f64())
    }
}

/// Runs the demo.
///
/// # Errors
///
/// Returns a [`StepError`] when a part of it cannot be started.
pub fn run() -> Result<DemoReport, StepError> {
    let started = Instant::now();
    let site = LocalSite::start(&plan())?;
    let arrivals = workload::draw(&classes(), SPAN, SEED);
    let doors = site.doors();
    let results = System::new("callers", DefaultRuntime)
        .block_on(async move { play(arrivals, doors).await })?;
    let mut report = DemoReport { tiers: results.tiers, ..DemoReport::default() };
    for engine in site.engines() {
        let record = engine.record();
        report.prefilled += record.prefilled;
        report.doubled += record.dispatches.values().filter(|count| **count > 1).count() as u64;
    }
    report.wasted = results.wasted;
    site.stop()?;
    report.took = started.elapsed();
    Ok(report)
}

/// The association's deployment: nine replicas of three speeds.
fn plan() -> SitePlan {
    let speeds = [1.0, 0.7, 0.4];
    let mut targets = Vec::new();
    for (index, centre) in DATA_CENTRES.iter().enumerate() {
        for (replica, factor) in speeds.iter().enumerate() {
            targets.push(TargetSite {
                name: format!("drafting-{index}-{replica}"),
                data_centre: (*centre).to_owned(),
                address: SocketAddr::from(([127, 0, 0, 1], 0)),
                speed: Some(EngineSpeed {
                    slots: 8,
                    tokens: 60_000,
                    prefill_rate: 20_000.0 * factor,
                    decode_rate: 150.0 * factor,
                    cache_blocks: 256,
                }),
            });
        }
    }
    SitePlan {
        entries: DATA_CENTRES
            .iter()
            .enumerate()
            .flat_map(|(index, centre)| {
                (0..3).map(move |number| (format!("entry-{index}-{number}"), (*centre).to_owned()))
            })
            .collect(),
        services: vec![ServiceSite { name: SERVICE.to_owned(), targets, depends_on: Vec::new() }],
        frame: TextFrame {
            tiers: vec![
                ("floor".to_owned(), "2s".to_owned(), 1.0),
                ("desk".to_owned(), "10s".to_owned(), 0.8),
            ],
            organisations: organisations().into_iter().zip([4, 2, 2, 1, 1]).collect(),
        },
    }
}

fn organisations() -> Vec<String> {
    ["asha", "bharat", "chamunda", "dwarka", "eklavya"].map(str::to_owned).to_vec()
}

fn classes() -> Vec<WorkClass> {
    vec![
        WorkClass {
            tier: "floor".to_owned(),
            service: SERVICE.to_owned(),
            organisations: organisations(),
            rate: 60.0,
            prompt_bytes: (100, 400),
            output: (6, 24),
            deadline: Duration::from_secs(3),
        },
        WorkClass {
            tier: "desk".to_owned(),
            service: SERVICE.to_owned(),
            organisations: organisations(),
            rate: 40.0,
            prompt_bytes: (8_000, 40_000),
            output: (100, 300),
            deadline: Duration::from_secs(12),
        },
    ]
}

#[derive(Default)]
struct PlayResults {
    tiers: BTreeMap<String, TierTally>,
    wasted: u64,
}

/// Plays the arrivals at their times, each through the next entry VM in turn, as a balancer would.
async fn play(
    arrivals: Vec<WorkArrival>,
    doors: Vec<SocketAddr>,
) -> Result<PlayResults, StepError> {
    let caller = TestCaller::new().await?;
    let results = Rc::new(std::cell::RefCell::new(PlayResults::default()));
    let start = tokio::time::Instant::now();
    let mut calls = Vec::new();
    for (index, arrival) in arrivals.into_iter().enumerate() {
        tokio::time::sleep_until(start + arrival.at).await;
        let door = doors[index % doors.len()];
        let (caller, results) = (caller.clone(), Rc::clone(&results));
        calls.push(ntex::rt::spawn(async move {
            call(&caller, door, &arrival, &results).await;
        }));
    }
    for one in calls {
        one.await.map_err(|error| StepError::new("call", error.to_string()))?;
    }
    Ok(results.take())
}

async fn call(
    caller: &TestCaller,
    door: SocketAddr,
    arrival: &WorkArrival,
    results: &std::cell::RefCell<PlayResults>,
) {
    let prompt = EnginePrompt {
        model: arrival.service.clone(),
        prompt: arrival.prompt.clone(),
        max_tokens: arrival.output,
        stream: true,
        ..EnginePrompt::default()
    };
    let mut terms = CallTerms {
        organisation: arrival.organisation.clone(),
        tier: arrival.tier.clone(),
        deadline: arrival.deadline,
        key: None,
        non_idempotent: false,
    };
    let started = Instant::now();
    let mut comebacks = 0;
    let result = loop {
        terms.deadline = arrival.deadline.saturating_sub(started.elapsed());
        let result = caller.prompt(door, &terms, &prompt).await;
        let again =
            result.retry_after.filter(|after| started.elapsed() + *after < arrival.deadline);
        match again {
            Some(after) if result.outcome == CallOutcome::NotRun && comebacks < COMEBACKS => {
                comebacks += 1;
                tokio::time::sleep(after).await;
            }
            _ => break result,
        }
    };
    let late = started.elapsed() > arrival.deadline;
    let mut results = results.borrow_mut();
    let wrong = result.body != prompt.expected_stream().as_bytes();
    let tally = results.tiers.entry(arrival.tier.clone()).or_default();
    tally.offered += 1;
    tally.comebacks += u64::from(comebacks);
    match result.outcome {
        CallOutcome::Answered if wrong => tally.wrong += 1,
        CallOutcome::Answered if late => tally.late += 1,
        CallOutcome::Answered => {
            tally.answered += 1;
            tally.tokens += prompt.output();
        }
        CallOutcome::NotRun => tally.not_run += 1,
        CallOutcome::Unknown => tally.unknown += 1,
        CallOutcome::Cut => tally.cut += 1,
    }
    let useless =
        result.outcome != CallOutcome::NotRun && (late || result.outcome != CallOutcome::Answered);
    if useless {
        results.wasted += prompt.prompt_tokens();
    }
}
