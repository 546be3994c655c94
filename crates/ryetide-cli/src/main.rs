//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    ryetide::log::start("warn");
    match ryetide_lab::demo::run() {
        Ok(report) => {
            println!("{report}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
