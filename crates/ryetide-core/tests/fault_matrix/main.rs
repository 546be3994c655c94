//! The fault matrix: injects every fault at every step (transition) of the state charts.
//!
//! The steps are read from the charts, so that a new transition cannot be omitted. Each cell of the
//! matrix runs a scenario that takes the step, injects the fault when the step is taken, lets the
//! fault end, and checks the invariants in `check.rs`.

mod cell;
mod cell_network;
mod cell_targets;
mod check;
mod fakes;
mod fault;
mod scenario;
mod script;

use std::{
    collections::BTreeMap,
    fmt,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use fault::FaultKind;
use ryetide_core::{
    chart::{self, ChartName, StateChart, transition_name},
    safeguard::SafeguardSwitches,
};
use scenario::Scenario;

/// The steps that no scenario takes, with reasons.
const NOT_APPLICABLE: &str = include_str!("not_applicable.txt");

fn steps_of<S: ChartName, E: ChartName>(chart: &StateChart<S, E>) -> Vec<String> {
    let name = chart.name();
    chart.transitions().map(|(state, event, _)| transition_name(name, state, event)).collect()
}

fn all_steps() -> Vec<String> {
    let mut steps = steps_of(chart::request());
    steps.extend(steps_of(chart::peer()));
    steps.extend(steps_of(chart::target()));
    steps.extend(steps_of(chart::configuration()));
    steps.extend(steps_of(chart::drain()));
    steps
}

/// Returns each step that a scenario takes, with the first such scenario.
fn scenarios_by_step() -> BTreeMap<String, &'static Scenario> {
    let mut found = BTreeMap::new();
    for scenario in scenario::ALL {
        let mut cell = scenario.build(SafeguardSwitches::default());
        cell.run(scenario::CELL_END);
        for (_, _, step) in cell.steps {
            found.entry(step).or_insert(scenario);
        }
    }
    found
}

#[derive(Clone, Debug)]
struct CellPlan {
    scenario: &'static Scenario,
    step: String,
    first: FaultKind,
    second: Option<FaultKind>,
}

impl fmt::Display for CellPlan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} / {} / {:?}", self.scenario.name, self.step, self.first)?;
        if let Some(second) = self.second {
            write!(formatter, " then {second:?}")?;
        }
        Ok(())
    }
}

/// Runs a cell and returns the violated invariants.
fn run_cell(plan: &CellPlan, switches: SafeguardSwitches) -> Vec<String> {
    let mut cell = plan.scenario.build(switches);
    cell.trigger = Some((plan.step.clone(), plan.first));
    let mut faults: Vec<FaultKind> = plan.scenario.faults.iter().map(|(_, fault)| *fault).collect();
    faults.push(plan.first);
    if let Some(second) = plan.second {
        // The second fault begins during the recovery from the first, 500 ms after the first's end.
        cell.run(scenario::CELL_END.before(std::time::Duration::from_secs(88)));
        faults.push(second);
        while cell.triggered.is_none() && cell.now < scenario::CELL_END {
            let next = cell.now + std::time::Duration::from_millis(500);
            cell.run(next);
        }
        if let Some((at, _)) = cell.triggered {
            let recovery = at + fault::FAULT_DURATION + std::time::Duration::from_millis(500);
            cell.schedule(recovery, cell_network::Delivery::Fault(second, true));
        }
    }
    cell.run(scenario::CELL_END);
    check::failures(&cell, &faults)
}

/// Runs the cells on all cores; returns those that failed, in the order of the plans.
fn run_all(plans: &[CellPlan], switches: SafeguardSwitches) -> Vec<(CellPlan, Vec<String>)> {
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(BTreeMap::new());
    let threads = thread::available_parallelism().map_or(2, usize::from);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(plan) = plans.get(index) else { return };
                    let failures = run_cell(plan, switches);
                    if !failures.is_empty() {
                        let mut failed = failed.lock().expect("no thread panics with the lock");
                        failed.insert(index, (plan.clone(), failures));
                    }
                }
            });
        }
    });
    failed.into_inner().expect("no thread panics with the lock").into_values().collect()
}

fn report(failed: &[(CellPlan, Vec<String>)]) {
    for (plan, failures) in failed.iter().take(60) {
        println!("FAILED {plan}");
        for failure in failures.iter().take(4) {
            println!("    {failure}");
        }
    }
}

/// Returns the reason if `step` is listed as one that no scenario takes.
fn not_applicable_reason(step: &str) -> Option<&'static str> {
    let lines = NOT_APPLICABLE.lines().filter(|line| !line.starts_with('#'));
    lines
        .filter_map(|line| line.split_once(" | "))
        .find(|(name, _)| *name == step)
        .map(|(_, reason)| reason)
}

