//! The demo: a deployment on embedded stand-ins with two tiers of very different requests.
//!
//! It has three data centres, each with three entry VMs and three replicas of a model service of
//! different speeds. The urgent tier has short prompts and the other tier prompts that are up to a
//! hundred times as long, whose load alone temporarily exceeds the capacity of the replicas.

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
    deployment::{ServiceSite, SharingPolicy, TargetSite},
    engine_batch::{EnginePrompt, EngineSpeed},
    site::{LocalSite, SitePlan},
    workload::{self, WorkArrival, WorkClass},
};

/// The time during which requests arrive.
const ARRIVAL_TIME: Duration = Duration::from_secs(10);
/// The seed of the arrivals.
const SEED: u64 = 20_261_202;
/// The number of retries of a caller whose request did not run.
const MAX_RETRIES: u32 = 1;
const DATA_CENTRES: [&str; 3] = ["rajkot-hall", "ahd-hall", "morbi-hall"];
const SERVICE: &str = "drafting";

/// The outcomes of the requests of one tier.
#[derive(Clone, Debug, Default)]
pub struct TierTally {
    /// All requests.
    pub offered: u64,
    /// Requests answered completely within the deadline.
    pub answered: u64,
    /// Requests answered completely after the deadline.
    pub late: u64,
    /// Requests that did not run, after all retries.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests whose connection failed.
    pub disconnected: u64,
    /// Requests with a wrong answer.
    pub wrong: u64,
    /// Tokens of the answers within the deadline.
    pub tokens: u64,
    /// Retries of requests that did not run.
    pub retries: u64,
}

/// The results of the demo.
#[derive(Clone, Debug, Default)]
pub struct DemoReport {
    /// Outcomes by tier.
    pub tiers: BTreeMap<String, TierTally>,
    /// Prompt tokens that the engines processed.
    pub prefilled: u64,
    /// Prompt tokens processed for answers that were not received in time.
    pub wasted: u64,
    /// Requests that the engines received more than once.
    pub duplicates: u64,
    /// The duration of the demo.
    pub took: Duration,
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<8} {:>8} {:>9} {:>6} {:>8} {:>8} {:>12} {:>6} {:>10} {:>10}",
            "tier",
            "offered",
            "answered",
            "late",
            "not-run",
            "unknown",
            "disconnected",
            "wrong",
            "tokens/s",
            "retries"
        )?;
        for (tier, tally) in &self.tiers {
            writeln!(
                formatter,
                "{:<8} {:>8} {:>9} {:>6} {:>8} {:>8} {:>12} {:>6} {:>10.0} {:>10}",
                tier,
                tally.offered,
                tally.answered,
                tally.late,
                tally.not_run,
                tally.unknown,
                tally.disconnected,
                tally.wrong,
                tally.tokens as f64 / ARRIVAL_TIME.as_secs_f64(),
                tally.retries
            )?;
        }
        let share = 100.0 * self.wasted as f64 / self.prefilled.max(1) as f64;
        writeln!(
            formatter,
            "wasted prefill: {} of {} prompt tokens ({share:.2} %)",
            self.wasted, self.prefilled
        )?;
        writeln!(formatter, "dispatched more than once: {}", self.duplicates)?;
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
    let arrivals = workload::draw(&classes(), ARRIVAL_TIME, SEED);
    let caller_addresses = site.caller_addresses();
    let results = System::new("callers", DefaultRuntime)
        .block_on(async move { run_arrivals(arrivals, caller_addresses).await })?;
    let mut report = DemoReport { tiers: results.tiers, ..DemoReport::default() };
    for engine in site.engines() {
        let record = engine.record();
        report.prefilled += record.prefilled;
        report.duplicates += record.dispatches.values().filter(|count| **count > 1).count() as u64;
    }
    report.wasted = results.wasted;
    site.stop()?;
    report.took = started.elapsed();
    Ok(report)
}

/// Returns the deployment: nine replicas of three speeds.
fn plan() -> SitePlan {
    let speeds = [1.0, 0.7, 0.4];
    let mut targets = Vec::new();
    for (index, data_centre) in DATA_CENTRES.iter().enumerate() {
        for (replica, factor) in speeds.iter().enumerate() {
            targets.push(TargetSite {
                name: format!("drafting-{index}-{replica}"),
                data_centre: (*data_centre).to_owned(),
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
            .flat_map(|(index, data_centre)| {
                (0..3).map(move |number| {
                    (format!("entry-{index}-{number}"), (*data_centre).to_owned())
                })
            })
            .collect(),
        services: vec![ServiceSite { name: SERVICE.to_owned(), targets, depends_on: Vec::new() }],
        policy: SharingPolicy {
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
struct CallResults {
    tiers: BTreeMap<String, TierTally>,
    wasted: u64,
}

/// Sends the requests at their arrival times, to the entry VMs in turn, as a load balancer would.
async fn run_arrivals(
    arrivals: Vec<WorkArrival>,
    caller_addresses: Vec<SocketAddr>,
) -> Result<CallResults, StepError> {
    let caller = TestCaller;
    let results = Rc::new(std::cell::RefCell::new(CallResults::default()));
    let start = tokio::time::Instant::now();
    let mut calls = Vec::new();
    for (index, arrival) in arrivals.into_iter().enumerate() {
        tokio::time::sleep_until(start + arrival.at).await;
        let entry = caller_addresses[index % caller_addresses.len()];
        let results = Rc::clone(&results);
        calls.push(ntex::rt::spawn(async move {
            call(&caller, entry, &arrival, &results).await;
        }));
    }
    for one in calls {
        one.await.map_err(|error| StepError::new("call", error.to_string()))?;
    }
    Ok(results.take())
}

async fn call(
    caller: &TestCaller,
    entry: SocketAddr,
    arrival: &WorkArrival,
    results: &std::cell::RefCell<CallResults>,
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
    let mut retries = 0;
    let result = loop {
        terms.deadline = arrival.deadline.saturating_sub(started.elapsed());
        let result = caller.prompt(entry, &terms, &prompt).await;
        let retry_delay =
            result.retry_after.filter(|after| started.elapsed() + *after < arrival.deadline);
        match retry_delay {
            Some(after) if result.outcome == CallOutcome::NotRun && retries < MAX_RETRIES => {
                retries += 1;
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
    tally.retries += u64::from(retries);
    match result.outcome {
        CallOutcome::Answered if wrong => tally.wrong += 1,
        CallOutcome::Answered if late => tally.late += 1,
        CallOutcome::Answered => {
            tally.answered += 1;
            tally.tokens += prompt.output();
        }
        CallOutcome::NotRun => tally.not_run += 1,
        CallOutcome::Unknown => tally.unknown += 1,
        CallOutcome::Disconnected => tally.disconnected += 1,
    }
    let is_wasted =
        result.outcome != CallOutcome::NotRun && (late || result.outcome != CallOutcome::Answered);
    if is_wasted {
        results.wasted += prompt.prompt_tokens();
    }
}
