//! Deployments on loopback: the settings of daemons, their services text, and the list of VMs.

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
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
}

impl EntrySite {
    /// Creates a VM whose daemon is to bind free ports; the addresses are filled in once it has.
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

    /// Returns the VM's settings, with keys from `directory` and the peers in `known`.
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

    /// Returns the VM's line in the platform's list.
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
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its speed; none for plain services.
    pub speed: Option<EngineSpeed>,
}

/// A service of a deployment.
#[derive(Clone, Debug)]
pub struct ServiceSite {
    /// Its name.
    pub name: String,
    /// Its targets.
    pub targets: Vec<TargetSite>,
    /// What it depends on.
    pub depends_on: Vec<String>,
}

/// What a services text declares besides services.
#[derive(Clone, Debug)]
pub struct TextFrame {
    /// Tiers with the longest wait and the part of each target they may fill.
    pub tiers: Vec<(String, String, f64)>,
    /// Organisations with their shares.
    pub organisations: Vec<(String, u32)>,
}

/// Slots of a plain service's target.
const PLAIN_SLOTS: usize = 32;
/// Tokens of a plain service's target.
const PLAIN_TOKENS: u64 = 10_000_000;

/// Writes a services text.
pub fn services_text(frame: &TextFrame, services: &[ServiceSite]) -> String {
    let mut text = "tiers:\n".to_owned();
    for (name, wait, fill) in &frame.tiers {
        text += &format!("  - {{name: {name}, wait: {wait}, fill: {fill}}}\n");
    }
    text.push_str("organisations:\n");
    for (name, share) in &frame.organisations {
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

/// Puts a services text into the platform's table as revision 1, as an earlier `apply` would have.
///
/// # Errors
///
/// Returns a [`StepError`] when the table holds a text already.
pub fn install_text(platform: &PlatformStandIn, text: &str) -> Result<(), StepError> {
    let row = serde_json::json!({"revision": 1, "operation": 1, "text": text});
    let key = CONFIGURATION_KEY.to_owned();
    let command = TableCommand::Write { key, expected: 0, value: row.to_string() };
    match platform.run(&command) {
        TableAnswer::Written(_) => Ok(()),
        _ => Err(StepError::new("install text", "the table holds a text already")),
    }
}
