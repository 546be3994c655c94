//! Descriptions of deployments on loopback: daemon settings, the services text, the list of VMs.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
};

use ryetide::error::StepError;
use ryetide_core::{
    configuration::CONFIGURATION_KEY,
    event::{ListedVm, TableAnswer, TableCommand},
};

use crate::{engine_batch::EngineSpeed, platform::PlatformStandIn};

/// An entry VM of a deployment.
#[derive(Clone, Debug)]
pub struct EntrySite {
    /// The VM's name.
    pub name: String,
    /// The VM's data centre.
    pub data_centre: String,
    /// The address on which callers connect.
    pub callers: SocketAddr,
    /// The address on which operators connect.
    pub operators: SocketAddr,
    /// The address on which peers connect.
    pub peers: SocketAddr,
}

impl EntrySite {
    /// Creates a VM whose daemon binds free ports. The addresses are set after it has started.
    pub fn unbound(name: &str, data_centre: &str) -> Self {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            callers: free,
            operators: free,
            peers: free,
        }
    }

    /// Returns the settings of the VM's daemon, with keys from `directory` and the peers in `known`.
    pub fn settings(&self, directory: &Path, platform: SocketAddr, known: &[&EntrySite]) -> String {
        let directory = directory.display();
        let known: Vec<String> = known.iter().map(|peer| peer.known()).collect();
        format!(
            "name: {}\ndata-centre: {}\ncallers: '{}'\noperators: '{}'\npeers:\n  address: '{}'\n  \
             authority: {directory}/authority.pem\n  certificate: {directory}/peer.pem\n  \
             key: {directory}/peer.key\n  known: [{}]\nplatform:\n  table: '{platform}'\n  \
             list: '{platform}'\n",
            self.name,
            self.data_centre,
            self.callers,
            self.operators,
            self.peers,
            known.join(", "),
        )
    }

    fn known(&self) -> String {
        let Self { name, data_centre, peers, .. } = self;
        format!("{{name: {name}, data-centre: {data_centre}, address: '{peers}'}}")
    }

    /// Returns the VM's entry in the platform's list.
    pub fn listed(&self) -> ListedVm {
        ListedVm {
            name: self.name.clone(),
            data_centre: self.data_centre.as_str().into(),
            peer_address: Some(self.peers),
            leaving: false,
        }
    }
}

/// A target of a deployment.
#[derive(Clone, Debug)]
pub struct TargetSite {
    /// The target's name.
    pub name: String,
    /// The target's data centre.
    pub data_centre: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The speed of an engine, or `None` for a plain service.
    pub speed: Option<EngineSpeed>,
}

/// A service of a deployment.
#[derive(Clone, Debug)]
pub struct ServiceSite {
    /// The service's name.
    pub name: String,
    /// The service's targets.
    pub targets: Vec<TargetSite>,
    /// The services on which it depends.
    pub depends_on: Vec<String>,
}

/// The tiers and organisations of a services text.
#[derive(Clone, Debug)]
pub struct SharingPolicy {
    /// The tiers, each with its maximum wait and the share of each target that it may fill.
    pub tiers: Vec<(String, String, f64)>,
    /// The organisations with their shares.
    pub organisations: Vec<(String, u32)>,
}

/// The number of slots of a plain service's target.
const PLAIN_SLOTS: usize = 32;
/// The token limit of a plain service's target, high enough to have no effect.
const PLAIN_TOKENS: u64 = 10_000_000;

/// Returns a services text.
pub fn services_text(policy: &SharingPolicy, services: &[ServiceSite]) -> String {
    let mut text = "tiers:\n".to_owned();
    for (name, wait, fill) in &policy.tiers {
        text += &format!("  - {{name: {name}, wait: {wait}, fill: {fill}}}\n");
    }
    text.push_str("organisations:\n");
    for (name, share) in &policy.organisations {
        text += &format!("  - {{name: {name}, share: {share}}}\n");
    }
    text.push_str("services:\n");
    for service in services {
        let model = service.targets.iter().any(|target| target.speed.is_some());
        let kind = if model { "model" } else { "plain" };
        let needs = service.depends_on.join(", ");
        let name = &service.name;
        text += &format!("  - name: {name}\n    kind: {kind}\n    depends-on: [{needs}]\n");
        text.push_str("    body-limit: 8388608\n    targets:\n");
        for target in &service.targets {
            write_target(&mut text, target);
        }
    }
    text
}

fn write_target(text: &mut String, target: &TargetSite) {
    let TargetSite { name, data_centre, address, speed } = target;
    let slots = speed.map_or(PLAIN_SLOTS, |speed| speed.slots);
    let tokens = speed.map_or(PLAIN_TOKENS, |speed| speed.tokens);
    *text += &format!(
        "      - {{name: {name}, data-centre: {data_centre}, address: '{address}', \
         slots: {slots}, tokens: {tokens}, refusal-ran-nothing: true"
    );
    if let Some(speed) = speed {
        let (prefill, decode) = (speed.prefill_rate as u64, speed.decode_rate as u64);
        *text += &format!(", prefill-rate: {prefill}, decode-rate: {decode}");
    }
    text.push_str("}\n");
}

/// Writes a services text to the platform's table as revision 1, like an earlier `apply`.
///
/// # Errors
///
/// Returns a [`StepError`] when the table already has a text.
pub fn install_text(platform: &PlatformStandIn, text: &str) -> Result<(), StepError> {
    let row = serde_json::json!({"revision": 1, "operation": 1, "text": text});
    let key = CONFIGURATION_KEY.to_owned();
    let command = TableCommand::Write { key, expected: 0, value: row.to_string() };
    match platform.run(&command) {
        TableAnswer::Written(_) => Ok(()),
        _ => Err(StepError::new("install text", "the table already has a text")),
    }
}
