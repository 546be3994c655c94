//! Measures the latency that a daemon adds: the same load is sent alternately to the engines directly
//! and through one `ryetided`.
//!
//! The daemon, the engines and the platform are separate processes. Arrivals are evenly spaced at the
//! given rate, and each stream is short, so that the engines' own time is small and constant.

use std::{
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use ntex::http::Method;
use ryetide::error::StepError;
use ryetide_core::json_form;

use crate::{
    caller::{CallOutcome, CallTerms, TestCaller},
    control,
    deployment::{ServiceSite, SharingPolicy, TargetSite},
    engine_batch::{EnginePrompt, EngineSpeed},
    process_site::{ProcessSite, SitePrograms},
    site::SitePlan,
};

/// The options of the measurement.
#[derive(Clone, Debug)]
pub struct OverheadOptions {
    /// The path of the ryetided binary.
    pub daemon: PathBuf,
    /// The streams per second.
    pub rate: u32,
    /// The duration of each run, in seconds.
    pub seconds: u32,
    /// The number of runs of each path, direct and through the daemon.
    pub runs: u32,
}

/// The duration of a clock tick in `/proc`; Linux has 100 per second.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// The number of engines behind the daemon.
const ENGINES: usize = 6;
/// The length of each answer, in tokens.
const OUTPUT: u64 = 8;

struct PathResult {
    total: Histogram<u64>,
    first: Histogram<u64>,
    answered: u64,
    cpu: Duration,
    took: Duration,
}

/// Measures, and prints the results.
///
/// # Errors
///
/// Returns a [`StepError`] when something cannot be started.
pub fn run(options: &OverheadOptions) -> Result<(), StepError> {
    let lab = std::env::current_exe().map_err(|error| StepError::new("find own program", error))?;
    let programs = SitePrograms { daemon: options.daemon.clone(), lab };
    let site = ProcessSite::start(&plan(), &programs)?;
    let daemon = &site.daemons[0];
    let engines: Vec<SocketAddr> = site.targets.iter().map(|target| target.address).collect();
    let entries = vec![daemon.site.callers];
    let id = daemon.process.id();
    println!(
        "path     run  streams/s  first p50  first p99  total p50  total p99  answered  core-ms/stream"
    );
    let mut added = Vec::new();
    for number in 1..=options.runs {
        let direct = measure(options, &engines, true, None)?;
        let through = measure(options, &entries, false, Some(id))?;
        print_path("direct", number, &direct);
        print_path("through", number, &through);
        let difference = |quantile: f64| {
            let micros =
                |result: &PathResult| result.total.value_at_quantile(quantile) as f64 / 1_000.0;
            micros(&through) - micros(&direct)
        };
        let busy = through.cpu.as_secs_f64().max(0.001);
        added.push((difference(0.5), difference(0.99), through.answered as f64 / busy));
    }
    for (name, column) in [("p50", 0), ("p99", 1)] {
        let mut values: Vec<f64> =
            added.iter().map(|(p50, p99, _)| if column == 0 { *p50 } else { *p99 }).collect();
        values.sort_by(f64::total_cmp);
        let (min, median, max) = (values[0], values[values.len() / 2], values[values.len() - 1]);
        println!("added at {name}: median {median:.3} ms (min {min:.3}, max {max:.3})");
    }
    let mut rates: Vec<f64> = added.iter().map(|(_, _, rate)| *rate).collect();
    rates.sort_by(f64::total_cmp);
    println!("requests a second for each core of the daemon: median {:.0}", rates[rates.len() / 2]);
    Ok(())
}

fn plan() -> SitePlan {
    // Every dispatch opens a new connection. With one engine, all ports to its address would be in
    // TIME_WAIT after 28,000 connections within a minute.
    let engine = |number: usize| TargetSite {
        name: format!("engine-{number}"),
        data_centre: "hall".to_owned(),
        address: ([127, 0, 0, 1], 0).into(),
        speed: Some(EngineSpeed {
            slots: 4_000,
            tokens: 1_000_000_000,
            prefill_rate: 1_000_000.0,
            decode_rate: 10_000.0,
            cache_blocks: 16,
        }),
    };
    SitePlan {
        entries: vec![("e1".to_owned(), "hall".to_owned())],
        services: vec![ServiceSite {
            name: "drafting".to_owned(),
            targets: (0..ENGINES).map(engine).collect(),
            depends_on: Vec::new(),
        }],
        policy: SharingPolicy {
            tiers: vec![("floor".to_owned(), "5s".to_owned(), 1.0)],
            organisations: vec![("asha".to_owned(), 1)],
        },
    }
}

fn measure(
    options: &OverheadOptions,
    addresses: &[SocketAddr],
    direct: bool,
    process: Option<u32>,
) -> Result<PathResult, StepError> {
    let used = || process.map_or(Ok(Duration::ZERO), cpu_time);
    let before = used()?;
    let started = Instant::now();
    let (count, interval) =
        (options.rate * options.seconds, Duration::from_secs(1) / options.rate.max(1));
    let addresses = addresses.to_vec();
    let (total, first, answered) =
        control::block_on(async move { send_all(&addresses, direct, count, interval).await })?;
    let took = started.elapsed();
    let cpu = used()?.saturating_sub(before);
    Ok(PathResult { total, first, answered, cpu, took })
}

async fn send_all(
    addresses: &[SocketAddr],
    direct: bool,
    count: u32,
    interval: Duration,
) -> Result<(Histogram<u64>, Histogram<u64>, u64), StepError> {
    let histogram = || Histogram::<u64>::new(3).expect("three digits are permitted");
    let caller = Rc::new(TestCaller);
    let start = tokio::time::Instant::now();
    let mut calls = Vec::new();
    for number in 0..count {
        tokio::time::sleep_until(start + interval * number).await;
        let caller = Rc::clone(&caller);
        let address = addresses[number as usize % addresses.len()];
        calls.push(ntex::rt::spawn(async move {
            let prompt = EnginePrompt {
                model: "drafting".to_owned(),
                prompt: format!("wire colour {number}"),
                max_tokens: OUTPUT,
                stream: true,
                ..EnginePrompt::default()
            };
            let body = json_form::encode(&prompt).into_bytes();
            let path = if direct {
                format!("/v1/requests/direct~1~{}-{number}", start.elapsed().as_nanos())
            } else {
                "/v1/completions".to_owned()
            };
            let result = caller.call(address, Method::POST, &path, &terms(), body).await;
            let whole = result.body == prompt.expected_stream().as_bytes();
            // A direct answer has no outcome, so only its bytes show that it is complete.
            let good = whole && (direct || result.outcome == CallOutcome::Answered);
            (good, result.first_byte, result.total)
        }));
    }
    let (mut total, mut first, mut answered) = (histogram(), histogram(), 0);
    for call in calls {
        let (good, first_byte, took) =
            call.await.map_err(|error| StepError::new("call", error.to_string()))?;
        answered += u64::from(good);
        // These histograms resize on `record`; `saturating_record` would clip at their initial range.
        let fault = |error| StepError::new("count", error);
        total.record(took.as_micros() as u64).map_err(fault)?;
        if let Some(first_byte) = first_byte {
            first.record(first_byte.as_micros() as u64).map_err(fault)?;
        }
    }
    Ok((total, first, answered))
}

fn terms() -> CallTerms {
    CallTerms {
        organisation: "asha".to_owned(),
        tier: "floor".to_owned(),
        deadline: Duration::from_secs(10),
        key: None,
        non_idempotent: false,
    }
}

fn print_path(name: &str, number: u32, result: &PathResult) {
    let millis = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    println!(
        "{name:<8} {number:>3}  {:>9.0}  {:>6.3} ms  {:>6.3} ms  {:>6.3} ms  {:>6.3} ms  {:>8}  {:>14.3}",
        result.total.len() as f64 / result.took.as_secs_f64(),
        millis(&result.first, 0.5),
        millis(&result.first, 0.99),
        millis(&result.total, 0.5),
        millis(&result.total, 0.99),
        result.answered,
        result.cpu.as_secs_f64() * 1_000.0 / result.answered.max(1) as f64,
    );
}

/// Returns the processor time that a process has used.
///
/// # Errors
///
/// Returns a [`StepError`] when the system does not provide the time, which must not count as zero.
pub fn cpu_time(id: u32) -> Result<Duration, StepError> {
    let fault = |cause: String| StepError::new("read processor time", cause).with_peer(id);
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))
        .map_err(|error| fault(error.to_string()))?;
    let after_name = stat.rsplit(')').next().unwrap_or(&stat);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| -> Result<u32, StepError> {
        let field = fields.get(index).ok_or_else(|| fault(format!("no field {index}")))?;
        field.parse().map_err(|_| fault(format!("{field} is not a number")))
    };
    Ok(CLOCK_TICK * (ticks(11)? + ticks(12)?))
}
