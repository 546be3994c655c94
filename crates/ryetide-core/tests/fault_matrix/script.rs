//! The script language of `tests/scenarios`, whose scripts run on a cell.
//!
//! | command | what it does |
//! |---|---|
//! | `call at=MS vm=N tier=T [service=S] [key=K] [deadline=MS] [gone=MS] [repeats=N]` | a caller's request |
//! | `fault NAME at=MS`, `fault NAME step=STEP` | injects a fault at a time, or when a step is taken |
//! | `apply at=MS vm=N operation=N` | applies an operator's edit |
//! | `run until=MS` | advances the time |
//! | `answers`, `dispatches`, `revisions`, `edits` | the records of callers, targets, VMs and operators |
//! | `check` | checks the invariants of the matrix |
//!
//! A fault of one VM affects VM 0 if it is injected at a time, and otherwise the VM that takes the
//! step. Unknown options are ignored, such as `vm=N` of a fault.
//!
//! `UPDATE_GOLDENFILES=1 cargo test -p ryetide-core --test fault_matrix scenarios` rewrites the
//! expected output; review the difference before you commit it.

use std::{collections::BTreeMap, error::Error, fmt::Write, path::Path, time::Duration};

use goldenscript::{Command, Context, Runner};
use ryetide_core::{event::FinalAnswer, safeguard::SafeguardSwitches, units::Moment};

use crate::{
    cell::{CallPlan, Cell, TARGETS, VMS},
    cell_network::Delivery,
    check,
    fault::{self, FaultKind, probe},
};

pub struct ScriptRunner {
    cell: Cell,
    faults: Vec<FaultKind>,
}

impl ScriptRunner {
    pub fn new() -> Self {
        Self { cell: Cell::new(SafeguardSwitches::default()), faults: Vec::new() }
    }

    fn call(&mut self, options: &Options) -> Result<(), Box<dyn Error>> {
        let mut plan = probe(options.time("at")?, options.number("vm")? as usize);
        plan.tier = leak(options.required("tier")?);
        plan.service = options.get("service").map_or("drafting", leak);
        plan.key = options.get("key").map(leak);
        if let Some(millis) = options.get("deadline") {
            plan.deadline = Duration::from_millis(millis.parse()?);
        }
        if let Some(millis) = options.get("gone") {
            plan.gone_after = Some(Duration::from_millis(millis.parse()?));
        }
        if let Some(repeats) = options.get("repeats") {
            plan.repeats = repeats.parse()?;
        }
        self.cell.call(CallPlan { ..plan });
        Ok(())
    }

    fn fault(&mut self, name: &str, options: &Options) -> Result<(), Box<dyn Error>> {
        let known = fault::ALL.iter().find(|fault| format!("{fault:?}") == name);
        let fault = *known.ok_or_else(|| format!("no fault is called {name}"))?;
        self.faults.push(fault);
        match options.get("step") {
            Some(step) => self.cell.trigger = Some((step.to_owned(), fault)),
            None => {
                let at = options.time("at")?;
                self.cell.schedule(at, Delivery::Fault(fault, true));
            }
        }
        Ok(())
    }

    fn answers(&self) -> String {
        let mut text = String::new();
        for (number, call) in self.cell.calls.iter().enumerate() {
            let CallPlan { tier, service, at, .. } = call.plan;
            for call_try in &call.tries {
                let outcome = match call_try.answers.first() {
                    Some((when, answer)) => format!("{} at {when}", describe(answer)),
                    None if call_try.cut => "cut off".to_owned(),
                    None if call_try.gone => "gone".to_owned(),
                    None => "waiting".to_owned(),
                };
                let length = call_try.body.len();
                // Writing to a string cannot fail.
                let _ = writeln!(
                    text,
                    "call {number} {tier} {service} from {at}: {outcome}, {length} bytes"
                );
            }
        }
        text
    }

