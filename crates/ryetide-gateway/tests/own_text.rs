//! Tests of the gateway program without a platform: its settings text, its routes file and its log.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use ryetide_core::{route_text::RouteText, scheduling_policy::PolicySwitch, units::LinkRate};
use ryetide_gateway::gateway_text::GatewayText;

const LOG_TIMEOUT: Duration = Duration::from_secs(10);
const KEY: &str = "6b2f7c1de8a0446f9f0e5d4c3b2a19087f6e5d4c3b2a1908a7b6c5d4e3f20110";

/// A running gateway and the lines of its log.
struct Process {
    child: Child,
    lines: mpsc::Receiver<String>,
}

impl Process {
    fn start(settings: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_ryetide-gateway"))
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the gateway starts");
        let log = BufReader::new(child.stdout.take().expect("the standard output is piped"));
        let (sender, lines) = mpsc::channel();
        // The thread ends when the program or the test ends.
        thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|it| sender.send(it)));
        Self { child, lines }
    }

    /// Waits for a log line that contains each of `parts`, skipping earlier lines.
    fn wait_for(&self, parts: &[&str]) {
        let until = Instant::now() + LOG_TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left);
            let line = line.unwrap_or_else(|_| panic!("no log line contains {parts:?}"));
            if parts.iter().all(|part| line.contains(part)) {
                return;
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored because the process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a local address")
}

/// Starts a target that answers one request on each connection with its own name.
fn start_target(name: &'static str) -> SocketAddr {
    start_answering(name, "200 OK")
}

/// Starts a target that answers one request on each connection with `status` and its own name.
fn start_answering(name: &'static str, status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut head = [0; 4_096];
            let length = stream.read(&mut head).unwrap_or(0);
            let text = String::from_utf8_lossy(&head[..length]).into_owned();
            let id = text.lines().find_map(|line| line.strip_prefix("ryetide-request-id: "));
            let answer = format!(
                "HTTP/1.1 {status}\r\nryetide-request-id: {}\r\nryetide-answered-by: {name}\r\n\
                 connection: close\r\ncontent-length: {}\r\n\r\n{name}",
                id.unwrap_or_default(),
                name.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    });
    address
}

fn routes(revision: u64, target: SocketAddr) -> String {
    format!(
        "revision: {revision}
services:
  - name: desk
    targets: [{{name: t{revision}, data-centre: hall-a, address: '{target}', slots: 4}}]
routes:
  - name: orders
    host: desk.example
    prefix: /orders/
    kind: once
    timeout: 2s
    objective: 150ms
    anonymous: true
    services: [{{name: desk}}]
"
    )
}

fn ask(address: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    let request = "GET /orders/17 HTTP/1.1\r\nhost: desk.example\r\nryetide-request-id: q1\r\n\
                   connection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Replaces a file atomically, so that no reader sees a part of the text.
fn write(path: &Path, text: &str) {
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text).expect("the file is written");
    std::fs::rename(&temporary, path).expect("the file is replaced");
}

/// Link speeds are parsed and validated. They matter because a VM with a slow link is not selected
/// to relay digests.
#[test]
fn link_speeds_are_parsed_and_validated() {
    let text = |own: &str, peer: &str| {
        let known = format!("{{name: e2, data-centre: hall-b, address: '127.0.0.1:4'{peer}}}");
        GatewayText::parse(&format!(
            "name: e1\ndata-centre: hall-a\ncallers: 127.0.0.1:1\nstatus: 127.0.0.1:2\n\
             peers: {{address: '127.0.0.1:3', key: {KEY}, known: [{known}]}}\n\
             routes: /tmp/routes.yaml\n{own}"
        ))
    };
    let default = text("", "").expect("valid settings");
    assert_eq!((default.settings.link, default.peers[0].link), (LinkRate(1_000), LinkRate(1_000)));
    let slow = text("link: 20\n", ", link: 10").expect("valid settings");
    assert_eq!((slow.settings.link, slow.peers[0].link), (LinkRate(20), LinkRate(10)));
    let faults = text("link: 0\n", "").expect_err("a link speed of zero is invalid").to_string();
    assert!(faults.contains("link") && faults.contains('0'), "{faults}");
}

