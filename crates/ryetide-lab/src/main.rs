//! The command-line tool that runs stand-ins and measurements.

use std::{
    net::{SocketAddr, TcpListener},
    process::ExitCode,
};

use ryetide::error::StepError;
use ryetide_lab::{
    engine::EngineStandIn, engine_batch::EngineSpeed, overhead, plain_service::PlainStandIn,
    platform::PlatformStandIn, relay::RelayStandIn, slopes,
};

mod flags {
    #![allow(
        missing_docs,
        reason = "the macro generates the structs, whose help texts document them"
    )]
    use std::{net::SocketAddr, path::PathBuf};

    xflags::xflags! {
        /// Stand-ins for the systems around ryetide, and measurements. Not part of a release.
        cmd ryetide-lab {
            /// Runs a model engine until it is killed.
            cmd engine {
                /// The address on which it listens.
                required listen: SocketAddr
                /// The maximum number of requests in the batch.
                optional --slots slots: usize
                /// The maximum number of tokens in the batch.
                optional --tokens tokens: u64
                /// Prompt tokens per second.
                optional --prefill-rate rate: f64
                /// Tokens per second of each stream.
                optional --decode-rate rate: f64
            }
            /// Runs a plain service until it is killed.
            cmd plain {
                /// The address on which it listens.
                required listen: SocketAddr
            }
            /// Runs a platform until it is killed.
            cmd platform {
                /// The address on which it listens.
                required listen: SocketAddr
            }
            /// Runs a relay until it is killed.
            cmd relay {
                /// The address on which it listens.
                required listen: SocketAddr
                /// The address to which it forwards.
                required target: SocketAddr
            }
            /// Measures the latency that a daemon adds.
            cmd overhead {
                /// The ryetided binary.
                required daemon: PathBuf
                /// Streams per second.
                optional --rate rate: u32
                /// Seconds of each run.
                optional --seconds seconds: u32
                /// Runs of each path, alternating.
                optional --runs runs: u32
            }
            /// Measures the slopes on which docs/CAPACITY.md is based.
            cmd slopes {}
        }
    }
}

fn main() -> ExitCode {
    match run(flags::RyetideLab::from_env_or_exit()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: flags::RyetideLab) -> Result<(), StepError> {
    match flags.subcommand {
        flags::RyetideLabCmd::Engine(engine) => {
            let defaults = EngineSpeed::default();
            let speed = EngineSpeed {
                slots: engine.slots.unwrap_or(defaults.slots),
                tokens: engine.tokens.unwrap_or(defaults.tokens),
                prefill_rate: engine.prefill_rate.unwrap_or(defaults.prefill_rate),
                decode_rate: engine.decode_rate.unwrap_or(defaults.decode_rate),
                ..defaults
            };
            let stand_in = EngineStandIn::start(bind(engine.listen)?, speed)?;
            wait_forever(stand_in.address(), &stand_in)
        }
        flags::RyetideLabCmd::Plain(plain) => {
            let stand_in = PlainStandIn::start(bind(plain.listen)?)?;
            wait_forever(stand_in.address(), &stand_in)
        }
        flags::RyetideLabCmd::Platform(platform) => {
            let stand_in = PlatformStandIn::start(bind(platform.listen)?)?;
            wait_forever(stand_in.address(), &stand_in)
        }
        flags::RyetideLabCmd::Relay(relay) => {
            let stand_in = RelayStandIn::start(bind(relay.listen)?, relay.target)?;
            wait_forever(stand_in.address(), &stand_in)
        }
        flags::RyetideLabCmd::Overhead(options) => overhead::run(&overhead::OverheadOptions {
            daemon: options.daemon,
            rate: options.rate.unwrap_or(1_000),
            seconds: options.seconds.unwrap_or(5),
            runs: options.runs.unwrap_or(3),
        }),
        flags::RyetideLabCmd::Slopes(_) => {
            slopes::run();
            Ok(())
        }
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, StepError> {
    TcpListener::bind(address).map_err(|error| StepError::new("bind", error).with_peer(address))
}

/// Prints a stand-in's address, and keeps it alive until the process is killed.
fn wait_forever<T>(address: SocketAddr, stand_in: &T) -> Result<(), StepError> {
    println!("event=listening address={address}");
    loop {
        std::thread::park();
        std::hint::black_box(stand_in);
    }
}
