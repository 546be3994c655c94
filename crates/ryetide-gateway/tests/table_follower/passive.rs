//! A passive VM, which applies the changes that watching peers relay.

use std::{cell::Cell, rc::Rc, time::Duration};

use ryetide_core::watcher_selection::{FeedPosition, WatchReport};
use ryetide_gateway::{
    feed_relay::{FeedRelay, RelayedChange},
    ports::{FeedChannels, FleetUpdate},
    refresh_signal::RefreshSignal,
    store_table::{FleetTable, TableRow},
    table_follower::{TableFollower, TablePace},
};
use tokio::{
    sync::{mpsc, watch},
    task::{JoinHandle, LocalSet},
    time,
};

use crate::support::{self, Answer, Call, CountingReader, PACE, Script, failed, row};

/// A VM whose follower runs concurrently with the test.
struct Vm {
    script: Rc<Script>,
    relay: Rc<FeedRelay>,
    changes: mpsc::Receiver<RelayedChange>,
    updates: mpsc::Receiver<FleetUpdate>,
    refresh: Rc<RefreshSignal>,
    _follower: JoinHandle<()>,
}

impl Vm {
    fn start(must_watch: bool, answers: impl IntoIterator<Item = Answer>) -> Self {
        let script = Script::new(answers);
        let (relay, changes) = FeedRelay::new();
        relay.set_must_watch(must_watch);
        let (sender, updates) = mpsc::channel(64);
        let refresh = Rc::new(RefreshSignal::default());
        let channels = FeedChannels {
            updates: sender,
            refresh: Rc::clone(&refresh),
            fleet_size: Rc::new(Cell::new(70)),
            relay: Rc::clone(&relay),
            quarantines: watch::channel(Vec::new()).1,
            versions: watch::channel(Vec::new()).1,
            origins: watch::channel(Vec::new()).1,
            duties: watch::channel(Vec::new()).1,
        };
        let follower = TableFollower::new(script.table(), PACE, CountingReader, channels);
        let _follower = tokio::task::spawn_local(follower.run());
        Self { script, relay, changes, updates, refresh, _follower }
    }

    fn drain_updates(&mut self) -> Vec<String> {
        support::drain_updates(&mut self.updates)
    }
}

fn change(after: u64, rows: &[TableRow]) -> RelayedChange {
    let reached = rows.iter().map(|row| row.version).max().expect("rows");
    let rows = Some(rows.to_vec());
    RelayedChange { table: FleetTable::Targets, after, reached, grace_left: Duration::ZERO, rows }
}

fn peer_at(changed: u64, reached: u64) -> WatchReport {
    WatchReport { targets: FeedPosition { changed, reached }, ..WatchReport::default() }
}

async fn local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

async fn pass(millis: u64) {
    time::sleep(Duration::from_millis(millis)).await;
}

/// Targets change for a minute. Guards against a passive VM that queries the store after its start
/// though peers relay every change, or that applies duplicate and late changes twice.
#[tokio::test(start_paused = true)]
async fn a_passive_vm_does_not_query_the_store() {
    local(async {
        let mut vm = Vm::start(false, [Answer::Rows(10, vec![row("a", 8), row("b", 10)])]);
        pass(1_000).await;
        assert_eq!(vm.drain_updates(), ["2 rows"]);
        // Between two changes the store's version rises for other reasons, which the peers' digests
        // show.
        for version in (20..620).step_by(10) {
            vm.relay.receive(change(version - 10, &[row("a", version)]));
            vm.relay.receive(change(version - 10, &[row("a", version)]));
            vm.relay.record_peer_report(&peer_at(version, version + 5));
            pass(1_000).await;
        }
        assert_eq!(vm.drain_updates().len(), 60);
        assert_eq!(vm.script.calls(), [Call::ReadAll]);
    })
    .await;
}

/// The datagram with a change is lost. The peer's next digest shows that there was one, and the VM
/// queries the store from its version within half a second: a leaving target must get no new work
/// after two.
#[tokio::test(start_paused = true)]
async fn a_lost_change_is_read_from_the_store() {
    local(async {
        let later = Answer::Rows(30, vec![row("a", 25), row("b", 30)]);
        let mut vm = Vm::start(false, [Answer::Rows(9, vec![row("a", 8)]), later]);
        pass(1_000).await;
        vm.relay.record_peer_report(&peer_at(8, 20));
        pass(1_000).await;
        assert_eq!(vm.script.calls().len(), 1, "the VM knows all changes that the peer knows");
        vm.relay.record_peer_report(&peer_at(30, 30));
        pass(500).await;
        assert_eq!(vm.script.calls()[1..], [Call::Follow(20, Duration::ZERO)]);
        assert_eq!(vm.drain_updates(), ["1 rows", "2 rows"]);
    })
    .await;
}

/// One of two changes is lost, and the second arrives. Applied alone it would hide the first for
/// good, so the VM queries the store at once.
#[tokio::test(start_paused = true)]
async fn a_change_after_a_lost_one_is_not_applied_alone() {
    local(async {
        let both = Answer::Rows(12, vec![row("a", 11), row("b", 12)]);
        let mut vm = Vm::start(false, [Answer::Rows(9, vec![row("a", 8)]), both]);
        pass(1_000).await;
        vm.relay.receive(change(11, &[row("b", 12)]));
        pass(50).await;
        assert_eq!(vm.script.calls()[1..], [Call::Follow(9, Duration::ZERO)]);
        assert_eq!(vm.drain_updates(), ["1 rows", "2 rows"]);
    })
    .await;
}

