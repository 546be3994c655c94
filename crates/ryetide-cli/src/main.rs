//! The operators' command-line tool: `ryetide check`, `keys`, `explain`, `apply`, `show`, `status`,
//! `report` and `demo`.
//!
//! Exit codes: 0 success, 1 failure, 2 wrong usage, 3 the text is invalid, 4 the edit conflicts with
//! another, 5 it is not known whether the edit took effect.

mod explain;
mod flags;
mod operator_client;
mod table;

use std::{fs, net::SocketAddr, path::Path, process::ExitCode};

use explain::RequestTimeline;
use flags::{Ryetide, RyetideCmd};
use miette::Report;
use operator_client::OperatorClient;
use ryetide::{
    deployment_keys,
    error::StepError,
    log::{self, LogFilter},
    operator_port::ApplyReply,
    settings::DaemonSettings,
    text_report::TextReport,
};
use ryetide_core::{
    catalog::ServiceCatalog, effect::ApplyOutcome, route_text::RouteText, text::ValidationErrors,
    units::Revision,
};
use serde::Serialize;

const FAILED: u8 = 1;
const FAULTY_TEXT: u8 = 3;
const COLLIDED: u8 = 4;
const UNCERTAIN: u8 = 5;

fn main() -> ExitCode {
    let flags = Ryetide::from_env_or_exit();
    log::start_command(&LogFilter::warnings());
    match run(flags) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(FAILED)
        }
    }
}

fn run(flags: Ryetide) -> Result<ExitCode, Report> {
    let json = flags.json;
    match flags.subcommand {
        RyetideCmd::Check(check) => run_check(&check),
        RyetideCmd::Keys(keys) => run_keys(&keys.directory),
        RyetideCmd::Explain(explain) => run_explain(&explain.id),
        RyetideCmd::Apply(apply) => run_apply(apply, json),
        RyetideCmd::Show(show) => run_show(show.daemon, json),
        RyetideCmd::Status(status) => run_status(status.daemon, json),
        RyetideCmd::Report(report) => run_report(report.daemon, json),
        RyetideCmd::Demo(_) => run_demo(),
    }
}

fn read(file: &Path) -> Result<String, Report> {
    let fault = |error| StepError::new("read file", error).with_peer(file.display());
    fs::read_to_string(file).map_err(|error| Report::new(fault(error)))
}

fn run_check(check: &flags::Check) -> Result<ExitCode, Report> {
    let file = check.file.as_path();
    let text = read(file)?;
    let checked = if check.settings {
        DaemonSettings::parse(&text).map(drop)
    } else if check.routes {
        RouteText::parse(&text).map(drop)
    } else {
        ServiceCatalog::parse(&text).map(drop)
    };
    match checked {
        Ok(()) => {
            println!("{}: sound", file.display());
            Ok(ExitCode::SUCCESS)
        }
        Err(faults) => Ok(print_faults(file, &text, faults)),
    }
}

fn run_keys(directory: &Path) -> Result<ExitCode, Report> {
    deployment_keys::write_keys(directory).map_err(Report::new)?;
    println!("{}: authority.pem, peer.pem and peer.key", directory.display());
    Ok(ExitCode::SUCCESS)
}

fn run_explain(id: &str) -> Result<ExitCode, Report> {
    let timeline = RequestTimeline::read(id, std::io::stdin().lock())
        .map_err(|error| Report::new(StepError::new("read log", error)))?;
    if timeline.is_empty() {
        eprintln!("the log has no entries for request {id}");
        return Ok(ExitCode::from(FAILED));
    }
    print!("{}", timeline.render());
    Ok(ExitCode::SUCCESS)
}

fn print_faults(file: &Path, text: &str, faults: ValidationErrors) -> ExitCode {
    let report = TextReport::new(&file.display().to_string(), text, faults);
    eprintln!("{:?}", Report::new(report));
    ExitCode::from(FAULTY_TEXT)
}

