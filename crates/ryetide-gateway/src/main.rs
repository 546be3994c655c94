//! A gateway that runs without a platform and reads its routes and targets from a file.
//!
//! Exit codes: 0 after a normal stop, 1 when the gateway failed, 2 for wrong usage, 3 when the
//! settings are invalid.

use std::{fs, path::PathBuf, process::ExitCode};

use ryetide::{error::StepError, log, text_report};
use ryetide_gateway::{
    file_feed::FileFeed,
    gateway::{self, GatewayParts},
    gateway_text::GatewayText,
    own_headers::{self, OwnWorkReader},
    ports::{GatewaySettings, SettingsSource},
};

mod flags {
    #![allow(
        missing_docs,
        reason = "the macro generates the struct, and its help texts describe the fields"
    )]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs a gateway until SIGTERM or SIGINT. Exit codes: 0 everything ended, 1 failed, 2 wrong
        /// usage, 3 the settings are at fault.
        cmd ryetide-gateway {
            /// The settings file.
            required settings: PathBuf
            /// Checks the settings and exits.
            optional --check
        }
    }
}

const FAILED: u8 = 1;
const INVALID_SETTINGS: u8 = 3;

/// The settings file, read again whenever it may have changed.
struct SettingsFile(PathBuf);

impl SettingsSource for SettingsFile {
    fn read(&self) -> Result<GatewaySettings, StepError> {
        let text = fs::read_to_string(&self.0)
            .map_err(|error| StepError::new("read settings", error).with_peer(self.0.display()))?;
        let read = GatewayText::parse(&text);
        let read = read.map_err(|faults| StepError::new("parse settings", faults))?;
        Ok(read.settings)
    }
}

fn main() -> ExitCode {
    let flags = flags::RyetideGateway::from_env_or_exit();
    let text = match text_report::read_checked(&flags.settings, GatewayText::parse) {
        Ok(text) => text,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if flags.check {
        println!("{}: sound", flags.settings.display());
        return ExitCode::SUCCESS;
    }
    let _written = log::start_daemon(&text.log);
    let parts = GatewayParts {
        settings: text.settings,
        source: Box::new(SettingsFile(flags.settings)),
        names: own_headers::header_names(),
        reader: Box::new(OwnWorkReader),
        feed: Box::new(FileFeed::new(text.routes, text.peers)),
    };
    match gateway::run(parts) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(event = "failed", step = error.step(), reason = %error);
            ExitCode::from(FAILED)
        }
    }
}
