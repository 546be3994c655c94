//! What the other entry VMs said last, and which of them are heard.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{Incarnation, ServiceKey, VmName},
    load_digest::{LoadDigest, WaitMark},
    units::{Moment, Revision, TierRank},
};

/// A peer that said nothing for this long is not heard: three of the slowest digests.
const HEARD_SPAN: Duration = Duration::from_millis(1_500);
/// A peer that was not heard for this long no longer counts as serving its part.
const KNOWN_SPAN: Duration = Duration::from_secs(20);

#[derive(Debug)]
struct PeerNote {
    incarnation: Incarnation,
    sequence: u64,
    placed: u32,
    heard: Moment,
    leaving: bool,
    revision: Revision,
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
    },
    /// The peer was not known in this life.
    NewLife,
}

/// The peers of this VM.
#[derive(Debug, Default)]
pub struct PeerBoard {
    notes: BTreeMap<VmName, PeerNote>,
}

impl PeerBoard {
    /// Takes a digest's account of the peer itself.
    pub fn take(&mut self, now: Moment, from: &VmName, digest: &LoadDigest) -> DigestChange {
        let known = self.notes.get(from).filter(|note| note.incarnation == digest.incarnation);
        let change = match known {
            Some(note) if note.sequence >= digest.sequence => return DigestChange::Stale,
            Some(note) => DigestChange::Newer { placed: note.placed },
            None => DigestChange::NewLife,
        };
        let note = PeerNote {
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            placed: digest.placed.last().map_or(0, |placed| placed.number),
            heard: now,
            leaving: digest.leaving,
            revision: digest.revision,
            waiting: digest.waiting.clone(),
        };
        self.notes.insert(from.clone(), note);
        change
    }

    /// Returns how many entry VMs count as serving, this one included.
    pub fn known_count(&self, now: Moment) -> usize {
        let known = self.notes.values().filter(|it| !it.leaving);
        known.filter(|note| now.since(note.heard) < KNOWN_SPAN).count() + 1
    }

    /// Returns the part of the serving entry VMs that is heard, this one included.
    pub fn heard_part(&self, now: Moment) -> f64 {
        let heard = self.heard(now).filter(|note| !note.leaving).count() + 1;
        heard as f64 / self.known_count(now) as f64
    }

    /// Returns the highest version of the routes that a peer has in force.
    pub fn highest_revision(&self) -> Option<Revision> {
        self.notes.values().map(|note| note.revision).max()
    }

    /// Returns the requests at peers that go before one here of this rank which has waited `waited`.
    pub fn ahead(
        &self,
        now: Moment,
        service: ServiceKey,
        late: bool,
        tier: TierRank,
        waited: Duration,
    ) -> u32 {
        let marks = self.heard(now).flat_map(|note| note.waiting.iter().map(|it| (note.heard, it)));
        let of_service = marks.filter(|(_, mark)| mark.service == service);
        let goes_before = |(heard, mark): &(Moment, &WaitMark)| {
            let oldest = Duration::from_millis(u64::from(mark.oldest_ms)) + now.since(*heard);
            let rank = (!mark.on_time, mark.tier);
            rank < (late, tier) || (rank == (late, tier) && oldest > waited)
        };
        of_service.filter(goes_before).map(|(_, mark)| u32::from(mark.count)).sum()
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
