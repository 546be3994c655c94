//! The interface between the gateway and a platform.
//!
//! The gateway itself has no platform's names built in. An adapter supplies the header names, reads
//! the size of a request from its headers, and supplies routes, targets and peers.

use std::{cell::Cell, net, rc::Rc, sync::Arc, time::Duration};

use hyper::{HeaderMap, header::HeaderName};
use ryetide::error::StepError;
use ryetide_core::{
    ids::{DataCentreName, VmName},
    machine_limits::MachineLimits,
    prompt_part::PartId,
    retry_budget::RetryRule,
    rollout_order::{RolloutDuty, RolloutOrder, RolloutReport, RolloutRule},
    route::RouteTable,
    scheduling_policy::SchedulingPolicy,
    stream_origin::OriginRecord,
    target_registry::RegistryUpdate,
    units::{LinkRate, Tokens},
    version_history::ServiceVersions,
};
use tokio::sync::{mpsc, watch};

use crate::{feed_relay::FeedRelay, lag_monitor::FeedPauses, refresh_signal::RefreshSignal};
pub use crate::{local_future::LocalFuture, stored_quarantine::StoredQuarantine};

/// Output tokens assumed for a request whose headers do not state them.
const ASSUMED_OUTPUT: Tokens = Tokens(200);

/// The settings of one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// This VM's name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The address for callers.
    pub callers: net::SocketAddr,
    /// The address for readiness checks and metrics.
    pub status: net::SocketAddr,
    /// The address for datagrams from peers.
    pub peers: net::SocketAddr,
    /// The time from the stop signal until the process is killed.
    pub grace: Duration,
    /// The limit on retries.
    pub retry: RetryRule,
    /// The limit on the traffic of a version that has not passed its trial yet.
    pub rollout: RolloutRule,
    /// Which optional scheduling policies are in effect.
    pub policy: SchedulingPolicy,
    /// The speed of this VM's link.
    pub link: LinkRate,
    /// What this VM may use of its machine.
    pub machine: MachineLimits,
}

/// The source of the settings, read at the start and whenever they may have changed.
pub trait SettingsSource {
    /// Reads the current settings.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when they cannot be read; the settings in use then remain in force.
    fn read(&self) -> Result<GatewaySettings, StepError>;
}

/// The names of the headers that the gateway reads and writes.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The request's id; targets repeat it in their answers.
    pub request_id: HeaderName,
    /// The time left until the caller's deadline, in milliseconds.
    pub deadline: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// The organisation, sent to targets.
    pub organisation: HeaderName,
    /// The target for which a request is intended, sent to targets.
    pub target: HeaderName,
    /// The name of the target that answers, in answers at its health path.
    pub target_id: HeaderName,
    /// Present in an answer whose request was not executed.
    pub not_run: HeaderName,
    /// Present in every answer that was produced by a target itself.
    pub signature: HeaderName,
    /// Present in every answer of a target that is leaving.
    pub leaving: HeaderName,
    /// The requests per second that a target accepts from all VMs together, in each of its answers
    /// while it limits them.
    pub limit: HeaderName,
    /// Present in every answer of a target while it is brittle: with the number of requests that it
    /// may turn away in a second before it falls over.
    pub brittle: HeaderName,
    /// The id of the last event of a stream that was received.
    pub last_event: HeaderName,
    /// The id of the attempt that brought the first event, if the caller takes a stream up that broke.
    pub resumes: HeaderName,
    /// Headers that only the gateway may set; they are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}

/// The size of a request's work, as far as its headers state it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkSize {
    /// Tokens of the prompt.
    pub prompt: Option<Tokens>,
    /// The limit on generated tokens.
    pub output_limit: Option<Tokens>,
    /// The number of generated tokens that the caller expects.
    pub output_hint: Option<Tokens>,
    /// A hash of the prompt's last section, by which a repeated prompt is recognised.
    pub prompt_hash: Option<u32>,
}

