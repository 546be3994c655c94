//! By which way a digest reaches those whom it concerns.
//!
//! Told directly, the VMs of a large fleet spend themselves on telling each other: what each sends and takes
//! grows with their number, and between data centres its bytes are paid for. So a digest goes to one VM of each
//! group that it concerns, a large cell or another data centre, and that one passes it on to the rest of the
//! group, in one message with all that came to it within some milliseconds.
//!
//! Nobody is elected for that. Those that pass on are the first [`RELAY_COUNT`] of a group by a hash, of those
//! that the sender hears; it draws one of them, anew for each digest. One that has died or is frozen so costs a
//! part of the digests until it is not heard any more, and the next digests make good for it. A group none of
//! whose VMs can pass on or is heard is told directly: after a start of all of them, or at the end of a cut, that
//! is how they find each other.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use xxhash_rust::xxh3;

use crate::{
    cell_plan::WHOLE_LIMIT,
    ids::{DataCentreName, VmName},
    units::LinkRate,
};

/// VMs of a group that pass digests on. With one, its death would leave the group without news until it is not
/// heard any more; with each one more, the others take as many messages again.
pub const RELAY_COUNT: usize = 3;
/// Up to this many mates are told directly: a message each costs less than the time that passing on takes.
pub const DIRECT_LIMIT: usize = WHOLE_LIMIT;
/// Only VMs with a link of this speed pass on: for forty VMs in a burst the digests are some 67 Mbit/s by their sizes, 22
/// for each of three. Passed on over links of 20 Mbit/s, the first seconds of a heavy day had 0.20 of all worth; over
/// links of 200 Mbit/s 0.34, as when told directly, with 0.018 of a core a VM instead of 0.026.
pub const RELAY_LINK: LinkRate = LinkRate(100);
/// Other data centres of fewer VMs than this are told directly: passing on would spare nothing.
const LEAST_PASSED_ON: usize = 2;

/// Another VM, as far as the way of digests goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DigestPeer {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The speed of its link.
    pub link: LinkRate,
}

/// Who gets one digest from its sender.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DigestRecipients {
    /// VMs that take it for themselves.
    pub direct: Vec<VmName>,
    /// VMs that pass it on to the others of their group besides, one for each group.
    pub relays: Vec<VmName>,
}

impl DigestRecipients {
    /// Returns whether nobody gets it.
    pub fn is_empty(&self) -> bool {
        self.direct.is_empty() && self.relays.is_empty()
    }
}

/// Draws the way of each digest.
///
/// # Example
///
/// ```
/// use ryetide_core::{digest_route::{DigestPeer, DigestRoute}, units::LinkRate};
///
/// let peer = |name: &str, centre: &str| DigestPeer {
///     name: name.into(),
///     data_centre: centre.into(),
///     link: LinkRate(1_000),
/// };
/// let others = [peer("a2", "hall-a"), peer("b1", "hall-b"), peer("b2", "hall-b")];
/// let mut route = DigestRoute::new(1);
/// let recipients = route.draw_others(&"hall-a".into(), &others, |_| true);
/// assert_eq!(recipients.direct, ["a2".into()]);
/// assert_eq!(recipients.relays.len(), 1);
/// ```
#[derive(Debug)]
pub struct DigestRoute {
    rng: SmallRng,
}

impl DigestRoute {
    /// Creates a source of ways; the same seed gives the same ones.
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }

    /// Draws who of a VM's `mates` gets a digest.
    pub fn draw_mates(
        &mut self,
        mates: &[DigestPeer],
        is_heard: impl Fn(&VmName) -> bool,
    ) -> DigestRecipients {
        let all: Vec<&DigestPeer> = mates.iter().collect();
        let relay = if mates.len() > DIRECT_LIMIT { self.draw_relay(&all, is_heard) } else { None };
        match relay {
            Some(relay) => DigestRecipients { direct: Vec::new(), relays: vec![relay] },
            None => DigestRecipients { direct: names(all).collect(), relays: Vec::new() },
        }
    }

    /// Draws who of the `others`, those that are no mates, gets a digest from a VM of data centre `own`.
    pub fn draw_others(
        &mut self,
        own: &DataCentreName,
        others: &[DigestPeer],
        is_heard: impl Fn(&VmName) -> bool,
    ) -> DigestRecipients {
        let mut centres: BTreeMap<&DataCentreName, Vec<&DigestPeer>> = BTreeMap::new();
        for peer in others {
            centres.entry(&peer.data_centre).or_default().push(peer);
        }
        let mut recipients = DigestRecipients::default();
        for (centre, vms) in centres {
            let is_near = centre == own || vms.len() < LEAST_PASSED_ON;
            let relay = if is_near { None } else { self.draw_relay(&vms, &is_heard) };
            match relay {
                Some(relay) => recipients.relays.push(relay),
                None => recipients.direct.extend(names(vms)),
            }
        }
        recipients
    }

    /// Draws one of those that pass on in a group; nothing when none of them is heard.
    fn draw_relay(
        &mut self,
        group: &[&DigestPeer],
        is_heard: impl Fn(&VmName) -> bool,
    ) -> Option<VmName> {
        let able = group.iter().filter(|peer| peer.link >= RELAY_LINK).map(|peer| &peer.name);
        let mut heard: Vec<&VmName> = able.filter(|vm| is_heard(vm)).collect();
        heard.sort_by_key(|vm| xxh3::xxh3_64(vm.as_str().as_bytes()));
        heard.truncate(RELAY_COUNT);
        if heard.is_empty() {
            return None;
        }
        let drawn = self.rng.random_range(0..heard.len());
        Some(heard[drawn].clone())
    }
}

fn names(peers: Vec<&DigestPeer>) -> impl Iterator<Item = VmName> {
    peers.into_iter().map(|peer| peer.name.clone())
}
