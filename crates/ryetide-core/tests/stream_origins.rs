//! Which version began a stream: what VMs remember, and what they conclude from each other's replies.

use std::{collections::BTreeSet, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use ryetide_core::{
    ids::{DataCentreName, ServiceKey, VersionKey, VmName},
    origin_inquiry::{OriginInquiry, OriginReply, OriginVerdict},
    stream_origin::{self, OriginTable, RECORD_LIMIT, StreamKey, StreamOrigin},
    target_load::TargetEntry,
    units::Moment,
    version_history::{VersionHistory, VersionsSeen},
};

const SERVICE: ServiceKey = ServiceKey(1);
const WINDOW: Duration = Duration::from_secs(18);
const SEEDS: u64 = 50;
const VMS: usize = 9;
const STREAMS: u32 = 400;
/// The part of the datagrams that are lost.
const LOSS: f64 = 0.02;

fn at(seconds: u64) -> Moment {
    Moment::from_millis(1_000 * seconds)
}

fn origin(version: u32) -> StreamOrigin {
    StreamOrigin { service: SERVICE, version: VersionKey(version) }
}

fn key(id: u32) -> StreamKey {
    StreamKey::of(Some(&"asha".into()), &id.to_le_bytes())
}

fn target(name: &str, version: &str) -> TargetEntry {
    TargetEntry {
        name: name.into(),
        incarnation: Default::default(),
        version: version.into(),
        service: "drafting".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "hall-a".into(),
        slots: 1,
        leaving: false,
        warmup: Duration::ZERO,
    }
}

/// Guards against reading or binding a stream of another organisation by its id.
#[test]
fn an_id_names_a_stream_of_its_own_organisation_only() {
    let keys = [("asha", "q1"), ("bina", "q1"), ("ash", "aq1")];
    let keys = keys.map(|(of, id)| StreamKey::of(Some(&of.into()), id.as_bytes()));
    assert_eq!(BTreeSet::from(keys).len(), 3);
    assert!(!keys.contains(&StreamKey::of(None, b"q1")));
}

/// Guards against a caller that binds a stream to another version by using its id again.
#[test]
fn the_first_origin_of_a_stream_stays() {
    let mut table = OriginTable::default();
    table.insert(at(0), key(1), origin(1), at(10));
    table.insert(at(5), key(1), origin(2), at(20));
    assert_eq!(table.find(at(19), key(1)), Some(origin(1)));
    assert_eq!(table.find(at(20), key(1)), None);
    assert!(table.is_empty());
}

/// Guards against records without bound in a burst of streams.
#[test]
fn a_full_table_drops_what_would_expire_first() {
    let mut table = OriginTable::default();
    for id in 0..2 * RECORD_LIMIT as u32 {
        table.insert(at(0), key(id), origin(1), Moment(10_000_000 + u64::from(id)));
    }
    assert_eq!(table.len(), RECORD_LIMIT);
    assert_eq!(table.find(at(0), key(RECORD_LIMIT as u32 - 1)), None);
    assert_eq!(table.find(at(0), key(RECORD_LIMIT as u32)), Some(origin(1)));
}

#[test]
fn keepers_are_in_all_data_centres_and_stay_when_others_leave() {
    let halls = ["a", "a", "a", "b", "b", "c"].map(DataCentreName::from);
    let names: Vec<VmName> = (0..halls.len()).map(|it| format!("e{it}").as_str().into()).collect();
    for id in 0..100 {
        let all = stream_origin::keeper_order(key(id), names.iter().zip(&halls));
        let hall_of =
            |vm: &&VmName| &halls[names.iter().position(|it| it == *vm).expect("a known VM")];
        assert_eq!(all.iter().take(3).map(hall_of).collect::<BTreeSet<_>>().len(), 3);
        let without = names.iter().zip(&halls).filter(|(vm, _)| *vm != all[0]);
        let rest = stream_origin::keeper_order(key(id), without);
        assert!(rest.iter().take(4).filter(|vm| all[..4].contains(vm)).count() >= 3);
    }
}

#[test]
fn a_version_that_has_gone_counts_for_as_long_as_its_streams_last() {
    let service = ServiceKey::of(&"drafting".into());
    let (old, new) = (vec![target("a", "v1")], vec![target("b", "v2")]);
    let (v1, v2) = (VersionKey::of(&"v1".into()), VersionKey::of(&"v2".into()));
    let mut history = VersionHistory::default();
    history.record(at(1), &[], &old);
    assert_eq!(history.seen(at(2), service, WINDOW, &old), VersionsSeen::OnlyYet(v1));
    assert_eq!(history.seen(at(30), service, WINDOW, &old), VersionsSeen::Only(v1));
    history.record(at(40), &old, &new);
    assert_eq!(history.seen(at(57), service, WINDOW, &new), VersionsSeen::Several);
    assert_eq!(history.seen(at(58), service, WINDOW, &new), VersionsSeen::Only(v2));
    assert_eq!(history.seen(at(58), ServiceKey(9), WINDOW, &new), VersionsSeen::Nothing);
}

fn conclude(own: VersionsSeen, replies: &[Option<OriginReply>]) -> OriginVerdict {
    let names: Vec<VmName> =
        (0..replies.len()).map(|it| format!("e{it}").as_str().into()).collect();
    let mut inquiry = OriginInquiry::new(SERVICE, own, names.iter().cloned());
    for (name, reply) in names.iter().zip(replies) {
        reply.iter().for_each(|reply| inquiry.record(name, *reply));
    }
    inquiry.verdict()
}

/// Guards against a stream that goes on at a version which did not begin it, or at none without need.
#[test]
fn a_stream_goes_on_where_it_began_or_where_alone_it_can_have_begun() {
    let only = |version| VersionsSeen::Only(VersionKey(version));
    let only_yet = |version| VersionsSeen::OnlyYet(VersionKey(version));
    let unknown = |seen| Some(OriginReply::Unknown(seen));
    let known = Some(OriginReply::Known(origin(2)));
    let one = OriginVerdict::At(origin(1));
    let two = OriginVerdict::At(origin(2));
    let nowhere = OriginVerdict::Nowhere;
    for (own, replies, verdict) in [
        (only(1), vec![], one),
        (VersionsSeen::Several, vec![], nowhere),
        (only(1), vec![None, None], nowhere),
        (only(1), vec![unknown(only(1)), None], one),
        (only(1), vec![unknown(only(2))], nowhere),
        (only_yet(1), vec![unknown(VersionsSeen::Several)], nowhere),
        (only_yet(1), vec![unknown(only(1))], one),
        (only_yet(1), vec![], nowhere),
        (only_yet(1), vec![unknown(only_yet(1)), unknown(VersionsSeen::Nothing)], nowhere),
        (only_yet(1), vec![unknown(only_yet(1)), unknown(only(1))], one),
        (only(1), vec![known, unknown(only(1))], two),
        (VersionsSeen::Several, vec![None, known], two),
    ] {
        assert_eq!(conclude(own, &replies), verdict, "{own:?} {replies:?}");
    }
}

/// A fleet that loses datagrams, and VMs with what they remember.
struct Fleet {
    rng: SmallRng,
    names: Vec<VmName>,
    halls: Vec<DataCentreName>,
    tables: Vec<OriginTable>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            names: (0..VMS).map(|it| format!("e{it}").as_str().into()).collect(),
            halls: (0..VMS).map(|it| format!("hall-{}", it % 3).as_str().into()).collect(),
            tables: (0..VMS).map(|_| OriginTable::default()).collect(),
        }
    }

    /// Returns the first `most` peers of a VM that keep a stream.
    fn peers(&self, vm: usize, key: StreamKey, most: usize) -> Vec<usize> {
        let others =
            self.names.iter().zip(&self.halls).filter(|(name, _)| **name != self.names[vm]);
        let order = stream_origin::keeper_order(key, others).into_iter().take(most);
        order.map(|name| self.names.iter().position(|it| it == name).expect("a known VM")).collect()
    }

    fn arrives(&mut self) -> bool {
        !self.rng.random_bool(LOSS)
    }

    fn begin(&mut self, vm: usize, key: StreamKey, origin: StreamOrigin) {
        self.tables[vm].insert(at(0), key, origin, at(18));
        for keeper in self.peers(vm, key, stream_origin::KEEPERS) {
            if self.arrives() {
                self.tables[keeper].insert(at(0), key, origin, at(18));
            }
        }
    }

    fn take_up(&mut self, vm: usize, key: StreamKey) -> OriginVerdict {
        if let Some(origin) = self.tables[vm].find(at(1), key) {
            return OriginVerdict::At(origin);
        }
        let asked = self.peers(vm, key, stream_origin::ASKED_PEERS);
        let names = asked.iter().map(|it| self.names[*it].clone());
        let mut inquiry = OriginInquiry::new(SERVICE, VersionsSeen::Several, names);
        for peer in asked {
            if self.arrives() && self.arrives() {
                let known = self.tables[peer].find(at(1), key);
                let unknown = OriginReply::Unknown(VersionsSeen::Several);
                let reply = known.map_or(unknown, OriginReply::Known);
                inquiry.record(&self.names[peer], reply);
            }
        }
        inquiry.verdict()
    }
}

