//! The entry daemon. One runs on each entry VM, and all have the same role.
//!
//! Exit codes: 0 after a shutdown that finished all requests, 1 when the daemon failed, 2 for wrong
//! usage, 3 when the settings are invalid.

use std::{process::ExitCode, thread};

use ryetide::{
    daemon::{self, ShutdownHandle},
    daemon_sockets::DaemonSockets,
    error::StepError,
    log,
    settings::DaemonSettings,
    text_report,
};
use tokio::signal::unix::{self, SignalKind};

mod flags {
    #![allow(missing_docs, reason = "the macro generates the struct, whose help texts document it")]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs an entry daemon until SIGTERM or SIGINT. Exit codes: 0 all requests finished, 1 failure,
        /// 2 wrong usage, 3 the settings are invalid.
        cmd ryetided {
            /// The settings file.
            required settings: PathBuf
            /// Validates the settings and exits.
            optional --check
        }
    }
}

const FAILED: u8 = 1;
const FAULTY_SETTINGS: u8 = 3;

fn main() -> ExitCode {
    let flags = flags::Ryetided::from_env_or_exit();
    let settings = match text_report::read_checked(&flags.settings, DaemonSettings::parse) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(FAULTY_SETTINGS);
        }
    };
    if flags.check {
        println!("{}: sound", flags.settings.display());
        return ExitCode::SUCCESS;
    }
    let _log_guard = log::start_daemon(&settings.log);
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(event = "failed", step = error.step(), reason = %error);
            ExitCode::from(FAILED)
        }
    }
}

fn run(settings: DaemonSettings) -> Result<(), StepError> {
    let sockets = DaemonSockets::bind(&settings)?;
    let shutdown = ShutdownHandle::default();
    listen_for_signals(shutdown.clone())?;
    daemon::run(settings, sockets, shutdown)
}

/// Starts a thread that shuts the daemon down on SIGTERM or SIGINT. It ends with the process.
fn listen_for_signals(shutdown: ShutdownHandle) -> Result<(), StepError> {
    let fault = |error: std::io::Error| StepError::new("listen for signals", error);
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_io().build().map_err(fault)?;
    let listening = runtime.enter();
    let mut terminate = unix::signal(SignalKind::terminate()).map_err(fault)?;
    let mut interrupt = unix::signal(SignalKind::interrupt()).map_err(fault)?;
    drop(listening);
    let wait = move || {
        runtime.block_on(async move {
            loop {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                shutdown.shut_down();
            }
        });
    };
    thread::Builder::new().name("signals".to_owned()).spawn(wait).map_err(fault)?;
    Ok(())
}
