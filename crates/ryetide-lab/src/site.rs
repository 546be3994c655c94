//! A deployment in one process on loopback, with stand-ins and daemons on threads.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use ntex::rt::{DefaultRuntime, System};
use ryetide::{
    daemon::{self, ShutdownHandle},
    daemon_sockets::DaemonSockets,
    deployment_keys,
    error::StepError,
    fresh_client::FreshConnection,
    settings::DaemonSettings,
};
use ryetide_core::entry::EntryStatus;

use crate::{
    deployment::{self, EntrySite, ServiceSite, SharingPolicy},
    engine::EngineStandIn,
    plain_service::PlainStandIn,
    platform::PlatformStandIn,
    server,
};

/// The time within which all daemons must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The maximum size of a status report, in bytes.
const STATUS_SIZE_LIMIT: usize = 1 << 20;
/// The interval at which the daemons are polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The description of a deployment to start.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// The names and data centres of the entry VMs.
    pub entries: Vec<(String, String)>,
    /// The services. The addresses of their targets are set when these are started.
    pub services: Vec<ServiceSite>,
    /// The tiers and organisations.
    pub policy: SharingPolicy,
}

/// A temporary directory that is removed with its contents when dropped.
#[derive(Debug)]
pub struct ScratchDirectory(PathBuf);

impl ScratchDirectory {
    /// Creates a directory in the system's directory for temporary files.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when it cannot be created.
    pub fn create() -> Result<Self, StepError> {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("ryetide-lab-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)
            .map_err(|error| StepError::new("create directory", error).with_peer(path.display()))?;
        Ok(Self(path))
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.0) {
            let peer = self.0.display();
            tracing::warn!(event = "directory-left", step = "remove", %peer, reason = %error);
        }
    }
}

/// A daemon on its own thread.
#[derive(Debug)]
struct LocalDaemon {
    site: EntrySite,
    shutdown: ShutdownHandle,
    thread: thread::JoinHandle<Result<(), StepError>>,
}

/// A running deployment.
#[derive(Debug)]
pub struct LocalSite {
    daemons: Vec<LocalDaemon>,
    engines: Vec<EngineStandIn>,
    plain: Vec<PlainStandIn>,
    platform: PlatformStandIn,
    _directory: ScratchDirectory,
}

impl LocalSite {
    /// Starts all parts, and waits until each daemon is serving and connected to all others.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that names the part that could not be started.
    pub fn start(plan: &SitePlan) -> Result<Self, StepError> {
        let directory = ScratchDirectory::create()?;
        deployment_keys::write_keys(directory.path())?;
        let platform = PlatformStandIn::start(server::free_listener()?)?;
        let mut services = plan.services.clone();
        let (mut engines, mut plain) = (Vec::new(), Vec::new());
        for target in services.iter_mut().flat_map(|service| &mut service.targets) {
            let listener = server::free_listener()?;
            if let Some(speed) = target.speed {
                let engine = EngineStandIn::start(listener, speed)?;
                target.address = engine.address();
                engines.push(engine);
            } else {
                let service = PlainStandIn::start(listener)?;
                target.address = service.address();
                plain.push(service);
            }
        }
        deployment::install_text(&platform, &deployment::services_text(&plan.policy, &services))?;
        let mut daemons = Vec::new();
        for (name, data_centre) in &plan.entries {
            let site = EntrySite::unbound(name, data_centre);
            daemons.push(start_daemon(site, directory.path(), platform.address())?);
        }
        platform.set_list(daemons.iter().map(|daemon| daemon.site.listed()).collect());
        let site = Self { daemons, engines, plain, platform, _directory: directory };
        site.wait_ready()?;
        Ok(site)
    }

    /// Returns the callers' address of each entry VM.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.site.callers).collect()
    }

    /// Returns the operators' address of each entry VM.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.site.operators).collect()
    }

    /// Returns the engines.
    pub fn engines(&self) -> &[EngineStandIn] {
        &self.engines
    }

    /// Returns the plain services' targets.
    pub fn plain(&self) -> &[PlainStandIn] {
        &self.plain
    }

    /// Returns the platform.
    pub fn platform(&self) -> &PlatformStandIn {
        &self.platform
    }

    fn wait_ready(&self) -> Result<(), StepError> {
        let operators = self.operators();
        let peer_count = operators.len() - 1;
        wait_until_ready(&operators, peer_count)
    }

    /// Shuts down all daemons and waits until they have finished.
    ///
    /// # Errors
    ///
    /// Returns the first [`StepError`] with which a daemon ended.
    pub fn stop(self) -> Result<(), StepError> {
        for daemon in &self.daemons {
            daemon.shutdown.shut_down();
        }
        for daemon in self.daemons {
            let ended = daemon.thread.join();
            ended.map_err(|_| StepError::new("stop daemon", "its thread panicked"))??;
        }
        Ok(())
    }
}

fn start_daemon(
    mut site: EntrySite,
    directory: &Path,
    platform: SocketAddr,
) -> Result<LocalDaemon, StepError> {
    let text = site.settings(directory, platform, &[]);
    let settings =
        DaemonSettings::parse(&text).map_err(|faults| StepError::new("settings", faults))?;
    let sockets = DaemonSockets::bind(&settings)?;
    let addresses = sockets.addresses()?;
    (site.callers, site.operators, site.peers) =
        (addresses.callers, addresses.operators, addresses.peers);
    let shutdown = ShutdownHandle::default();
    let thread_shutdown = shutdown.clone();
    let thread = thread::Builder::new()
        .name(site.name.clone())
        .spawn(move || daemon::run(settings, sockets, thread_shutdown))
        .map_err(|error| StepError::new("start daemon", error))?;
    Ok(LocalDaemon { site, shutdown, thread })
}

/// Waits until each daemon has a configuration in force and is connected to `peer_count` peers.
///
/// # Errors
///
/// Returns a [`StepError`] when that takes too long.
pub fn wait_until_ready(operators: &[SocketAddr], peer_count: usize) -> Result<(), StepError> {
    let operators = operators.to_vec();
    System::new("ready", DefaultRuntime).block_on(async move {
        let started = Instant::now();
        for address in operators {
            loop {
                let status = read_status(address).await;
                let ready = |status: &EntryStatus| {
                    status.revision.0 > 0 && status.peers.len() >= peer_count
                };
                if status.as_ref().is_some_and(ready) {
                    break;
                }
                if started.elapsed() > READY_TIMEOUT {
                    let state = format!("not ready: {status:?}");
                    return Err(StepError::new("wait for daemons", state).with_peer(address));
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    })
}

/// Reads a daemon's status. Returns `None` when it does not answer.
pub async fn read_status(address: SocketAddr) -> Option<EntryStatus> {
    let connection = FreshConnection::open(address, Duration::from_secs(1)).await?;
    let request = connection.request(ntex::http::Method::GET, "/v1/status");
    let response = request.send().await.ok()?;
    serde_json::from_slice(&response.read_body(STATUS_SIZE_LIMIT).await.ok()?).ok()
}