/// Guards against streams that no VM knows any more after a third of the VMs were killed at once, and
/// against any that go on elsewhere than where they began.
#[test]
fn streams_go_on_at_their_versions_after_a_third_of_the_vms_was_killed() {
    let (mut gone_on, mut taken_up) = (0, 0);
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        let began: Vec<usize> = (0..STREAMS).map(|_| fleet.rng.random_range(0..VMS)).collect();
        for (id, vm) in began.iter().enumerate() {
            fleet.begin(*vm, key(id as u32), origin(1 + id as u32 % 3));
        }
        let killed = (0..VMS).choose_multiple(&mut fleet.rng, VMS / 3);
        killed.iter().for_each(|vm| fleet.tables[*vm] = OriginTable::default());
        for (id, _) in began.iter().enumerate().filter(|(_, vm)| killed.contains(vm)) {
            let vm = fleet.rng.random_range(0..VMS);
            taken_up += 1;
            match fleet.take_up(vm, key(id as u32)) {
                OriginVerdict::At(found) => {
                    assert_eq!(found, origin(1 + id as u32 % 3), "seed {seed}, stream {id}");
                    gone_on += 1;
                }
                OriginVerdict::Nowhere => {}
            }
        }
    }
    println!("{gone_on} of {taken_up} streams went on");
    assert!(gone_on * 2 >= taken_up, "{gone_on} of {taken_up}");
}

/// Guards against VMs that were all restarted and take the one version left for the only one there was.
#[test]
fn stored_versions_count_after_a_restart() {
    let service = ServiceKey::of(&"drafting".into());
    let (old, new) = (vec![target("a", "v1")], vec![target("b", "v2")]);
    let mut before = VersionHistory::default();
    before.record(at(1), &[], &old);
    before.record(at(40), &old, &new);
    let stored = before.listing(at(41), WINDOW, &new);
    assert_eq!(stored.len(), 1);
    assert_eq!(before.listing(at(60), WINDOW, &new)[0].versions.len(), 1);

    let mut after = VersionHistory::default();
    after.restore(at(2), &stored[0], WINDOW);
    after.record(at(3), &[], &new);
    assert_eq!(after.seen(at(19), service, WINDOW, &new), VersionsSeen::Several);
    let v2 = VersionKey::of(&"v2".into());
    assert_eq!(after.seen(at(30), service, WINDOW, &new), VersionsSeen::Only(v2));
    after.restore(at(30), &stored[0], WINDOW);
    assert_eq!(after.seen(at(30), service, WINDOW, &new), VersionsSeen::Only(v2));
}
