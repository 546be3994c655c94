//! Which version began a stream, for callers that take the stream up at another VM.
//!
//! A caller whose stream broke names the attempt that brought its first event, and reaches any VM.
//! Before a VM forwards a stream's first event, it tells some peers, the stream's keepers, which
//! version has begun it; the VM at which the caller arrives asks those. Every VM finds the same
//! keepers from the stream's id and the list of VMs. Records live as long as a caller may come back.

use std::collections::{BTreeSet, HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{self, Xxh3};

use crate::{
    ids::{DataCentreName, OrganisationName, ServiceKey, VersionKey, VmName},
    units::Moment,
};

/// The most records that a VM keeps, many times what it keeps at the peak; see docs/CAPACITY.md.
pub const RECORD_LIMIT: usize = 32_768;
/// The most streams of its own that a VM stores: they fit into a row of 64 KB.
pub const OWN_LIMIT: usize = 1_200;
/// The number of peers that are told of a stream. They are in several data centres, if there are
/// several.
pub const KEEPERS: usize = 4;
/// The number of peers that are asked for a stream. Some of them may be down, or may have joined the
/// list after the stream began.
pub const ASKED_PEERS: usize = 8;

/// A hash of the id of a stream and the organisation that it belongs to. An id of another
/// organisation's stream gives another key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct StreamKey(pub u128);

impl StreamKey {
    /// Returns the key of the stream that the attempt `id` of an organisation's caller has begun.
    pub fn of(organisation: Option<&OrganisationName>, id: &[u8]) -> Self {
        let organisation = organisation.map_or("", OrganisationName::as_str);
        let mut hasher = Xxh3::new();
        // Prefixed with its length, so that text cannot move from one part to the next unnoticed.
        hasher.update(&(organisation.len() as u64).to_le_bytes());
        hasher.update(organisation.as_bytes());
        hasher.update(id);
        Self(hasher.digest128())
    }
}

/// What began a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceKey,
    /// The version of its software.
    pub version: VersionKey,
}

/// What a VM tells the keepers of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OriginRecord {
    /// The stream.
    pub key: StreamKey,
    /// What began it.
    pub origin: StreamOrigin,
    /// How long the record is kept, in milliseconds.
    pub ttl_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct KeptOrigin {
    origin: StreamOrigin,
    until: Moment,
}

/// The streams of which this VM knows what began them.
#[derive(Debug, Default)]
pub struct OriginTable {
    records: HashMap<StreamKey, KeptOrigin>,
    /// The records by the moment at which they expire.
    expiries: BTreeSet<(Moment, StreamKey)>,
}

impl OriginTable {
    /// Adds a record, or prolongs it. The first origin of a stream stays: a caller cannot bind a
    /// stream anew by using its id again. If the table is full, the record that would expire first is
    /// dropped.
    pub fn insert(&mut self, now: Moment, key: StreamKey, origin: StreamOrigin, until: Moment) {
        self.expire(now);
        let before = self.records.get(&key).copied();
        let origin = before.map_or(origin, |before| before.origin);
        let until = before.map_or(until, |before| before.until.max(until));
        if let Some(before) = before {
            self.expiries.remove(&(before.until, key));
        } else if self.records.len() >= RECORD_LIMIT
            && let Some((_, first)) = self.expiries.pop_first()
        {
            self.records.remove(&first);
        }
        self.records.insert(key, KeptOrigin { origin, until });
        self.expiries.insert((until, key));
    }

    /// Returns what began a stream.
    pub fn find(&mut self, now: Moment, key: StreamKey) -> Option<StreamOrigin> {
        self.expire(now);
        self.records.get(&key).map(|kept| kept.origin)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, now: Moment) {
        while let Some((_, key)) = self.expiries.first().filter(|(until, _)| *until <= now).copied()
        {
            self.expiries.pop_first();
            self.records.remove(&key);
        }
    }
}

/// The streams that one VM has begun and that may be taken up.
#[derive(Debug, Default)]
pub struct OwnStreams {
    /// In the order in which they began.
    records: VecDeque<(Moment, OriginRecord)>,
}

impl OwnStreams {
    /// Adds a stream that has begun. Beyond the limit, the oldest one is dropped.
    pub fn add(&mut self, now: Moment, record: OriginRecord) {
        if self.records.len() >= OWN_LIMIT {
            self.records.pop_front();
        }
        self.records.push_back((now, record));
    }

    /// Returns the streams that may still be taken up, each with the time that is left for that.
    pub fn records(&mut self, now: Moment) -> Vec<OriginRecord> {
        let left = |(began, record): &(Moment, OriginRecord)| {
            let age = u32::try_from(now.since(*began).as_millis()).unwrap_or(u32::MAX);
            let ttl_ms = record.ttl_ms.saturating_sub(age);
            (ttl_ms > 0).then_some(OriginRecord { ttl_ms, ..*record })
        };
        self.records.retain(|it| left(it).is_some());
        self.records.iter().filter_map(left).collect()
    }
}

/// Returns the VMs in the order in which they keep a stream: the first of each data centre, then the
/// others. Each VM comes to the same order, and one that joins or leaves moves no others.
pub fn keeper_order<'a>(
    key: StreamKey,
    vms: impl Iterator<Item = (&'a VmName, &'a DataCentreName)>,
) -> Vec<&'a VmName> {
    let seed = (key.0 as u64) ^ ((key.0 >> 64) as u64);
    let weight = |vm: &VmName| xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), seed);
    let mut ordered: Vec<_> = vms.map(|(vm, hall)| (weight(vm), vm, hall)).collect();
    ordered.sort_unstable();
    let mut halls = BTreeSet::new();
    let (firsts, others): (Vec<_>, Vec<_>) =
        ordered.into_iter().partition(|(_, _, hall)| halls.insert(*hall));
    firsts.into_iter().chain(others).map(|(_, vm, _)| vm).collect()
}
