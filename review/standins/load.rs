//! Clients that send one plain request after the other to their entry VM, each on a new connection.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    client,
    fleet::{Record, Vm},
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const PATIENCE: Duration = Duration::from_millis(2_500);

/// The operator's configuration: one `unsafe` route to `service`, and one tenant without a quota.
pub fn config(service: &str, connections: u32) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","hostname":"{HOST}","prefix":"/puxa403/","route_type":"unsafe","timeout_ms":1200,"target_latency_ms":150,"priority":2,"backend":"{service}","attempts":1,"anonymous_access":false}}],"services":[{{"name":"{service}","health_path":"/health","max_connections":{connections},"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"rate_per_s":0}}]}}"#
    )
}

/// Clients that run until they are stopped.
pub struct Load {
    is_over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `per_vm` clients for each entry VM, which rest for `pause` after each answer.
    pub fn start(vms: &[Vm], per_vm: usize, pause: Duration, record: &Record) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU64::new(1));
        let mut clients = Vec::new();
        for vm in vms {
            for _ in 0..per_vm {
                let (address, name, record) = (vm.callers, vm.name.clone(), record.clone());
                let (next, is_over) = (Arc::clone(&next), Arc::clone(&is_over));
                clients.push(thread::spawn(move || {
                    while !is_over.load(Ordering::Relaxed) {
                        let id = format!("q{:06}", next.fetch_add(1, Ordering::Relaxed));
                        let answer = client::send(address, &request_text(&id), PATIENCE);
                        let status = answer.as_ref().map_or("none", |answer| answer.status());
                        record.write(&format!("client of {id} at {name} got status {status}"));
                        thread::sleep(pause);
                    }
                }));
            }
        }
        Self { is_over, clients }
    }

    /// Stops the clients and waits for their last answers.
    pub fn stop(self) -> Result<(), String> {
        self.is_over.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().map_err(|_| "a client panicked".to_owned())?;
        }
        Ok(())
    }
}

fn request_text(id: &str) -> String {
    format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Request-Deadline: 2500\r\n\
         X-Credential: {KEY}\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"
    )
}
