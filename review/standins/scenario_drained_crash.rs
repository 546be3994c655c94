//! A replica that is leaving crashes while it writes answers without a length.
//!
//! Its connections end in the middle of the answers. An entry VM that takes the end of such a connection
//! for the end of the answer hands its client a part of the answer as the whole.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Answer},
    fleet::{self, Record, Replica, RunFolder, Site},
    replica::{self, EVENTS},
    store::Store,
};

const HOST: &str = "ficu95.example";
const KEY: &str = "i9n73hh2b9wu3fexd9dn";
/// The two streaming routes: one that may be resumed and one that may not.
const PREFIXES: [&str; 2] = ["/pufi791/", "/lohu930/"];
/// `drain_ms` of the settings: each entry VM knows by then that a replica is leaving.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Requests of each route to each entry VM.
const REQUESTS: usize = 2;
const PATIENCE: Duration = Duration::from_secs(12);

fn config() -> String {
    let route = |prefix: &str, resume: bool, attempts: u32, timeout: u32| {
        format!(
            r#"{{"name":"r-{attempts}","hostname":"{HOST}","prefix":"{prefix}","route_type":"streaming","timeout_ms":{timeout},"target_latency_ms":1000,"priority":0,"backend":"huvo11a","attempts":{attempts},"anonymous_access":false,"session_affinity":true,"stream_resume":{resume},"gap_target_ms":400}}"#
        )
    };
    let routes = [route(PREFIXES[0], true, 2, 12_000), route(PREFIXES[1], false, 1, 15_000)];
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{{"name":"huvo11a","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"engine":{{"slots":9,"kv_capacity":551410,"kv_bytes":18432,"link_mbps":130000.0,"stride":6,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1,"unit":"tokens","uncached_tokens":200,"rate_per_s":210926,"burst":210926}}]}}"#,
        routes.join(",")
    )
}

/// Runs the case; returns whether the rule held.
pub fn run(folder: &Path) -> Result<bool, String> {
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(folder)?;
    let run_folder = RunFolder::create()?;
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", &config());
    let mut first = Replica::start("i-first", "huvo11a", &["stream"], &record)?;
    first.register(&store, "ready", 1);
    let site = Site {
        store: store.address,
        contracts: fleet::SMALL_CONTRACTS,
        bounds: fleet::SMALL_BOUNDS,
    };
    let vms = fleet::start_vms(3, &site, &store, &run_folder.0)?;
    // The entry VMs have read all rows by then, and no pause after a change is pending.
    thread::sleep(Duration::from_secs(3));

    let mut clients = Vec::new();
    for (number, vm) in vms.iter().enumerate() {
        for (index, prefix) in PREFIXES.iter().enumerate() {
            for repeat in 0..REQUESTS {
                let id = format!("q{number}{index}{repeat}");
                let text = format!(
                    "POST {prefix}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
                     X-Token-Counts: 628,360\r\nX-Prefix-Hash: 5c1e07a2:60,{number}{index}{repeat}f:568\r\n\
                     X-Request-Deadline: 12000\r\nX-Credential: {KEY}\r\nContent-Length: 4\r\n\r\nbody"
                );
                record.write(&format!("client sends {id} ({prefix}) to {}", vm.name));
                let (address, record) = (vm.callers, record.clone());
                clients.push(thread::spawn(move || {
                    let answer = client::send(address, &text, PATIENCE);
                    record.write(&format!("client of {id} {}", summary(answer.as_ref())));
                    (id, answer)
                }));
            }
        }
    }
    let expected = clients.len();
    wait_until(Duration::from_secs(2), || first.count("made") >= expected)?;

    let second = Replica::start("i-second", "huvo11a", &["stream"], &record)?;
    if with_trouble {
        second.register(&store, "ready", 1);
        first.register(&store, "draining", 2);
        record.write("the store has acknowledged that i-first is draining");
        thread::sleep(DRAIN);
        first.process.kill();
        record.write("i-first has crashed");
    }
    let mut held = true;
    for client in clients {
        let (id, answer) = client.join().map_err(|_| "a client panicked".to_owned())?;
        let Some(answer) = answer else { continue };
        let whole: String = (1..=EVENTS).map(|number| replica::event(&id, number)).collect();
        if answer.is_complete_success() && answer.body != whole {
            held = false;
            let events = answer.body.matches("data:").count();
            record.write(&format!(
                "BROKEN: {id} got status {} and an answer that looks complete, with {events} of {EVENTS} events",
                answer.status()
            ));
        }
        if !with_trouble && !answer.is_complete_success() {
            return Err(format!("{id} was not served without the disruption"));
        }
    }
    record.write(if held { "the rule held" } else { "the rule was broken" });
    Ok(held)
}

fn summary(answer: Option<&Answer>) -> String {
    match answer {
        None => "got no answer".to_owned(),
        Some(answer) => format!(
            "got status {}, signature {}, {} events, end {:?}",
            answer.status(),
            answer.head.get("x-replica-signature").unwrap_or("none"),
            answer.body.matches("data:").count(),
            answer.end
        ),
    }
}

fn wait_until(limit: Duration, is_met: impl Fn() -> bool) -> Result<(), String> {
    let until = Instant::now() + limit;
    while !is_met() {
        if Instant::now() > until {
            return Err("the requests did not begin".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
