//! What the way through a daemon adds: the same load sent to an engine directly and through one
//! `ryetided`, in turn, in one run.
//!
//! The daemon, the engine and the platform are processes of their own. Arrivals are evenly spaced at
//! the given rate, and each stream is short, so that the engine's own time is small and steady.

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
    deployment::{ServiceSite, TargetSite, TextFrame},
    engine_batch::{EnginePrompt, EngineSpeed},
    process_site::{ProcessSite, SitePrograms},
    site::SitePlan,
};

/// How to measure.
#[derive(Clone, Debug)]
pub struct OverheadOptions {
    /// The ryetided binary; the lab's is this program.
    pub daemon: PathBuf,
    /// Streams a second.
    pub rate: u32,
    /// Seconds of each run.
    pub seconds: u32,
    /// Runs of each way, in turn.
    pub runs: u32,
}

/// The time that a kernel's clock tick stands for; Linux has 100 in a second.
const TICK: Duration = Duration::from_millis(10);
/// Engines behind the daemon.
const ENGINES: usize = 6;
/// Tokens of each answer.
const OUTPUT: u64 = 8;

struct WayResult {
    total: Histogram<u64>,
    first: Histogram<u64>,
    answered: u64,
    cpu: Duration,
    took: Duration,
}

/// Measures and prints.
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
    let door = vec![daemon.site.callers];
    let id = daemon.process.id();
    println!(
        "way      run  streams/s  first p50  first p99  total p50  total p99  answered  core-ms/stream"
    );
    let mut added = Vec::new();
    for number in 1..=options.runs {
        let direct = measure(options, &engines, true, None)?;
        let through = measure(options, &door, false, Some(id))?;
        print_way("direct", number, &direct);
        print_way("through", number, &through);
        let difference = |quantile: f64| {
            let micros = |way: &WayResult| way.total.value_at_quantile(quantile) as f64 / 1_000.0;
            micros(&through) - micros(&direct)
        };
        let busy = through.cpu.as_secs_f64().max(0.001);
        added.push((difference(0.5), difference(0.99), through.answered as f64 / busy));
    }
    for (name, of) in [("p50", 0), ("p99", 1)] {
        let mut values: Vec<f64> =
            added.iter().map(|(p50, p99, _)| if of == 0 { *p50 } else { *p99 }).collect();
        values.sort_by(f64::total_cmp);
        let (least, middle, greatest) =
            (values[0], values[values.len() / 2], values[values.len() - 1]);
        println!("added at {name}: median {middle:.3} ms (min {least:.3}, max {greatest:.3})");
    }
    let mut rates: Vec<f64> = added.iter().map(|(_, _, rate)| *rate).collect();
    rates.sort_by(f64::total_cmp);
    println!("requests a second for each core of the daemon: median {:.0}", rates[rates.len() / 2]);
    Ok(())
}

fn plan() -> SitePlan {
    // Several engines, since every dispatch opens a connection of its own: one address would run out
    // of ports that are not in TIME_WAIT after 28,000 connections within a minute.
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
        frame: TextFrame {
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
) -> Result<WayResult, StepError> {
    let used = || process.map_or(Ok(Duration::ZERO), cpu_time);
    let before = used()?;
    let started = Instant::now();
    let (count, gap) =
        (options.rate * options.seconds, Duration::from_secs(1) / options.rate.max(1));
    let addresses = addresses.to_vec();
    let (total, first, answered) =
        control::block_on(async move { play(&addresses, direct, count, gap).await })?;
    let took = started.elapsed();
    let cpu = used()?.saturating_sub(before);
    Ok(WayResult { total, first, answered, cpu, took })
}

async fn play(
    addresses: &[SocketAddr],
    direct: bool,
    count: u32,
    gap: Duration,
) -> Result<(Histogram<u64>, Histogram<u64>, u64), StepError> {
    let histogram = || Histogram::<u64>::new(3).expect("three digits are permitted");
    let caller = Rc::new(TestCaller::new().await?);
    let start = tokio::time::Instant::now();
    let mut calls = Vec::new();
    for number in 0..count {
        tokio::time::sleep_until(start + gap * number).await;
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
            // A direct answer carries no outcome; its bytes say that it is whole.
            let good = whole && (direct || result.outcome == CallOutcome::Answered);
            (good, result.first_byte, result.total)
        }));
    }
    let (mut total, mut first, mut answered) = (histogram(), histogram(), 0);
    for call in calls {
        let (good, first_byte, took) =
            call.await.map_err(|error| StepError::new("call", error.to_string()))?;
        answered += u64::from(good);
        // These histograms grow by themselves; saturating would cut off at their first size.
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

fn print_way(name: &str, number: u32, way: &WayResult) {
    let millis = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    println!(
        "{name:<8} {number:>3}  {:>9.0}  {:>6.3} ms  {:>6.3} ms  {:>6.3} ms  {:>6.3} ms  {:>8}  {:>14.3}",
        way.total.len() as f64 / way.took.as_secs_f64(),
        millis(&way.first, 0.5),
        millis(&way.first, 0.99),
        millis(&way.total, 0.5),
        millis(&way.total, 0.99),
        way.answered,
        way.cpu.as_secs_f64() * 1_000.0 / way.answered.max(1) as f64,
    );
}

/// Returns the processor time that a process has used.
///
/// # Errors
///
/// Returns a [`StepError`] where the system does not tell: a measurement that cannot be taken is not
/// zero.
pub fn cpu_time(id: u32) -> Result<Duration, StepError> {
    let fault = |cause: String| StepError::new("read processor time", cause).with_peer(id);
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))
        .map_err(|error| fault(error.to_string()))?;
    let after_name = stat.rsplit(')').next().unwrap_or(&stat);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| -> Result<u32, StepError> {
        let field = fields.get(index).ok_or_else(|| fault(format!("no field {index}")))?;
        field.parse().map_err(|_| fault(format!("{field} is no number")))
    };
    Ok(TICK * (ticks(11)? + ticks(12)?))
}
