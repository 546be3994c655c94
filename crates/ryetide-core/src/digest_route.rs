//! Routes digests to their recipients, directly or through relays.
//!
//! If every VM of a large fleet sent its digests directly to every other one, the VMs would spend
//! their processor time on that: the number of messages that each VM sends and receives grows with
//! the size of the fleet, and traffic between data centres is billed by the byte. A digest
//! therefore goes to one relay in each group of recipients, which is a large cell or another data
//! centre. The relay forwards it to the rest of the group, in one message with all digests that it
//! has received within some milliseconds.
//!
//! Relays are not elected. The candidates are the first [`RELAY_COUNT`] reachable VMs of a group in
//! the order of a hash, and the sender picks one of them at random for each digest. A dead or
//! frozen relay thus loses a part of the digests until the sender takes it for unreachable, and
//! later digests make up for the loss. Digests go directly to all members of a group in which no
//! candidate is reachable. That is how VMs find each other after all of them have started at once,
//! or after a network partition.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use xxhash_rust::xxh3;

use crate::{
    cell_plan::SINGLE_CELL_LIMIT,
    ids::{DataCentreName, VmName},
    units::LinkRate,
};

/// The number of relays in a group. With a single one, its death would cut the group off from
/// digests until it counts as unreachable; each additional one adds as many messages again for the
/// other VMs.
pub const RELAY_COUNT: usize = 3;
/// The largest number of peers in a cell that receive digests directly: one message to each costs
/// less than the delay of a relay.
pub const DIRECT_LIMIT: usize = SINGLE_CELL_LIMIT;
/// The slowest link of a relay. The digests of forty VMs in a burst take some 67 Mbit/s, 22 for
/// each of three relays, which a link of 20 Mbit/s cannot carry.
pub const RELAY_LINK: LinkRate = LinkRate(100);
/// Data centres with fewer VMs than this receive digests directly, because a relay would save no
/// message.
const MIN_RELAYED_GROUP: usize = 2;

/// Another VM, as a recipient or relay of digests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DigestPeer {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The speed of its link.
    pub link: LinkRate,
}

/// The recipients of one digest.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DigestRecipients {
    /// VMs to which the digest is sent for themselves only.
    pub direct: Vec<VmName>,
    /// Relays, one for each group; they also forward the digest to the rest of their group.
    pub relays: Vec<VmName>,
}

impl DigestRecipients {
    /// Returns whether there are no recipients.
    pub fn is_empty(&self) -> bool {
        self.direct.is_empty() && self.relays.is_empty()
    }
}

/// Chooses the recipients of each digest.
///
/// # Example
///
/// ```
/// use ryetide_core::{digest_route::{DigestPeer, DigestRouter}, units::LinkRate};
///
/// let peer = |name: &str, centre: &str| DigestPeer {
///     name: name.into(),
///     data_centre: centre.into(),
///     link: LinkRate(1_000),
/// };
/// let others = [peer("a2", "hall-a"), peer("b1", "hall-b"), peer("b2", "hall-b")];
/// let mut route = DigestRouter::new(1);
/// let recipients = route.choose_outside(&"hall-a".into(), &others, |_| true);
/// assert_eq!(recipients.direct, ["a2".into()]);
/// assert_eq!(recipients.relays.len(), 1);
/// ```
#[derive(Debug)]
pub struct DigestRouter {
    rng: SmallRng,
}

impl DigestRouter {
    /// Creates a router; the same seed gives the same choices.
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }

    /// Chooses the recipients among the peers in the VM's cell.
    pub fn choose_in_cell(
        &mut self,
        peers: &[DigestPeer],
        is_reachable: impl Fn(&VmName) -> bool,
    ) -> DigestRecipients {
        let all: Vec<&DigestPeer> = peers.iter().collect();
        let relay =
            if peers.len() > DIRECT_LIMIT { self.pick_relay(&all, is_reachable) } else { None };
        match relay {
            Some(relay) => DigestRecipients { direct: Vec::new(), relays: vec![relay] },
            None => DigestRecipients { direct: names(all).collect(), relays: Vec::new() },
        }
    }

    /// Chooses the recipients among the VMs outside the cell, for a sender in data centre `own`.
    pub fn choose_outside(
        &mut self,
        own: &DataCentreName,
        others: &[DigestPeer],
        is_reachable: impl Fn(&VmName) -> bool,
    ) -> DigestRecipients {
        let mut centres: BTreeMap<&DataCentreName, Vec<&DigestPeer>> = BTreeMap::new();
        for peer in others {
            centres.entry(&peer.data_centre).or_default().push(peer);
        }
        let mut recipients = DigestRecipients::default();
        for (centre, vms) in centres {
            let is_direct = centre == own || vms.len() < MIN_RELAYED_GROUP;
            let relay = if is_direct { None } else { self.pick_relay(&vms, &is_reachable) };
            match relay {
                Some(relay) => recipients.relays.push(relay),
                None => recipients.direct.extend(names(vms)),
            }
        }
        recipients
    }

    /// Picks one of a group's relays at random; none when no candidate is reachable.
    fn pick_relay(
        &mut self,
        group: &[&DigestPeer],
        is_reachable: impl Fn(&VmName) -> bool,
    ) -> Option<VmName> {
        let fast = group.iter().filter(|peer| peer.link >= RELAY_LINK).map(|peer| &peer.name);
        let mut reachable: Vec<&VmName> = fast.filter(|vm| is_reachable(vm)).collect();
        reachable.sort_by_key(|vm| xxh3::xxh3_64(vm.as_str().as_bytes()));
        reachable.truncate(RELAY_COUNT);
        if reachable.is_empty() {
            return None;
        }
        let picked = self.rng.random_range(0..reachable.len());
        Some(reachable[picked].clone())
    }
}

fn names(peers: Vec<&DigestPeer>) -> impl Iterator<Item = VmName> {
    peers.into_iter().map(|peer| peer.name.clone())
}
