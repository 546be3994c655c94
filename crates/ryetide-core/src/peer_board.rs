//! What the other entry VMs said last, and which of them are heard.

use std::{cmp::Ordering, collections::BTreeMap, time::Duration};

use crate::{
    cell_plan::CellMember,
    ids::{DataCentreName, Incarnation, ServiceKey, VmName},
    load_digest::{FleetNews, LoadDigest, WaitMark},
    place_turn::{ClaimClass, PlaceClaimant},
    units::{Moment, Revision},
    watch_duty::WATCH_SPAN,
};

/// A peer that said nothing for this long is not heard: two of the slowest digests, and some.
pub const HEARD_SPAN: Duration = Duration::from_millis(2_500);
/// A peer that was not heard for this long no longer counts as serving its part.
const KNOWN_SPAN: Duration = Duration::from_secs(20);

/// A peer that was not heard for this long is no member of a cell: its callers have gone to others.
const MEMBER_SPAN: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct PeerNote {
    incarnation: Incarnation,
    sequence: u64,
    placed: u32,
    heard: Moment,
    leaving: bool,
    data_centre: Option<DataCentreName>,
    revision: Revision,
    registry: u64,
    /// Whether it watches the source of routes and targets.
    watches: bool,
    waiting: Vec<WaitMark>,
}

/// What taking a digest changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DigestChange {
    /// It is older than what was heard already.
    Stale,
    /// It follows what was heard; placements after this number are new.
    Newer {
        /// The number of the last placement already taken.
        placed: u32,
        /// For how long the peer had not been heard.
        unheard: Duration,
    },
    /// The peer was not known in this life.
    NewLife,
}

/// In what this VM is behind a peer that is heard.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FeedLag {
    /// A peer has a newer version of the routes.
    pub routes: bool,
    /// A peer has newer news of targets.
    pub targets: bool,
}

/// Requests that wait at peers, as seen from one that waits here.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AheadCount {
    /// Those that are more urgent.
    pub better: u32,
    /// Those that are as urgent.
    pub equal: u32,
}

/// How many VMs there are believed to be before the list of them was read: the most of one cell.
const UNLISTED_COUNT: usize = 12;

/// A peer of which only the list tells.
#[derive(Clone, Debug)]
struct UnheardPeer {
    since: Moment,
    data_centre: DataCentreName,
}

/// The peers of this VM.
#[derive(Debug, Default)]
pub struct PeerBoard {
    notes: BTreeMap<VmName, PeerNote>,
    /// Peers that are listed and have not been heard yet, with the time at which they were listed
    /// first. None before the list was read.
    unheard: Option<BTreeMap<VmName, UnheardPeer>>,
}

impl PeerBoard {
    /// Takes a digest's account of the peer itself.
    pub fn take(&mut self, now: Moment, from: &VmName, digest: &LoadDigest) -> DigestChange {
        let known = self.notes.get(from).filter(|note| note.incarnation == digest.incarnation);
        let change = match known {
            Some(note) if note.sequence >= digest.sequence => return DigestChange::Stale,
            Some(note) => {
                DigestChange::Newer { placed: note.placed, unheard: now.since(note.heard) }
            }
            None => DigestChange::NewLife,
        };
        let placed = match change {
            DigestChange::Newer { placed, .. } => placed,
            DigestChange::Stale | DigestChange::NewLife => 0,
        };
        // Digests of changes do not say it again; of a peer that is heard first by one, the list tells.
        let listed = self.unheard.as_ref().and_then(|unheard| unheard.get(from));
        let listed_centre = listed.map(|peer| peer.data_centre.clone());
        let known_centre = known.and_then(|note| note.data_centre.clone()).or(listed_centre);
        let note = PeerNote {
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            placed: digest.placed.last().map_or(placed, |placed| placed.number),
            heard: now,
            leaving: digest.leaving,
            data_centre: digest.data_centre.clone().or(known_centre),
            revision: digest.revision,
            registry: digest.registry,
            watches: digest.watch.is_some() && !digest.leaving,
            waiting: digest.waiting.clone(),
        };
        self.notes.insert(from.clone(), note);
        if let Some(unheard) = &mut self.unheard {
            unheard.remove(from);
        }
        change
    }

    /// Takes the list of peers. Those that are listed count before they are heard: after all VMs were
    /// killed at once, each that counted only whom it hears would take itself for the only one, and
    /// let all callers of an organisation use its whole quota.
    pub fn list(&mut self, now: Moment, listed: &[CellMember]) {
        let before = self.unheard.take().unwrap_or_default();
        let unheard = listed.iter().filter(|member| !self.notes.contains_key(&member.name));
        let peer = |member: &CellMember| {
            let since = before.get(&member.name).map_or(now, |peer| peer.since);
            let data_centre = member.data_centre.clone();
            (member.name.clone(), UnheardPeer { since, data_centre })
        };
        self.unheard = Some(unheard.map(peer).collect());
    }

