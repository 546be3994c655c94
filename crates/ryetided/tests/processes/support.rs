//! Helpers for the tests with separate processes.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use ryetide_lab::{
    caller::CallTerms,
    deployment::{ServiceSite, SharingPolicy, TargetSite},
    engine_batch::{EnginePrompt, EngineSpeed},
    process_site::{ProcessSite, SitePrograms},
    site::SitePlan,
};

/// Returns the paths of the programs. `cargo test --workspace` builds both in the same directory.
pub fn programs() -> SitePrograms {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_ryetided"));
    let lab = daemon.with_file_name("ryetide-lab");
    assert!(lab.exists(), "{} is missing: run cargo test --workspace", lab.display());
    SitePrograms { daemon, lab }
}

/// Returns a deployment with three entry VMs, three engines of different speeds and a plain service in
/// one data centre.
pub fn plan(speed: EngineSpeed) -> SitePlan {
    let engine = |number: usize| TargetSite {
        name: format!("engine-{number}"),
        data_centre: "hall".to_owned(),
        address: ([127, 0, 0, 1], 0).into(),
        speed: Some(EngineSpeed { decode_rate: speed.decode_rate / (number + 1) as f64, ..speed }),
    };
    let records = TargetSite {
        name: "records-1".to_owned(),
        data_centre: "hall".to_owned(),
        address: ([127, 0, 0, 1], 0).into(),
        speed: None,
    };
    let service = |name: &str, targets| ServiceSite {
        name: name.to_owned(),
        targets,
        depends_on: Vec::new(),
    };
    SitePlan {
        entries: ["e1", "e2", "e3"].map(|name| (name.to_owned(), "hall".to_owned())).to_vec(),
        services: vec![
            service("drafting", (0..3).map(engine).collect()),
            service("records", vec![records]),
        ],
        policy: SharingPolicy {
            tiers: vec![
                ("floor".to_owned(), "30s".to_owned(), 1.0),
                ("desk".to_owned(), "60s".to_owned(), 0.8),
            ],
            organisations: vec![("asha".to_owned(), 1), ("bharat".to_owned(), 1)],
        },
    }
}

/// Returns the speed of engines that do not slow down a test.
pub fn fast() -> EngineSpeed {
    EngineSpeed { slots: 64, tokens: 10_000_000, decode_rate: 20_000.0, ..EngineSpeed::default() }
}

/// Starts the deployment of [`plan`].
pub fn start(speed: EngineSpeed) -> ProcessSite {
    ProcessSite::start(&plan(speed), &programs()).expect("the deployment starts")
}

/// Returns the terms of an idempotent call.
pub fn terms() -> CallTerms {
    CallTerms {
        organisation: "asha".to_owned(),
        tier: "floor".to_owned(),
        deadline: Duration::from_secs(30),
        key: None,
        non_idempotent: false,
    }
}

/// Returns a prompt for `output` tokens.
pub fn prompt(text: &str, output: u64) -> EnginePrompt {
    EnginePrompt {
        model: "drafting".to_owned(),
        prompt: text.to_owned(),
        max_tokens: output,
        stream: true,
        ..EnginePrompt::default()
    }
}

/// Waits until `holds` returns true, and fails the test after `limit`.
pub fn wait_until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + limit;
    while !holds() {
        assert!(Instant::now() < end, "not within {limit:?}: {what}");
        std::thread::park_timeout(Duration::from_millis(20));
    }
}