impl WorkSize {
    /// Returns the expected number of tokens of the answer.
    pub fn expected_output(&self) -> Tokens {
        self.output_hint.or(self.output_limit).unwrap_or(ASSUMED_OUTPUT)
    }

    /// Returns the number of tokens that the request counts against a quota, if its headers state
    /// both the prompt and the output limit.
    pub fn quota_tokens(&self) -> Option<u64> {
        Some(self.prompt?.0 + self.output_limit?.0)
    }
}

/// Reads the size of a request's work from its headers.
pub trait WorkReader {
    /// Returns the sizes that the headers state; the others are `None`.
    fn read(&self, headers: &HeaderMap) -> WorkSize;

    /// Returns the ids of the parts of the prompt that other requests may share, in their order. The
    /// part that belongs to the request alone is left out, and so are ids that cannot be parsed.
    fn shared_parts(&self, headers: &HeaderMap) -> Vec<PartId>;
}

/// The key with which a VM signs its messages to peers.
pub type PeerSecret = [u8; 32];

/// An entry VM as published to its peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEntry {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The address for its digests.
    pub address: net::SocketAddr,
    /// The key of its digests.
    pub secret: PeerSecret,
    /// The speed of its link.
    pub link: LinkRate,
    /// The quarantines that it has stored for all VMs.
    pub quarantines: Vec<StoredQuarantine>,
    /// The versions of services that it has stored for all VMs.
    pub versions: Vec<ServiceVersions>,
}

/// An update about the fleet.
#[derive(Clone, Debug)]
pub enum FleetUpdate {
    /// A validated version of the routes.
    Routes(Arc<RouteTable>),
    /// Changes of targets, and the number that their source gives to the newest change; 0 if it
    /// gives none.
    Targets(RegistryUpdate, u64),
    /// All changes of targets up to this number of their source have been received.
    TargetsReached(u64),
    /// Rollout orders for new versions of services.
    Orders(Vec<RolloutOrder>),
    /// The status of a rollout order in the operators' row.
    Rollout(RolloutReport),
    /// All listed entry VMs.
    Peers(Vec<PeerEntry>),
    /// What VMs have stored of the origins of their streams.
    Origins(Vec<OriginRecord>),
    /// The key that an earlier incarnation of this VM published to the peers.
    OwnSecret(PeerSecret),
}

/// A feed's ends of the channels between it and the gateway.
#[derive(Clone)]
pub struct FeedChannels {
    /// Receives updates. The feed ends when this channel closes.
    pub updates: mpsc::Sender<FleetUpdate>,
    /// Notified when another VM has changes that this one lacks. The feed then repeats its pending
    /// calls, since a call may hang without an error.
    pub refresh: Rc<RefreshSignal>,
    /// The number of known entry VMs.
    pub fleet_size: Rc<Cell<usize>>,
    /// Relays changes between this VM and its peers.
    pub relay: Rc<FeedRelay>,
    /// The quarantines that this VM stores for all VMs; a feed without a store ignores them.
    pub quarantines: watch::Receiver<Vec<StoredQuarantine>>,
    /// The versions of services that this VM stores for all VMs; a feed without a store ignores them.
    pub versions: watch::Receiver<Vec<ServiceVersions>>,
    /// The origins of this VM's streams that it stores for all VMs; a feed without a store ignores
    /// them.
    pub origins: watch::Receiver<Vec<OriginRecord>>,
    /// The duties that are pending at the operators' rows of rollout orders.
    pub duties: watch::Receiver<Vec<RolloutDuty>>,
}

/// The source of routes, targets and peers.
pub trait FleetFeed {
    /// Publishes `own` to the other entry VMs, and sends updates until the channel closes.
    fn run(self: Box<Self>, own: PeerEntry, line: FeedChannels) -> LocalFuture<'static, ()>;

    /// Returns whether the feed stores what VMs must know after a restart of all.
    fn has_store(&self) -> bool {
        false
    }

    /// Returns how long the feed may delay changes in order to batch them.
    fn pauses(&self) -> FeedPauses {
        FeedPauses::default()
    }
}