fn run_apply(apply: flags::Apply, json: bool) -> Result<ExitCode, Report> {
    let text = read(&apply.file)?;
    if let Err(faults) = ServiceCatalog::parse(&text) {
        return Ok(print_faults(&apply.file, &text, faults));
    }
    let client = OperatorClient::new(apply.daemon);
    // Without --base the edit is based on the revision in force, so that one of two simultaneous
    // edits conflicts instead of silently undoing the other.
    let base = match apply.base {
        Some(base) => Revision(base),
        None => client.configuration()?.map_or(Revision(0), |text| text.revision),
    };
    let reply = client.apply(base, text.clone())?;
    if json {
        print_json(&reply)?;
    }
    let outcome = match reply {
        ApplyReply::Faulty(faults) => {
            return Ok(print_faults(&apply.file, &text, ValidationErrors(faults)));
        }
        ApplyReply::Ended(outcome) => outcome,
    };
    Ok(print_outcome(&outcome, base, &text))
}

fn print_outcome(outcome: &ApplyOutcome, base: Revision, edited: &str) -> ExitCode {
    match outcome {
        ApplyOutcome::Accepted(revision) => {
            eprintln!("accepted as revision {revision}");
            ExitCode::SUCCESS
        }
        ApplyOutcome::Collided { revision, text } => {
            eprintln!(
                "not accepted: based on revision {base}, but revision {revision} is in force"
            );
            eprint!("{}", table::difference(text, edited));
            ExitCode::from(COLLIDED)
        }
        ApplyOutcome::NotWritten => {
            eprintln!(
                "not accepted: the platform's table could not be reached; nothing was written"
            );
            ExitCode::from(FAILED)
        }
        ApplyOutcome::Busy => {
            eprintln!("not accepted: this daemon is processing another edit; nothing was written");
            ExitCode::from(FAILED)
        }
        ApplyOutcome::Uncertain => {
            eprintln!(
                "outcome unknown: the table did not answer; run `ryetide show` once it is available"
            );
            ExitCode::from(UNCERTAIN)
        }
    }
}

fn print_json(value: &impl Serialize) -> Result<(), Report> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| Report::new(StepError::new("write json", error)))?;
    println!("{text}");
    Ok(())
}

fn run_show(daemon: SocketAddr, json: bool) -> Result<ExitCode, Report> {
    let client = OperatorClient::new(daemon);
    let configuration = client.configuration()?;
    let status = client.status()?;
    if json {
        let value = serde_json::json!({"configuration": configuration, "peers": status.peers});
        print_json(&value)?;
        return Ok(ExitCode::SUCCESS);
    }
    match &configuration {
        None => println!("# no revision is in force on {}", status.name),
        Some(text) => println!("# revision {}\n{}", text.revision, text.text),
    }
    println!("# {}: revision {}", status.name, status.revision);
    for (name, revision) in &status.peers {
        println!("# {name}: revision {revision}");
    }
    for name in &status.silent_peers {
        println!("# {name}: not heard");
    }
    Ok(ExitCode::SUCCESS)
}

fn run_status(daemon: SocketAddr, json: bool) -> Result<ExitCode, Report> {
    let status = OperatorClient::new(daemon).status()?;
    if json {
        print_json(&status)?;
    } else {
        print!("{}", table::status(&status));
    }
    Ok(ExitCode::SUCCESS)
}

fn run_report(daemon: SocketAddr, json: bool) -> Result<ExitCode, Report> {
    let report = OperatorClient::new(daemon).report()?;
    if json {
        print_json(&report)?;
    } else {
        print!("{}", table::report(&report));
    }
    Ok(ExitCode::SUCCESS)
}

fn run_demo() -> Result<ExitCode, Report> {
    println!("Running the demo deployment for about 25 s ...");
    let report = ryetide_lab::demo::run().map_err(Report::new)?;
    println!("{report}");
    let passed = report.duplicates == 0 && report.tiers.values().all(|tally| tally.wrong == 0);
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::from(FAILED) })
}
