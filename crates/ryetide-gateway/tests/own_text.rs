//! A gateway without a platform: the real program, on its own texts.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use ryetide_core::route_text::RouteText;
use ryetide_gateway::gateway_text::GatewayText;

const PATIENCE: Duration = Duration::from_secs(10);
const KEY: &str = "6b2f7c1de8a0446f9f0e5d4c3b2a19087f6e5d4c3b2a1908a7b6c5d4e3f20110";

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already; either way nothing is left behind.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

/// A target that answers each request with its own name, once on each connection.
fn start_target(name: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut head = [0; 4_096];
            let length = stream.read(&mut head).unwrap_or(0);
            let text = String::from_utf8_lossy(&head[..length]).into_owned();
            let id = text.lines().find_map(|line| line.strip_prefix("ryetide-request-id: "));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nryetide-request-id: {}\r\nryetide-answered-by: {name}\r\n\
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

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "{what}");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_gateway_serves_its_routes_file_and_follows_its_changes() {
    let (callers, status, peers) = (free_address(), free_address(), free_address());
    let folder = std::env::temp_dir().join(format!("ryetide-gateway-{}", callers.port()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (routes_path, settings_path): (PathBuf, PathBuf) =
        (folder.join("routes.yaml"), folder.join("settings.yaml"));
    std::fs::write(&routes_path, routes(1, start_target("first"))).expect("a file");
    let settings = format!(
        "name: e1\ndata-centre: hall-a\ncallers: {callers}\nstatus: {status}\n\
         peers: {{address: '{peers}', key: {KEY}}}\nroutes: {}\n",
        routes_path.display()
    );
    std::fs::write(&settings_path, settings).expect("a file");
    let child = Command::new(env!("CARGO_BIN_EXE_ryetide-gateway"))
        .arg(&settings_path)
        .stdout(Stdio::null())
        .spawn()
        .expect("the program");
    let _process = Process(child);
    let answers = |name: &str| ask(callers).is_some_and(|answer| answer.ends_with(name));
    wait_until("the first target answers", || answers("first"));
    std::fs::write(&routes_path, routes(2, start_target("second"))).expect("a file");
    wait_until("the second target answers", || answers("second"));
    std::fs::write(&routes_path, "revision: nonsense").expect("a file");
    thread::sleep(Duration::from_millis(1_200));
    assert!(answers("second"), "a faulty text changes nothing");
    std::fs::remove_dir_all(&folder).expect("a folder of our own");
}

#[test]
fn every_fault_of_a_routes_text_is_told() {
    let text = "
revision: 0
services:
  - name: desk
    targets: [{name: t1, data-centre: hall-a, address: nowhere, slots: 0}]
routes:
  - {name: r1, host: h, prefix: orders, kind: twice, timeout: 1s, objective: 1ms,
     services: [{name: other}]}
";
    let faults = RouteText::parse(text).expect_err("a faulty text").0;
    let places: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    for place in [
        "revision",
        "services[0].targets[0].address",
        "services[0].targets[0].slots",
        "routes[0].prefix",
        "routes[0].kind",
        "routes[0].services[0]",
    ] {
        assert!(places.contains(&place), "{place} in {places:?}");
    }
}

#[test]
fn faults_of_a_settings_text_are_told() {
    let text = "name: e1\ndata-centre: hall-a\ncallers: here\nstatus: 127.0.0.1:1\n\
                peers: {address: 127.0.0.1:2, key: short}\nroutes: r.yaml\nretry: {part: 2}\n";
    let faults = GatewayText::parse(text).expect_err("a faulty text").0;
    let places: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(places, ["callers", "peers.key", "retry.part"]);
}