/// The watching VMs have died. The VM that replaces them queries the store from its version, and
/// relays the changes that it reads to its own peers.
#[tokio::test(start_paused = true)]
async fn a_passive_vm_that_must_watch_continues_from_its_version() {
    local(async {
        let news = Answer::Rows(14, vec![row("b", 14)]);
        let mut vm = Vm::start(false, [Answer::Rows(9, vec![row("a", 8)]), news, Answer::Silent]);
        pass(1_000).await;
        vm.relay.receive(change(8, &[row("a", 12)]));
        pass(50).await;
        assert!(vm.changes.try_recv().is_err(), "a relayed change is not relayed again");
        vm.relay.set_must_watch(true);
        pass(50).await;
        assert!(matches!(vm.script.calls()[1], Call::Follow(12, wait) if wait >= PACE.wait));
        assert_eq!(vm.changes.try_recv().expect("a change"), change(12, &[row("b", 14)]));
        assert_eq!(vm.drain_updates(), ["1 rows", "1 rows", "1 rows"]);
        vm.relay.set_must_watch(false);
        pass(10_000).await;
        let calls = vm.script.calls().len();
        pass(60_000).await;
        assert_eq!(vm.script.calls().len(), calls, "the VM is passive again");
    })
    .await;
}

/// A VM is cut off from the store, and its peers are not. It keeps calling the store, and applies
/// the changes that peers relay meanwhile, so that requests are served by current routes and
/// targets.
#[tokio::test(start_paused = true)]
async fn a_vm_that_has_lost_the_store_applies_relayed_changes() {
    local(async {
        let failures = (0..40).map(|_| failed());
        let answers = [Answer::Rows(9, vec![row("a", 8)])].into_iter().chain(failures);
        let mut vm = Vm::start(true, answers);
        pass(3_000).await;
        assert_eq!(vm.drain_updates(), ["1 rows", "SourceLost"]);
        vm.relay.receive(change(9, &[row("a", 12)]));
        pass(700).await;
        // The change is applied once.
        assert_eq!(vm.drain_updates(), ["1 rows"]);
        assert!(vm.script.calls().len() > 3, "the VM keeps calling the store");
    })
    .await;
}

/// A VM was cut off from all others, and its retry pauses have grown. When the connection is back,
/// the digests of its peers show newer routes, and it must call the store at once; until its next
/// retry it would serve requests by the replaced routes.
#[tokio::test(start_paused = true)]
async fn a_vm_that_lags_after_a_cut_queries_the_store_at_once() {
    local(async {
        let failures = (0..40).map(|_| failed());
        let answers = [Answer::Rows(9, vec![row("a", 8)])].into_iter().chain(failures);
        let mut vm = Vm::start(true, answers);
        pass(10_000).await;
        assert_eq!(vm.drain_updates(), ["1 rows", "SourceLost"]);
        let tried = vm.script.calls().len();
        while vm.script.calls().len() == tried {
            pass(10).await;
        }
        vm.script.answers.borrow_mut().push_front(Answer::Rows(14, vec![row("b", 14)]));
        pass(50).await;
        vm.refresh.notify_all();
        pass(50).await;
        assert_eq!(vm.drain_updates(), ["SourceBack", "1 rows"]);
    })
    .await;
}

/// The store is unavailable for five seconds, and peers that can reach it have newer data. If the
/// followers of all three tables retried, a fleet of 70 would spend most of a day's calls on one
/// such outage. Only one of them probes the store, and all learn of its return at once.
#[tokio::test(start_paused = true)]
async fn one_table_probes_the_store_during_an_outage() {
    local(async {
        let (relay, _changes) = FeedRelay::new();
        let (updates, mut received) = mpsc::channel(64);
        let refresh = Rc::new(RefreshSignal::default());
        let fleet_size = Rc::new(Cell::new(9));
        let kept = watch::channel(Vec::new()).1;
        let duties = watch::channel(Vec::new()).1;
        let channels_refresh = Rc::clone(&refresh);
        let channels = FeedChannels {
            updates,
            refresh: channels_refresh,
            fleet_size,
            relay,
            quarantines: kept,
            versions: watch::channel(Vec::new()).1,
            origins: watch::channel(Vec::new()).1,
            duties,
        };
        let follow = |table| {
            let failures = (0..100).map(|_| failed());
            let answers = [Answer::Rows(3, vec![row("a", 3)])].into_iter().chain(failures);
            let script = Script::new(answers);
            let pace = TablePace { table, ..PACE };
            let follower =
                TableFollower::new(script.table(), pace, CountingReader, channels.clone());
            tokio::task::spawn_local(follower.run());
            script
        };
        let tables = [FleetTable::Routes, FleetTable::Targets, FleetTable::Vms];
        let scripts = tables.map(follow);
        pass(PACE.pause.as_millis() as u64 + 1_700).await;
        for _ in 0..8 {
            refresh.notify_all();
            pass(400).await;
        }
        let calls = |script: &Rc<Script>| script.calls().len();
        let counts: Vec<usize> = scripts.iter().map(calls).collect();
        assert!(counts.iter().all(|count| *count >= 2), "{counts:?}");
        assert!(counts.iter().sum::<usize>() <= 30, "{counts:?}");
        for script in &scripts {
            script.answers.borrow_mut().clear();
            script.answers.borrow_mut().push_back(Answer::Rows(4, vec![row("a", 4)]));
        }
        support::drain_updates(&mut received);
        pass(700).await;
        let reported = support::drain_updates(&mut received);
        assert_eq!(reported.iter().filter(|it| *it == "SourceBack").count(), 3, "{reported:?}");
    })
    .await;
}