    /// Returns how many entry VMs count as serving, this one included.
    pub fn known_count(&self, now: Moment) -> usize {
        let serving = self.notes.values().filter(|it| !it.leaving);
        let known = serving.filter(|note| now.since(note.heard) < KNOWN_SPAN).count() + 1;
        let Some(unheard) = &self.unheard else { return known.max(UNLISTED_COUNT) };
        known + unheard.values().filter(|peer| now.since(peer.since) < KNOWN_SPAN).count()
    }

    /// Returns the peers that count as serving; nothing before the list of them was read.
    pub fn known(&self, now: Moment) -> Option<Vec<&VmName>> {
        let unheard = self.unheard.as_ref()?;
        let listed = unheard.iter().filter(|(_, peer)| now.since(peer.since) < KNOWN_SPAN);
        let serving = self.notes.iter().filter(|(_, note)| !note.leaving);
        let heard = serving.filter(|(_, note)| now.since(note.heard) < KNOWN_SPAN);
        Some(heard.map(|(name, _)| name).chain(listed.map(|(name, _)| name)).collect())
    }

    /// Returns the peers that count as serving, as far as cells go: those heard lately, and those just
    /// listed. After all VMs were killed at once nobody is heard, and VMs that told everything to all
    /// of 69 others would have no processor time left to hear any.
    pub fn members(&self, now: Moment) -> Vec<CellMember> {
        let serving = self.notes.iter().filter(|(_, note)| !note.leaving);
        let lately = serving.filter(|(_, note)| now.since(note.heard) < MEMBER_SPAN);
        let member = |(name, note): (&VmName, &PeerNote)| {
            Some(CellMember { name: name.clone(), data_centre: note.data_centre.clone()? })
        };
        let unheard = self.unheard.iter().flatten();
        let listed = unheard.filter(|(_, peer)| now.since(peer.since) < MEMBER_SPAN);
        let unheard_member = |(name, peer): (&VmName, &UnheardPeer)| CellMember {
            name: name.clone(),
            data_centre: peer.data_centre.clone(),
        };
        lately.filter_map(member).chain(listed.map(unheard_member)).collect()
    }

    /// Returns whether a peer was heard lately and is not shutting down, so that it may be asked to pass something on.
    pub fn passes_on(&self, now: Moment, peer: &VmName) -> bool {
        let is_able = |note: &PeerNote| !note.leaving && now.since(note.heard) < HEARD_SPAN;
        self.notes.get(peer).is_some_and(is_able)
    }

    /// Returns the part of the serving entry VMs that is heard, this one included.
    pub fn heard_part(&self, now: Moment) -> f64 {
        let heard = self.heard(now).filter(|note| !note.leaving).count() + 1;
        heard as f64 / self.known_count(now) as f64
    }

    /// Returns in what peers that are heard have news which this VM, that has `news`, has not.
    pub fn feed_lag(&self, now: Moment, news: FleetNews) -> FeedLag {
        FeedLag {
            routes: self.heard(now).any(|note| note.revision > news.revision),
            targets: self.heard(now).any(|note| note.registry > news.registry_reached),
        }
    }

    /// Returns the peers that watch the source of routes and targets, as their last digests say.
    pub fn watching(&self, now: Moment) -> impl Iterator<Item = &VmName> {
        let heard = self.notes.iter().filter(move |(_, note)| now.since(note.heard) < WATCH_SPAN);
        heard.filter(|(_, note)| note.watches).map(|(vm, _)| vm)
    }

    /// Returns the requests at peers that are of a better class than `class`, and those of the same.
    pub fn ahead(&self, now: Moment, service: ServiceKey, class: ClaimClass) -> AheadCount {
        let marks = self.heard(now).flat_map(|note| note.waiting.iter());
        let mut ahead = AheadCount::default();
        for mark in marks.filter(|mark| mark.service == service) {
            match mark.class.cmp(&class) {
                Ordering::Less => ahead.better += u32::from(mark.count),
                Ordering::Equal => ahead.equal += u32::from(mark.count),
                Ordering::Greater => {}
            }
        }
        ahead
    }

    /// Returns the peers that have requests waiting for a service, each with the class of its best.
    pub fn claimants(&self, now: Moment, service: ServiceKey) -> Vec<PlaceClaimant<'_>> {
        let heard = self.notes.iter().filter(|(_, note)| now.since(note.heard) < HEARD_SPAN);
        let claimants = heard.filter_map(|(vm, note)| {
            let marks = note.waiting.iter().filter(|mark| mark.service == service);
            Some(PlaceClaimant { vm, class: marks.map(|mark| mark.class).min()? })
        });
        claimants.collect()
    }

    /// Returns the requests that wait at peers for a service.
    pub fn waiting(&self, now: Moment, service: ServiceKey) -> u32 {
        let marks = self.heard(now).flat_map(|note| note.waiting.iter());
        marks.filter(|mark| mark.service == service).map(|mark| u32::from(mark.count)).sum()
    }

    fn heard(&self, now: Moment) -> impl Iterator<Item = &PeerNote> {
        self.notes.values().filter(move |note| now.since(note.heard) < HEARD_SPAN)
    }
}
