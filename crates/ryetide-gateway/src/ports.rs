//! What a platform must provide, and what it is told.
//!
//! The gateway knows no platform's names. An adapter gives it the headers' names, reads the size of a
//! request from them, and feeds it routes, targets and peers.

use std::{cell::Cell, net, rc::Rc, sync::Arc, time::Duration};

use hyper::{HeaderMap, header::HeaderName};
use ryetide::error::StepError;
use ryetide_core::{
    ids::{DataCentreName, VmName},
    request_fingerprint::RequestFingerprint,
    retry_budget::RetryRule,
    rollout_order::{RolloutDuty, RolloutOrder, RolloutReport, RolloutRule},
    route::RouteTable,
    target_registry::RegistryUpdate,
    units::{LinkRate, Tokens},
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

pub use crate::local_future::LocalFuture;
use crate::{feed_nudge::FeedNudge, feed_relay::FeedRelay, feed_watch::FeedPauses};

/// Output tokens assumed of a request that does not tell.
const ASSUMED_OUTPUT: Tokens = Tokens(200);

/// What one gateway is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// This VM's name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where callers connect.
    pub callers: net::SocketAddr,
    /// Where readiness is asked for, and metrics.
    pub status: net::SocketAddr,
    /// Where peers send datagrams.
    pub peers: net::SocketAddr,
    /// Time from the order to stop until the process is killed.
    pub grace: Duration,
    /// How much may be repeated.
    pub retry: RetryRule,
    /// How much a version may get that may prove bad.
    pub rollout: RolloutRule,
    /// The speed of this VM's link.
    pub link: LinkRate,
}

/// Where the settings are read from, at the start and when they may have changed.
pub trait SettingsSource {
    /// Reads the settings as they are now.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when they cannot be read; those in use then stay.
    fn read(&self) -> Result<GatewaySettings, StepError>;
}

/// The names of the headers that carry what the gateway must know or say.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The request's id; targets repeat it in their answers.
    pub request_id: HeaderName,
    /// The time left until the caller's deadline, in milliseconds.
    pub deadline: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// The organisation, told to targets.
    pub organisation: HeaderName,
    /// The target that is meant, told to targets.
    pub target: HeaderName,
    /// Present in an answer whose request did not run.
    pub not_run: HeaderName,
    /// Present in every answer that a target made itself.
    pub signature: HeaderName,
    /// Present in every answer of a target that leaves.
    pub leaving: HeaderName,
    /// The requests a second that a target takes from all VMs together, in each of its answers while it names them.
    pub limit: HeaderName,
    /// The id of the last event of a stream that was received.
    pub last_event: HeaderName,
    /// Headers that only the gateway may set: they are taken out of callers' requests.
    pub reserved: Vec<HeaderName>,
}

/// The size of a request's work, as far as its headers tell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkSize {
    /// Tokens of the prompt.
    pub prompt: Option<Tokens>,
    /// The most tokens that may be generated.
    pub output_limit: Option<Tokens>,
    /// Tokens that the caller expects to be generated.
    pub output_hint: Option<Tokens>,
    /// A hash of the prompt's last part, by which the same prompt is known again.
    pub prompt_hash: Option<u32>,
}

impl WorkSize {
    /// Returns the tokens that the answer is expected to have.
    pub fn expected_output(&self) -> Tokens {
        self.output_hint.or(self.output_limit).unwrap_or(ASSUMED_OUTPUT)
    }

    /// Returns the tokens by which the request counts against a quota, when it tells them.
    pub fn quota_tokens(&self) -> Option<u64> {
        Some(self.prompt?.0 + self.output_limit?.0)
    }
}

/// Reads the size of a request's work from its headers.
pub trait WorkReader {
    /// Returns what the headers tell; what they do not tell is left out.
    fn read(&self, headers: &HeaderMap) -> WorkSize;
}

/// The key by which a VM's digests are known to be its own: drawn anew at each start.
pub type PeerSecret = [u8; 32];

/// Another entry VM, or this one as others see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEntry {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where it takes digests.
    pub address: net::SocketAddr,
    /// The key of its digests.
    pub secret: PeerSecret,
    /// The speed of its link.
    pub link: LinkRate,
    /// The requests under quarantine that it keeps for all to find.
    pub kept: Vec<KeptQuarantine>,
}

/// A request that is sent to no target since it crashes them, as it is kept where it outlasts all VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct KeptQuarantine {
    /// The request.
    #[serde(rename = "print")]
    pub fingerprint: RequestFingerprint,
    /// When it was blamed, in Unix milliseconds.
    pub since_ms: u64,
    /// When it was last asked for as far as is kept, in Unix milliseconds.
    pub asked_ms: u64,
}

/// News of the fleet.
#[derive(Clone, Debug)]
pub enum FleetUpdate {
    /// A version of the routes, as it was accepted.
    Routes(Arc<RouteTable>),
    /// News of targets, and the number that their source gives the newest of them; 0 when it gives
    /// none.
    Targets(RegistryUpdate, u64),
    /// All news of targets up to this number, as their source gives it, have come.
    TargetsReached(u64),
    /// Orders to bring new versions of services in.
    Orders(Vec<RolloutOrder>),
    /// What the operators' row says of an order.
    Rollout(RolloutReport),
    /// All entry VMs that are listed.
    Peers(Vec<PeerEntry>),
    /// The key by which the peers know this VM already, from an earlier life.
    OwnSecret(PeerSecret),
}

/// A feed's ends of what joins it to the gateway.
#[derive(Clone)]
pub struct FeedLine {
    /// Takes news. The feed ends when it closes.
    pub updates: mpsc::Sender<FleetUpdate>,
    /// Rung when another VM has news that have not come here: whatever the feed waits for may have
    /// gone silent, and it should ask anew.
    pub nudge: Rc<FeedNudge>,
    /// How many entry VMs there are, as far as known.
    pub fleet_size: Rc<Cell<usize>>,
    /// What this VM and its peers tell each other of changes.
    pub relay: Rc<FeedRelay>,
    /// The requests under quarantine that this VM keeps for all to find; a feed that has no store passes over them.
    pub kept: watch::Receiver<Vec<KeptQuarantine>>,
    /// What must be done at the operators' rows about orders, as long as it must.
    pub duties: watch::Receiver<Vec<RolloutDuty>>,
}

/// Where routes, targets and peers come from.
pub trait FleetFeed {
    /// Makes `own` known to the other entry VMs, and sends news until the line closes.
    fn run(self: Box<Self>, own: PeerEntry, line: FeedLine) -> LocalFuture<'static, ()>;

    /// Returns for how long it may make news wait, to tell them together.
    fn pauses(&self) -> FeedPauses {
        FeedPauses::default()
    }
}
