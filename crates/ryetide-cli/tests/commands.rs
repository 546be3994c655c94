//! The operators' commands, run as processes against daemons on embedded stand-ins.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
    time::{Duration, Instant},
};

use ryetide::{peer_keys::PeerKeys, settings::PeerSettings};
use ryetide_lab::{
    deployment::{ServiceSite, SharingPolicy, TargetSite},
    engine_batch::EngineSpeed,
    platform::PlatformFaults,
    site::{LocalSite, ScratchDirectory, SitePlan},
};

fn plan() -> SitePlan {
    let target = TargetSite {
        name: "d1".to_owned(),
        data_centre: "hall".to_owned(),
        address: ([127, 0, 0, 1], 0).into(),
        speed: Some(EngineSpeed::default()),
    };
    SitePlan {
        entries: ["e1", "e2", "e3"].map(|name| (name.to_owned(), "hall".to_owned())).to_vec(),
        services: vec![ServiceSite {
            name: "drafting".to_owned(),
            targets: vec![target],
            depends_on: Vec::new(),
        }],
        policy: SharingPolicy {
            tiers: vec![("floor".to_owned(), "2s".to_owned(), 1.0)],
            organisations: vec![("asha".to_owned(), 1)],
        },
    }
}

fn ryetide(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ryetide")).args(arguments).output().expect("ryetide runs")
}

fn text_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn show(daemon: SocketAddr) -> String {
    text_of(&ryetide(&["show", "--daemon", &daemon.to_string()]))
}

/// Writes a services text that adds the organisation `name` to the text in force.
fn edited(directory: &ScratchDirectory, name: &str, daemon: SocketAddr) -> PathBuf {
    let text = show(daemon)
        .replace("organisations:\n", &format!("organisations:\n  - {{name: {name}, share: 2}}\n"));
    let path = directory.path().join(format!("{name}.yaml"));
    std::fs::write(&path, text).expect("the file is written");
    path
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < end, "timed out: {what}");
        std::thread::park_timeout(Duration::from_millis(20));
    }
}

/// Guards against an edit that is not in force on every daemon, a conflicting edit that overwrites
/// another, and an edit whose outcome is reported wrongly when the table's answer is lost.
#[test]
fn edits_are_accepted_once_and_everywhere() {
    let site = LocalSite::start(&plan()).expect("the site starts");
    let daemons = site.operators();
    let directory = ScratchDirectory::create().expect("a directory");
    let first = edited(&directory, "bharat", daemons[0]);
    let second = edited(&directory, "chamunda", daemons[1]);
    let apply = |file: &PathBuf, daemon: SocketAddr| {
        let (file, daemon) = (file.display().to_string(), daemon.to_string());
        ryetide(&["apply", &file, "--daemon", &daemon, "--base", "1"])
    };
    let accepted = apply(&first, daemons[0]);
    assert_eq!(accepted.status.code(), Some(0), "{}", text_of(&accepted));
    let started = Instant::now();
    wait_until("revision 2 on every daemon", || {
        daemons.iter().all(|daemon| show(*daemon).contains("# revision 2\n"))
    });
    assert!(started.elapsed() < Duration::from_secs(2), "took {:?}", started.elapsed());

    let collided = apply(&second, daemons[1]);
    assert_eq!(collided.status.code(), Some(4), "{}", text_of(&collided));
    let printed = text_of(&collided);
    assert!(
        printed.contains("- ") && printed.contains("bharat") && printed.contains("+ "),
        "{printed}"
    );

    site.platform()
        .set_faults(PlatformFaults { lose_write_answers: 1, ..PlatformFaults::default() });
    let third_edit = edited(&directory, "dwarka", daemons[2]);
    let file = third_edit.display().to_string();
    let resolved = ryetide(&["apply", &file, "--daemon", &daemons[2].to_string()]);
    assert_eq!(resolved.status.code(), Some(0), "{}", text_of(&resolved));
    assert!(text_of(&resolved).contains("revision 3"), "{}", text_of(&resolved));
    wait_until("revision 3 on every daemon", || {
        daemons.iter().all(|daemon| show(*daemon).contains("# revision 3\n"))
    });

    site.platform().set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let refused = ryetide(&["apply", &file, "--daemon", &daemons[0].to_string()]);
    assert_eq!(refused.status.code(), Some(1), "{}", text_of(&refused));
    assert!(text_of(&refused).contains("nothing was written"), "{}", text_of(&refused));
    site.stop().expect("the site stops");
}

/// Guards against a check that stops at the first error, or omits positions or permitted values.
#[test]
fn faults_are_all_told_with_their_places() {
    let directory = ScratchDirectory::create().expect("a directory");
    let path = directory.path().join("bad.yaml");
    let text = "tiers:\n  - {name: a, wait: 2x, bogus: 1}\norganisations: []\nservices:\n  - name: \
                s\n    kind: modle\n    depends-on: [s]\n    targets: []\n";
    std::fs::write(&path, text).expect("the file is written");
    let file = path.display().to_string();
    let output = ryetide(&["check", &file]);
    assert_eq!(output.status.code(), Some(3));
    let printed = text_of(&output);
    for part in
        ["2:21", "\"2x\"", "10ms to 1h", "bogus", "modle", "one of model, plain", "at least one"]
    {
        assert!(printed.contains(part), "{part} is missing:\n{printed}");
    }
}

/// Guards against `--json` output that does not parse, and against success when no daemon answers.
#[test]
fn status_and_report_can_be_read_by_scripts() {
    let site = LocalSite::start(&plan()).expect("the site starts");
    let daemon = site.operators()[0].to_string();
    for command in ["show", "status", "report"] {
        let output = ryetide(&["--json", command, "--daemon", &daemon]);
        assert_eq!(output.status.code(), Some(0), "{}", text_of(&output));
        let parsed: Result<serde_json::Value, _> = serde_json::from_slice(&output.stdout);
        assert!(parsed.is_ok(), "{command}: {}", text_of(&output));
        let output = ryetide(&[command, "--daemon", &daemon]);
        assert_eq!(output.status.code(), Some(0), "{}", text_of(&output));
    }
    site.stop().expect("the site stops");
    let output = ryetide(&["status", "--daemon", &daemon]);
    assert_eq!(output.status.code(), Some(1), "{}", text_of(&output));
}

/// Guards against generated keys that a daemon cannot load.
#[test]
fn keys_are_made_that_daemons_accept() {
    let directory = ScratchDirectory::create().expect("a directory");
    let path = directory.path();
    let output = ryetide(&["keys", path.to_str().expect("a path in Unicode")]);
    assert!(output.status.success(), "{output:?}");
    let settings = PeerSettings {
        address: ([127, 0, 0, 1], 0).into(),
        authority: path.join("authority.pem"),
        certificate: path.join("peer.pem"),
        key: path.join("peer.key"),
        known: Vec::new(),
    };
    assert!(PeerKeys::load(&settings).is_ok());
}
