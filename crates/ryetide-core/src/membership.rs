//! The known entry VMs, which of them are alive, and which one arbitrates a scope.
//!
//! The platform's list names the VMs that exist, with a delay; heartbeats show which are alive. The
//! arbiter of a scope is chosen by rendezvous hashing over the live entry VMs of its data centre,
//! so that VMs with the same view choose the same arbiter without coordination, and the failure of
//! a VM moves only the scopes that it arbitrated. VMs with different views may temporarily choose
//! different arbiters, which affects the quality of scheduling but not its safety.

use std::{collections::BTreeMap, net, time::Duration};

use xxhash_rust::xxh3;

use crate::{
    chart::{self, PeerEvent, PeerState},
    effect::PeerAddress,
    event::ListedVm,
    ids::{DataCentreKey, DataCentreName, Incarnation, ScopeKey, VmName},
    message::ScopeLoad,
    units::{Moment, Revision},
};

/// The shortest interval between two heartbeats to one peer.
pub const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The size of one heartbeat on the wire, with framing and acknowledgement; see docs/CAPACITY.md.
const HEARTBEAT_BYTES: u64 = 150;
/// The bandwidth that one VM may use for heartbeats, in bytes per second.
const HEARTBEAT_BYTES_PER_SECOND: u64 = 3_000;
/// The number of missed heartbeats after which a peer counts as silent.
const MISSED_HEARTBEAT_LIMIT: u32 = 4;

/// Another entry VM.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its incarnation, once a message has been received from it.
    pub incarnation: Option<Incarnation>,
    /// Its state.
    pub state: PeerState,
    /// When the last message from it was received.
    pub last_received: Moment,
    /// The highest revision that it has reported to be in force there.
    pub revision: Revision,
    /// The loads of the scopes that it arbitrates.
    pub loads: Vec<ScopeLoad>,
    /// The time until which it is not used as an arbiter, because it did not answer a slot request
    /// in time.
    pub excluded_until: Moment,
}

/// What a message from a peer changed in the table of peers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerChange {
    /// Whether the peer was not alive before.
    pub appeared: bool,
    /// Whether the peer has a new incarnation: all state of the previous one is lost.
    pub restarted: bool,
}

/// The entry VMs known to this one.
#[derive(Debug)]
pub struct PeerTable {
    own_name: VmName,
    own_data_centre: DataCentreName,
    own_leaving: bool,
    peers: BTreeMap<VmName, PeerRecord>,
}

impl PeerTable {
    /// Creates a table that contains only this VM.
    pub fn new(own_name: VmName, own_data_centre: DataCentreName) -> Self {
        Self { own_name, own_data_centre, own_leaving: false, peers: BTreeMap::new() }
    }

    /// Returns the peer called `name`.
    pub fn get(&self, name: &VmName) -> Option<&PeerRecord> {
        self.peers.get(name)
    }

    /// Returns all peers.
    pub fn iter(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values()
    }

