//! The stand-ins as processes, and the measurements.

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
    #![allow(missing_docs, reason = "the macro writes the structs, and its help says what each is")]
    use std::{net::SocketAddr, path::PathBuf};

    xflags::xflags! {
        /// Stand-ins for what ryetide meets, and measurements. Never shipped.
        cmd ryetide-lab {
            /// Runs a model engine until it is killed.
            cmd engine {
                /// Where it listens.
                required listen: SocketAddr
                /// Requests worked on at once.
                optional --slots slots: usize
                /// Tokens held at once.
                optional --tokens tokens: u64
                /// Prompt tokens a second.
                optional --prefill-rate rate: f64
                /// Tokens a second of each stream.
                optional --decode-rate rate: f64
            }
            /// Runs a plain service until it is killed.
            cmd plain {
                /// Where it listens.
                required listen: SocketAddr
            }
            /// Runs a platform until it is killed.
            cmd platform {
                /// Where it listens.
                required listen: SocketAddr
            }
            /// Runs a relay until it is killed.
            cmd relay {
                /// Where it listens.
                required listen: SocketAddr
                /// Where it leads.
                required target: SocketAddr
            }
            /// Measures what the way through a daemon adds.
            cmd overhead {
                /// The ryetided binary.
                required daemon: PathBuf
                /// Streams a second.
                optional --rate rate: u32
                /// Seconds of each run.
                optional --seconds seconds: u32
                /// Runs of each way, in turn.
                optional --runs runs: u32
            }
            /// Measures the slopes from which docs/CAPACITY.md is worked out.
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
            stay(stand_in.address(), &stand_in)
        }
        flags::RyetideLabCmd::Plain(plain) => {
            let stand_in = PlainStandIn::start(bind(plain.listen)?)?;
            stay(stand_in.address(), &stand_in)
        }
        flags::RyetideLabCmd::Platform(platform) => {
            let stand_in = PlatformStandIn::start(bind(platform.listen)?)?;
            stay(stand_in.address(), &stand_in)
        }
        flags::RyetideLabCmd::Relay(relay) => {
            let stand_in = RelayStandIn::start(bind(relay.listen)?, relay.target)?;
            stay(stand_in.address(), &stand_in)
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

/// Says where a stand-in listens, and keeps it alive until the process is killed.
fn stay<T>(address: SocketAddr, stand_in: &T) -> Result<(), StepError> {
    println!("event=listening address={address}");
    loop {
        std::thread::park();
        std::hint::black_box(stand_in);
    }
}