    fn dispatches(&self) -> String {
        let mut text = String::new();
        for ((name, _), target) in TARGETS.iter().zip(&self.cell.targets) {
            let mut counts: BTreeMap<String, u32> = BTreeMap::new();
            for (_, id, _) in &target.dispatches {
                *counts.entry(id.to_string()).or_default() += 1;
            }
            let most = counts.values().max().copied().unwrap_or(0);
            let _ =
                writeln!(text, "{name}: {} requests, each at most {most} time(s)", counts.len());
        }
        text
    }

    fn revisions(&self) -> String {
        let vms = VMS.iter().zip(&self.cell.vms);
        vms.map(|((name, _), vm)| format!("{name}: {:?}\n", vm.revisions)).collect()
    }

    fn edits(&self) -> String {
        let edits = self.cell.applied.iter();
        let describe = |outcome: &Option<ryetide_core::effect::ApplyOutcome>| match outcome {
            None => "no answer yet".to_owned(),
            Some(ryetide_core::effect::ApplyOutcome::Collided { revision, .. }) => {
                format!("collided with revision {revision}")
            }
            Some(outcome) => format!("{outcome:?}"),
        };
        edits
            .map(|(operation, outcome)| format!("edit {operation}: {}\n", describe(outcome)))
            .collect()
    }

    fn check(&self) -> String {
        let failures = check::failures(&self.cell, &self.faults);
        if failures.is_empty() { "held\n".to_owned() } else { failures.join("\n") + "\n" }
    }
}

fn describe(answer: &FinalAnswer) -> String {
    match answer {
        FinalAnswer::Answered => "answered".to_owned(),
        FinalAnswer::Replayed(_) => "the first answer again".to_owned(),
        FinalAnswer::NotRun { reason, .. } => format!("not run ({reason:?})"),
        FinalAnswer::Unknown { reason, .. } => format!("unknown ({reason:?})"),
        FinalAnswer::Rejected(reason) => format!("rejected ({reason:?})"),
    }
}

/// Leaks a name of a script, since call plans contain `&'static str`.
fn leak(text: &str) -> &'static str {
    Box::leak(text.to_owned().into_boxed_str())
}

/// The key=value arguments of a command.
struct Options(BTreeMap<String, String>);

impl Options {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    fn required(&self, key: &str) -> Result<&str, Box<dyn Error>> {
        self.get(key).ok_or_else(|| format!("{key}= is missing").into())
    }

    fn number(&self, key: &str) -> Result<u64, Box<dyn Error>> {
        Ok(self.required(key)?.parse()?)
    }

    fn time(&self, key: &str) -> Result<Moment, Box<dyn Error>> {
        Ok(Moment::from_millis(self.number(key)?))
    }
}

impl Runner for ScriptRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut arguments = command.consume_args();
        let name = arguments.next_pos().map(str::to_owned);
        let mut options = BTreeMap::new();
        while let Some((key, value)) = arguments.next_key() {
            options.insert(key.to_owned(), value.to_owned());
        }
        arguments.reject_next()?;
        let options = Options(options);
        match (command.name.as_str(), name) {
            ("call", None) => self.call(&options).map(|()| String::new()),
            ("fault", Some(name)) => self.fault(&name, &options).map(|()| String::new()),
            ("apply", None) => {
                let vm = options.number("vm")? as usize;
                self.cell.apply(options.time("at")?, vm, options.number("operation")?);
                Ok(String::new())
            }
            ("run", None) => {
                self.cell.run(options.time("until")?);
                Ok(String::new())
            }
            ("answers", None) => Ok(self.answers()),
            ("dispatches", None) => Ok(self.dispatches()),
            ("revisions", None) => Ok(self.revisions()),
            ("edits", None) => Ok(self.edits()),
            ("check", None) => Ok(self.check()),
            (unknown, _) => {
                Err(format!("unknown command, or wrong positional arguments: {unknown}").into())
            }
        }
    }
}

/// Runs every script and compares its output with the expected output in the script.
#[test]
fn scenarios() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut paths: Vec<_> =
        std::fs::read_dir(&directory).unwrap().flatten().map(|entry| entry.path()).collect();
    paths.sort();
    assert!(paths.len() >= 8, "each of the eight numbered invariants needs a script");
    for path in paths {
        goldenscript::run(&mut ScriptRunner::new(), &path).unwrap();
    }
}