/// Returns a plan for every fault at every step that a scenario takes, and a message for every step
/// that is neither taken nor listed as not applicable, or both.
fn single_fault_plans(steps: &[String]) -> (Vec<CellPlan>, Vec<String>) {
    let scenarios = scenarios_by_step();
    let (mut plans, mut missing) = (Vec::new(), Vec::new());
    for step in steps {
        match (scenarios.get(step), not_applicable_reason(step)) {
            (Some(scenario), None) => plans.extend(fault::ALL.iter().map(|first| CellPlan {
                scenario,
                step: step.clone(),
                first: *first,
                second: None,
            })),
            (None, Some(_)) => {}
            (Some(_), Some(_)) => {
                missing.push(format!("{step} is taken but listed as not applicable"));
            }
            (None, None) => missing.push(format!("no scenario takes {step}")),
        }
    }
    for scenario in scenario::ALL {
        for (step, first) in
            ALL_SCENARIO_FAULTS.iter().flat_map(|(step, all)| all.iter().map(|it| (*step, *it)))
        {
            plans.push(CellPlan { scenario, step: step.to_owned(), first, second: None });
        }
    }
    (plans, missing)
}

/// Faults that are injected at these steps in every scenario, and not only in the first one that
/// takes the step. The effects of a decision made just before a freeze or crash depend on what else
/// happens until the process resumes or is replaced.
const ALL_SCENARIO_FAULTS: [(&str, &[FaultKind]); 2] = [
    (
        "request: Asking + Grant",
        &[FaultKind::FreezeVm, FaultKind::FreezeArbiter, FaultKind::KillVm],
    ),
    ("request: Connecting + Connected", &[FaultKind::FreezeVm, FaultKind::KillVm]),
];

#[test]
fn every_fault_at_every_step() {
    let steps = all_steps();
    let (plans, missing) = single_fault_plans(&steps);
    assert!(missing.is_empty(), "{missing:#?}");
    let failed = run_all(&plans, SafeguardSwitches::default());
    report(&failed);
    let cells = plans.len();
    println!(
        "matrix: steps={} faults={} cells={cells} held={} failed={} not_applicable={}",
        steps.len(),
        fault::ALL.len(),
        cells - failed.len(),
        failed.len(),
        NOT_APPLICABLE.lines().filter(|line| !line.starts_with('#')).count() * fault::ALL.len(),
    );
    assert!(failed.is_empty());
}

/// The steps at which the first of two faults begins: while a request waits, and while it runs.
const PAIR_STEPS: [&str; 2] = ["request: Asking + Grant", "request: Dispatching + Piece"];

#[test]
fn every_fault_during_the_recovery_from_every_other() {
    let scenarios = scenarios_by_step();
    let pairs =
        fault::ALL.iter().flat_map(|first| fault::ALL.iter().map(move |second| (*first, *second)));
    let plans: Vec<CellPlan> = pairs
        .flat_map(|(first, second)| PAIR_STEPS.map(|step| (step, first, second)))
        .map(|(step, first, second)| CellPlan {
            scenario: scenarios[step],
            step: step.to_owned(),
            first,
            second: Some(second),
        })
        .collect();
    let failed = run_all(&plans, SafeguardSwitches::default());
    report(&failed);
    let cells = plans.len();
    println!("pairs: cells={cells} held={} failed={}", cells - failed.len(), failed.len());
    assert!(failed.is_empty());
}

/// The safeguards, each with the numbers of the checks of which at least one must fail without it.
const MUTATIONS: &[(&str, &[u32])] = &[
    ("resume_only", &[1]),
    ("permit_recheck", &[6]),
    ("offset_check", &[3]),
    ("length_check", &[3]),
    ("refusal_contract", &[4]),
    ("claim_first", &[5]),
    ("claim_kept", &[5]),
    ("claim_settled", &[5]),
    ("revision_rises", &[8]),
    ("edit_settled", &[8]),
    ("tier_order", &[2]),
    ("shed_below_first", &[2]),
    ("leaving_respected", &[6]),
    ("drain_waits", &[7]),
    ("silence_bound", &[0, 9, 10]),
];

/// Guards against checks that cannot fail: if a safeguard is turned off, at least one cell must
/// fail one of the expected checks.
#[test]
fn each_safeguard_prevents_something() {
    let (plans, _) = single_fault_plans(&all_steps());
    let mut undetected = Vec::new();
    // `life_check` has its own test in tests/entry.rs.
    assert_eq!(MUTATIONS.len() + 1, SafeguardSwitches::NAMES.len());
    for (name, expected) in MUTATIONS {
        let switches = SafeguardSwitches::without(name).expect("a known switch");
        let failed = run_all(&plans, switches);
        let by_check = |number: &u32| {
            let prefix = format!("{number}: ");
            let fails = |(_, failures): &&(CellPlan, Vec<String>)| {
                failures.iter().any(|failure| failure.starts_with(&prefix))
            };
            failed.iter().filter(fails).count()
        };
        let red: usize = expected.iter().map(by_check).sum();
        println!("mutation: {name} off: {} cells red, {red} by {expected:?}", failed.len());
        if red == 0 {
            undetected.push(*name);
        }
    }
    assert!(undetected.is_empty(), "no cell failed without {undetected:?}");
}
