//! Stand-ins for the scripts of this review: the platform's store, replicas, clients and a proxy.
//!
//! The entry VMs are the project's own program, started as separate processes with the command of the
//! deploy file. Replicas are separate processes of this binary, so that a script can kill one. All of
//! them use loopback addresses, free ports and the real clock. Only the standard library is used.

mod client;
mod fleet;
mod http;
mod json;
mod load;
mod replica;
mod scenario_drained_crash;
mod scenario_full_version;
mod scenario_silent_connections;
mod scenario_untried_version;
mod store;

use std::process::ExitCode;

/// The exit code of a script whose case could not run.
const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let outcome = match words.as_slice() {
        ["replica", rest @ ..] => return replica::run(rest),
        ["drained-crash", folder] => scenario_drained_crash::run(folder.as_ref()),
        ["full-version", folder, most] => scenario_full_version::run(folder.as_ref(), most),
        ["silent-connections", folder] => scenario_silent_connections::run(folder.as_ref()),
        ["untried-version", folder] => scenario_untried_version::run(folder.as_ref()),
        _ => Err("usage: standins SCENARIO FOLDER".to_owned()),
    };
    match outcome {
        Ok(held) if held => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(reason) => {
            eprintln!("could not run: {reason}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
