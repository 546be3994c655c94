//! Which entry VMs there are, which are alive, and which of them arbitrates a scope.
//!
//! The platform's list says who exists, late; heartbeats say who is alive. The arbiter of a scope is
//! chosen by rendezvous hashing over the live entry VMs of its data centre, so that every VM with
//! the same view finds the same one without a word, and the death of one VM moves only its own
//! scopes. Two VMs with different views may find two arbiters for a moment; that costs quality only.

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

/// The shortest time between two heartbeats to one peer.
pub const HEARTBEAT_LEAST: Duration = Duration::from_millis(250);
/// What one heartbeat costs on the wire with its framing and acknowledgement; see docs/CAPACITY.md.
const HEARTBEAT_BYTES: u64 = 150;
/// The bytes a second that heartbeats may cost one VM.
const HEARTBEAT_BUDGET: u64 = 3_000;
/// A peer is silent after this many missed heartbeats.
const MISSED_LIMIT: u32 = 4;

/// Another entry VM.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its life, once heard.
    pub incarnation: Option<Incarnation>,
    /// Its state.
    pub state: PeerState,
    /// When it was last heard.
    pub heard: Moment,
    /// The revision it said is in force there.
    pub revision: Revision,
    /// The loads of the scopes it arbitrates.
    pub loads: Vec<ScopeLoad>,
    /// It did not answer an ask in time; it is passed over as an arbiter until then.
    pub distrusted_until: Moment,
}

/// What a message from a peer changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerChange {
    /// It was not alive before.
    pub appeared: bool,
    /// It has a new life: everything it held in the old one is gone.
    pub restarted: bool,
}

/// The entry VMs that this one knows.
#[derive(Debug)]
pub struct PeerTable {
    own_name: VmName,
    own_data_centre: DataCentreName,
    own_leaving: bool,
    peers: BTreeMap<VmName, PeerRecord>,
}

impl PeerTable {
    /// Creates a table that knows only its own VM and the peers of the settings.
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

    /// Returns the peers heard lately.
    pub fn alive(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values().filter(|peer| peer.state == PeerState::Alive)
    }

    /// Returns the addresses to keep connections to.
    pub fn addresses(&self) -> Vec<PeerAddress> {
        let address =
            |peer: &PeerRecord| PeerAddress { name: peer.name.clone(), address: peer.address };
        self.peers.values().map(address).collect()
    }

    /// Notes that this VM itself is leaving: it arbitrates nothing any more.
    pub fn leave(&mut self) {
        self.own_leaving = true;
    }

    /// Adds a peer by name and address; returns whether anything changed.
    pub fn list(&mut self, name: &VmName, centre: &DataCentreName, at: net::SocketAddr) -> bool {
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
            heard: Moment::default(),
            revision: Revision::default(),
            loads: Vec::new(),
            distrusted_until: Moment::default(),
        };
        self.peers.insert(name.clone(), record);
        true
    }

    /// Takes the platform's list: adds whom it names, and forgets whom it no longer names and who
    /// is not heard either. A peer that is heard stays, whatever the late list says.
    pub fn take_list(&mut self, listed: &[ListedVm]) -> bool {
        let mut changed = false;
        let mut named = Vec::new();
        for vm in listed {
            let Some(address) = vm.peer_address else {
                continue;
            };
            let name = VmName::from(vm.name.as_str());
            changed |= self.list(&name, &vm.data_centre, address);
            named.push(name);
        }
        for peer in self.peers.values_mut().filter(|peer| !named.contains(&peer.name)) {
            changed |= chart::peer().advance(&mut peer.state, PeerEvent::Delisted);
        }
        self.peers.retain(|_, peer| peer.state != PeerState::Gone);
        changed
    }

    /// Notes that a message came from a peer.
    pub fn hear(
        &mut self,
        now: Moment,
        from: &VmName,
        incarnation: Incarnation,
        centre: &DataCentreName,
        address: net::SocketAddr,
    ) -> PeerChange {
        self.list(from, centre, address);
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
        peer.heard = now;
        if restarted {
            peer.loads.clear();
        }
        PeerChange { appeared, restarted }
    }

    /// Takes what a peer's heartbeat says of it; returns whether it has just said that it leaves.
    pub fn note_heartbeat(
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

    /// Finds the peers whose silence has lasted too long, and returns their names.
    pub fn find_silent(&mut self, now: Moment) -> Vec<VmName> {
        let mut silent = Vec::new();
        let timeout = self.silence_timeout();
        for peer in self.peers.values_mut() {
            let due = now.since(peer.heard) > timeout;
            if due && peer.state == PeerState::Alive {
                chart::peer().advance(&mut peer.state, PeerEvent::Silent);
                peer.loads.clear();
                silent.push(peer.name.clone());
            } else if due && peer.state == PeerState::Leaving {
                chart::peer().advance(&mut peer.state, PeerEvent::Silent);
            }
        }
        self.peers.retain(|_, peer| peer.state != PeerState::Gone);
        silent
    }

    /// Passes a peer over as an arbiter until `until`.
    pub fn distrust(&mut self, name: &VmName, until: Moment) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.distrusted_until = until;
        }
    }

    /// Returns the time between two heartbeats: short while peers are few, and stretched with their
    /// number so that the bytes stay within the budget. A dead arbiter is then found by use: an ask
    /// that is not answered in time.
    pub fn heartbeat_interval(&self) -> Duration {
        let peers = self.peers.len() as u64;
        let stretched = Duration::from_millis(peers * HEARTBEAT_BYTES * 1_000 / HEARTBEAT_BUDGET);
        stretched.max(HEARTBEAT_LEAST)
    }

    /// Returns how long a peer may be unheard before it counts as silent.
    pub fn silence_timeout(&self) -> Duration {
        self.heartbeat_interval() * MISSED_LIMIT
    }

    /// Returns who arbitrates `scope` as this VM sees it, or nothing when no entry VM of its data
    /// centre is alive.
    pub fn arbiter_of(&self, scope: ScopeKey) -> Option<VmName> {
        let own = (!self.own_leaving).then_some((&self.own_name, &self.own_data_centre));
        let peers = self.alive().map(|peer| (&peer.name, &peer.data_centre));
        peers
            .chain(own)
            .filter(|(_, centre)| DataCentreKey::of(centre) == scope.data_centre)
            .max_by_key(|(name, _)| (rendezvous_weight(scope, name), *name))
            .map(|(name, _)| name.clone())
    }

    /// Returns how many entry VMs are known, this one included: the divisor of the conservative
    /// share. Silent ones count, since they may be serving on the other side of a cut.
    pub fn known_count(&self) -> usize {
        let leaving = |peer: &&PeerRecord| peer.state != PeerState::Leaving;
        self.peers.values().filter(leaving).count() + 1
    }
}

fn rendezvous_weight(scope: ScopeKey, name: &VmName) -> u64 {
    let seed = u64::from(scope.service.0) << 32 | u64::from(scope.data_centre.0);
    xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), seed)
}
