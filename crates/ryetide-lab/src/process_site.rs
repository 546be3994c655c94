//! A deployment of separate processes on loopback.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use ryetide::{deployment_keys, error::StepError};
use ryetide_core::{
    configuration::CONFIGURATION_KEY,
    event::{ListedVm, TableCommand},
};

use crate::{
    control,
    deployment::{self, EntrySite},
    engine_batch::EngineSpeed,
    process::TestProcess,
    site::{self, ScratchDirectory, SitePlan},
};

/// The paths of the programs.
#[derive(Clone, Debug)]
pub struct SitePrograms {
    /// The path of ryetided.
    pub daemon: PathBuf,
    /// The path of ryetide-lab, which runs the stand-ins.
    pub lab: PathBuf,
}

/// The process of a daemon.
#[derive(Debug)]
pub struct DaemonProcess {
    /// The VM with its addresses.
    pub site: EntrySite,
    /// The child process.
    pub process: TestProcess,
}

/// The process of a stand-in.
#[derive(Debug)]
pub struct StandInProcess {
    /// The stand-in's name.
    pub name: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The child process.
    pub process: TestProcess,
}

/// A running deployment.
#[derive(Debug)]
pub struct ProcessSite {
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// The targets.
    pub targets: Vec<StandInProcess>,
    /// The platform.
    pub platform: StandInProcess,
    programs: SitePrograms,
    directory: ScratchDirectory,
}

impl ProcessSite {
    /// Starts all processes, and waits until each daemon is serving and connected to all others.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that names the part that could not be started.
    pub fn start(plan: &SitePlan, programs: &SitePrograms) -> Result<Self, StepError> {
        let directory = ScratchDirectory::create()?;
        deployment_keys::write_keys(directory.path())?;
        let platform = start_stand_in(&programs.lab, "platform", "platform", &[])?;
        let mut services = plan.services.clone();
        let mut targets = Vec::new();
        for target in services.iter_mut().flat_map(|service| &mut service.targets) {
            let (kind, arguments) = match &target.speed {
                Some(speed) => ("engine", engine_arguments(speed)),
                None => ("plain", Vec::new()),
            };
            let stand_in = start_stand_in(&programs.lab, &target.name, kind, &arguments)?;
            target.address = stand_in.address;
            targets.push(stand_in);
        }
        let text = deployment::services_text(&plan.policy, &services);
        let row = serde_json::json!({"revision": 1, "operation": 1, "text": text});
        let key = CONFIGURATION_KEY.to_owned();
        let command = TableCommand::Write { key, expected: 0, value: row.to_string() };
        control::post(platform.address, "/table", &command)?;
        let mut site =
            Self { daemons: Vec::new(), targets, platform, programs: programs.clone(), directory };
        for (name, data_centre) in &plan.entries {
            let daemon = site.start_daemon(name, data_centre, &[])?;
            site.daemons.push(daemon);
        }
        site.publish_list()?;
        site.wait_ready()?;
        Ok(site)
    }

    /// Starts a daemon with the peers in `known` in its settings. It is not added to the platform's
    /// list.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when it does not start.
    pub fn start_daemon(
        &self,
        name: &str,
        data_centre: &str,
        known: &[&EntrySite],
    ) -> Result<DaemonProcess, StepError> {
        let mut site = EntrySite::unbound(name, data_centre);
        let text = site.settings(self.directory.path(), self.platform.address, known);
        let path = self.directory.path().join(format!("{name}.yaml"));
        std::fs::write(&path, text).map_err(|error| StepError::new("write settings", error))?;
        let arguments = [path.display().to_string()];
        let process = TestProcess::start(&self.programs.daemon, &arguments)?;
        site.callers = process.wait_address("callers")?;
        site.operators = process.wait_address("operators")?;
        site.peers = process.wait_address("peers")?;
        Ok(DaemonProcess { site, process })
    }

    /// Publishes the daemons in the platform's list.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when the platform does not answer.
    pub fn publish_list(&self) -> Result<(), StepError> {
        let listed: Vec<ListedVm> =
            self.daemons.iter().map(|daemon| daemon.site.listed()).collect();
        control::post(self.platform.address, "/lab/vms", &listed).map(drop)
    }

    /// Waits until each daemon is serving and connected to all others.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when that takes too long.
    pub fn wait_ready(&self) -> Result<(), StepError> {
        let operators: Vec<SocketAddr> =
            self.daemons.iter().map(|daemon| daemon.site.operators).collect();
        site::wait_until_ready(&operators, operators.len() - 1)
    }
}

fn engine_arguments(speed: &EngineSpeed) -> Vec<String> {
    let options = [
        ("--slots", speed.slots.to_string()),
        ("--tokens", speed.tokens.to_string()),
        ("--prefill-rate", speed.prefill_rate.to_string()),
        ("--decode-rate", speed.decode_rate.to_string()),
    ];
    options.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect()
}

fn start_stand_in(
    lab: &Path,
    name: &str,
    kind: &str,
    extra: &[String],
) -> Result<StandInProcess, StepError> {
    let mut arguments = vec![kind.to_owned(), "127.0.0.1:0".to_owned()];
    arguments.extend_from_slice(extra);
    let process = TestProcess::start(lab, &arguments)?;
    let address = process.wait_address("address")?;
    Ok(StandInProcess { name: name.to_owned(), address, process })
}