    /// Returns the peers that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values().filter(|peer| peer.state == PeerState::Alive)
    }

    /// Returns the addresses to keep connections to.
    pub fn addresses(&self) -> Vec<PeerAddress> {
        let address =
            |peer: &PeerRecord| PeerAddress { name: peer.name.clone(), address: peer.address };
        self.peers.values().map(address).collect()
    }

    /// Records that this VM is leaving, after which it arbitrates no scope.
    pub fn set_leaving(&mut self) {
        self.own_leaving = true;
    }

    /// Adds a peer, or updates the address of a known peer that is not alive; returns whether
    /// anything changed.
    pub fn add_or_update(
        &mut self,
        name: &VmName,
        centre: &DataCentreName,
        at: net::SocketAddr,
    ) -> bool {
        if *name == self.own_name {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(name) {
            let changed = peer.address != at && peer.state != PeerState::Alive;
            if changed {
                peer.address = at;
            }
            return changed;
        }
        let record = PeerRecord {
            name: name.clone(),
            data_centre: centre.clone(),
            address: at,
            incarnation: None,
            state: chart::peer().initial(),
            last_received: Moment::default(),
            revision: Revision::default(),
            loads: Vec::new(),
            excluded_until: Moment::default(),
        };
        self.peers.insert(name.clone(), record);
        true
    }

    /// Applies the platform's list: adds the VMs that it names, and removes peers that it no longer
    /// names unless they are alive. A live peer stays because the list may be out of date.
    pub fn apply_list(&mut self, listed: &[ListedVm]) -> bool {
        let mut changed = false;
        let mut listed_names = Vec::new();
        for vm in listed {
            let Some(address) = vm.peer_address else {
                continue;
            };
            let name = VmName::from(vm.name.as_str());
            changed |= self.add_or_update(&name, &vm.data_centre, address);
            listed_names.push(name);
        }
        for peer in self.peers.values_mut().filter(|peer| !listed_names.contains(&peer.name)) {
            changed |= chart::peer().advance(&mut peer.state, PeerEvent::Delisted);
        }
        self.peers.retain(|_, peer| peer.state != PeerState::Gone);
        changed
    }

    /// Records that a message was received from a peer.
    pub fn record_message(
        &mut self,
        now: Moment,
        from: &VmName,
        incarnation: Incarnation,
        centre: &DataCentreName,
        address: net::SocketAddr,
    ) -> PeerChange {
        self.add_or_update(from, centre, address);
        let Some(peer) = self.peers.get_mut(from) else {
            return PeerChange::default();
        };
        let restarted = peer.incarnation.is_some_and(|known| known != incarnation);
        let left = peer.state == PeerState::Leaving && !restarted;
        let appeared = peer.state != PeerState::Alive && !left;
        if !left {
            chart::peer().advance(&mut peer.state, PeerEvent::Heard);
        }
        peer.address = address;
        peer.incarnation = Some(incarnation);
        peer.last_received = now;
        if restarted {
            peer.loads.clear();
        }
        PeerChange { appeared, restarted }
    }

    /// Records the content of a peer's heartbeat; returns whether it is the first one that
    /// announces that the peer is leaving.
    pub fn record_heartbeat(
        &mut self,
        from: &VmName,
        revision: Revision,
        loads: Vec<ScopeLoad>,
        leaving: bool,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(from) else {
            return false;
        };
        peer.revision = peer.revision.max(revision);
        peer.loads = loads;
        leaving
            && peer.state != PeerState::Leaving
            && chart::peer().advance(&mut peer.state, PeerEvent::Goodbye)
    }

    /// Marks the peers as silent from which no message was received for too long, and returns the
    /// names of those that were alive.
    pub fn find_silent(&mut self, now: Moment) -> Vec<VmName> {
        let mut silent = Vec::new();
        let timeout = self.silence_timeout();
        for peer in self.peers.values_mut() {
            let timed_out = now.since(peer.last_received) > timeout;
            if timed_out && peer.state == PeerState::Alive {
                chart::peer().advance(&mut peer.state, PeerEvent::Silent);
                peer.loads.clear();
                silent.push(peer.name.clone());
            } else if timed_out && peer.state == PeerState::Leaving {
                chart::peer().advance(&mut peer.state, PeerEvent::Silent);
            }
        }
        self.peers.retain(|_, peer| peer.state != PeerState::Gone);
        silent
    }

    /// Excludes a peer as an arbiter until `until`.
    pub fn exclude_as_arbiter(&mut self, name: &VmName, until: Moment) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.excluded_until = until;
        }
    }

    /// Returns the interval between two heartbeats. It grows with the number of peers to keep
    /// within the bandwidth limit. While it is long, a failed arbiter is first detected by a slot
    /// request that is not answered in time.
    pub fn heartbeat_interval(&self) -> Duration {
        let peers = self.peers.len() as u64;
        let interval =
            Duration::from_millis(peers * HEARTBEAT_BYTES * 1_000 / HEARTBEAT_BYTES_PER_SECOND);
        interval.max(MIN_HEARTBEAT_INTERVAL)
    }

    /// Returns the time without a message after which a peer counts as silent.
    pub fn silence_timeout(&self) -> Duration {
        self.heartbeat_interval() * MISSED_HEARTBEAT_LIMIT
    }

    /// Returns the VM that arbitrates `scope` in this VM's view, or `None` if no entry VM of the
    /// scope's data centre is alive.
    pub fn arbiter_of(&self, scope: ScopeKey) -> Option<VmName> {
        let own = (!self.own_leaving).then_some((&self.own_name, &self.own_data_centre));
        let peers = self.alive().map(|peer| (&peer.name, &peer.data_centre));
        peers
            .chain(own)
            .filter(|(_, centre)| DataCentreKey::of(centre) == scope.data_centre)
            .max_by_key(|(name, _)| (rendezvous_weight(scope, name), *name))
            .map(|(name, _)| name.clone())
    }

    /// Returns the number of known entry VMs that are not leaving, including this one: the divisor
    /// of the conservative share. Silent peers count, since they may still serve requests on the
    /// other side of a network partition.
    pub fn known_count(&self) -> usize {
        let is_staying = |peer: &&PeerRecord| peer.state != PeerState::Leaving;
        self.peers.values().filter(is_staying).count() + 1
    }
}

fn rendezvous_weight(scope: ScopeKey, name: &VmName) -> u64 {
    let seed = u64::from(scope.service.0) << 32 | u64::from(scope.data_centre.0);
    xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), seed)
}