/// A version that the routes file orders and whose target fails is rolled back: the log shows it,
/// few callers are affected, and its target receives no more requests.
#[test]
fn a_failing_version_ordered_in_the_routes_file_is_rolled_back() {
    let (callers, status, peers) = (free_address(), free_address(), free_address());
    let folder = std::env::temp_dir().join(format!("ryetide-rollout-{}", callers.port()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let (routes_path, settings_path): (PathBuf, PathBuf) =
        (folder.join("routes.yaml"), folder.join("settings.yaml"));
    let old = start_target("old");
    write(&routes_path, &routes(1, old).replace("name: t1", "name: v1, version: v1"));
    let settings = format!(
        "name: e1\ndata-centre: hall-a\ncallers: {callers}\nstatus: {status}\n\
         peers: {{address: '{peers}', key: {KEY}}}\nroutes: {}\n\
         rollout: {{share: 0.2, slack: 0, by-order-only: true}}\n",
        routes_path.display()
    );
    write(&settings_path, &settings);
    let process = Process::start(&settings_path);
    process.wait_for(&["event=targets-changed"]);
    let new = start_answering("new", "500 Internal Server Error");
    let target = |name, address| {
        format!(
            "{{name: {name}, version: {name}, data-centre: hall-a, address: '{address}', slots: 4}}"
        )
    };
    let both = format!("[{}, {}]", target("v1", old), target("v2", new));
    let text = routes(2, old);
    let line = text.lines().find(|line| line.contains("targets:")).expect("a line with targets");
    let text = text.replace(line, &format!("    targets: {both}"));
    let order = "rollouts: [{service: desk, to: v2, within: 30s, number: 1}]\n";
    write(&routes_path, &format!("{text}{order}"));
    process.wait_for(&["event=rollout-step", "to=Trial"]);
    let is_over = Arc::new(AtomicBool::new(false));
    let stop = Arc::clone(&is_over);
    let asking = thread::spawn(move || {
        let (mut asked, mut failed) = (0, 0);
        while !stop.load(Ordering::Relaxed) {
            asked += 1;
            failed += u32::from(ask(callers).is_some_and(|answer| answer.ends_with("new")));
        }
        (asked, failed)
    });
    process.wait_for(&["event=rollout-step", "to=Condemned", "by=failures"]);
    process.wait_for(&["event=rollout-step", "to=RolledBack"]);
    is_over.store(true, Ordering::Relaxed);
    let (asked, failed) = asking.join().expect("the caller thread ends");
    assert!(failed * 5 <= asked, "{failed} of {asked} requests reached the failing version");
    assert!((0..40).all(|_| ask(callers).is_some_and(|answer| answer.ends_with("old"))));
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

#[test]
fn rollout_orders_are_parsed_and_validated() {
    let text = routes(1, free_address());
    let order = "rollouts: [{service: desk, to: v2, within: 30s, number: 4}]\n";
    let orders = RouteText::parse(&format!("{text}{order}")).expect("valid routes").orders;
    assert_eq!((orders.len(), orders[0].number.0), (1, 4));
    let unknown = order.replace("desk", "nobody").replace("30s", "1s");
    let faults = RouteText::parse(&format!("{text}{unknown}")).expect_err("invalid routes");
    let message = faults.to_string();
    assert!(message.contains("2 fault(s)") && message.contains("nobody"), "{message}");
}

#[test]
fn a_gateway_serves_its_routes_file_and_follows_its_changes() {
    let (callers, status, peers) = (free_address(), free_address(), free_address());
    let folder = std::env::temp_dir().join(format!("ryetide-gateway-{}", callers.port()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let (routes_path, settings_path): (PathBuf, PathBuf) =
        (folder.join("routes.yaml"), folder.join("settings.yaml"));
    write(&routes_path, &routes(1, start_target("first")));
    let settings = format!(
        "name: e1\ndata-centre: hall-a\ncallers: {callers}\nstatus: {status}\n\
         peers: {{address: '{peers}', key: {KEY}}}\nroutes: {}\n",
        routes_path.display()
    );
    write(&settings_path, &settings);
    let process = Process::start(&settings_path);
    let answers = |name: &str| ask(callers).is_some_and(|answer| answer.ends_with(name));
    process.wait_for(&["event=routes-in-force", "revision=1"]);
    process.wait_for(&["event=targets-changed"]);
    assert!(answers("first"));
    write(&routes_path, &routes(2, start_target("second")));
    process.wait_for(&["event=routes-in-force", "revision=2"]);
    process.wait_for(&["event=targets-changed"]);
    assert!(answers("second"));
    write(&routes_path, "revision: nonsense");
    process.wait_for(&["event=routes-unreadable"]);
    assert!(answers("second"), "an invalid routes file leaves the routes in force");
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

#[test]
fn every_error_in_a_routes_file_is_reported() {
    let text = "
revision: 0
services:
  - name: desk
    targets: [{name: t1, data-centre: hall-a, address: nowhere, slots: 0}]
routes:
  - {name: r1, host: h, prefix: orders, kind: twice, timeout: 1s, objective: 1ms,
     services: [{name: other}]}
";
    let faults = RouteText::parse(text).expect_err("invalid routes").0;
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    for path in [
        "revision",
        "services[0].targets[0].address",
        "services[0].targets[0].slots",
        "routes[0].prefix",
        "routes[0].kind",
        "routes[0].services[0]",
    ] {
        assert!(paths.contains(&path), "{path} in {paths:?}");
    }
}

#[test]
fn every_error_in_a_settings_text_is_reported() {
    let text = "name: e1\ndata-centre: hall-a\ncallers: here\nstatus: 127.0.0.1:1\n\
                peers: {address: 127.0.0.1:2, key: short}\nroutes: r.yaml\nretry: {part: 2}\n\
                scheduling: {overflow: sometimes}\nlog: ryetide=loud\n";
    let faults = GatewayText::parse(text).expect_err("invalid settings").0;
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(paths, ["callers", "peers.key", "retry.part", "scheduling.overflow", "log"]);
}

/// Guards against a refusal of settings that name the earlier default of a policy's switch.
#[test]
fn the_earlier_default_of_a_policy_is_read_as_on() {
    let read = |text: &str| text.parse::<PolicySwitch>();
    let (on, off) = (Ok(PolicySwitch::On), Ok(PolicySwitch::Off));
    assert_eq!(["on", "auto", "off", "sometimes"].map(read), [on, on, off, Err(())]);
}
