//! A VM that rests on what the peers that watch the store pass on.

use std::{cell::Cell, rc::Rc, time::Duration};

use ryetide_core::watcher_selection::{FeedPosition, WatchReport};
use ryetide_gateway::{
    feed_nudge::FeedNudge,
    feed_relay::{FeedRelay, RelayedChange},
    ports::{FeedLine, FleetUpdate},
    store_table::{FleetTable, TableRow},
    table_follower::{TableFollower, TablePace},
};
use tokio::{
    sync::{mpsc, watch},
    task::{JoinHandle, LocalSet},
    time,
};

use crate::support::{self, Answer, Call, CountingReader, PACE, Script, failed, row};

/// A VM whose follower runs beside the test.
struct Vm {
    script: Rc<Script>,
    relay: Rc<FeedRelay>,
    changes: mpsc::Receiver<RelayedChange>,
    updates: mpsc::Receiver<FleetUpdate>,
    nudge: Rc<FeedNudge>,
    _follower: JoinHandle<()>,
}

impl Vm {
    fn start(must_watch: bool, answers: impl IntoIterator<Item = Answer>) -> Self {
        let script = Script::new(answers);
        let (relay, changes) = FeedRelay::new();
        relay.set_duty(must_watch);
        let (sender, updates) = mpsc::channel(64);
        let nudge = Rc::new(FeedNudge::default());
        let line = FeedLine {
            updates: sender,
            nudge: Rc::clone(&nudge),
            fleet_size: Rc::new(Cell::new(70)),
            relay: Rc::clone(&relay),
            kept: watch::channel(Vec::new()).1,
            duties: watch::channel(Vec::new()).1,
        };
        let follower = TableFollower::new(script.table(), PACE, CountingReader, line);
        let _follower = tokio::task::spawn_local(follower.run());
        Self { script, relay, changes, updates, nudge, _follower }
    }

    fn told(&mut self) -> Vec<String> {
        support::told(&mut self.updates)
    }
}

fn change(after: u64, rows: &[TableRow]) -> RelayedChange {
    let reached = rows.iter().map(|row| row.version).max().expect("rows");
    let rows = Some(rows.to_vec());
    RelayedChange { table: FleetTable::Targets, after, reached, doubt: Duration::ZERO, rows }
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

/// Targets change for a minute. A VM that rests knows of each change when a peer passes it on, and
/// has asked the store once, when it started; doubled and late changes are told once.
#[tokio::test(start_paused = true)]
async fn a_vm_that_rests_asks_nothing() {
    local(async {
        let mut vm = Vm::start(false, [Answer::Rows(10, vec![row("a", 8), row("b", 10)])]);
        pass(1_000).await;
        assert_eq!(vm.told(), ["2 rows"]);
        // Between two changes the store's versions rise for other reasons, which the peers' digests
        // tell.
        for version in (20..620).step_by(10) {
            vm.relay.hear(change(version - 10, &[row("a", version)]));
            vm.relay.hear(change(version - 10, &[row("a", version)]));
            vm.relay.note_peer(&peer_at(version, version + 5));
            pass(1_000).await;
        }
        assert_eq!(vm.told().len(), 60);
        assert_eq!(vm.script.calls(), [Call::ReadAll]);
    })
    .await;
}

/// The datagram with a change is lost. The next digest of the peer shows that there was one, and
/// the VM asks the store from where it stands within half a second: a target that leaves must get
/// nothing new after two.
#[tokio::test(start_paused = true)]
async fn a_change_that_was_not_passed_on_is_asked_for() {
    local(async {
        let later = Answer::Rows(30, vec![row("a", 25), row("b", 30)]);
        let mut vm = Vm::start(false, [Answer::Rows(9, vec![row("a", 8)]), later]);
        pass(1_000).await;
        vm.relay.note_peer(&peer_at(8, 20));
        pass(1_000).await;
        assert_eq!(vm.script.calls().len(), 1, "it knows all that the peer does");
        vm.relay.note_peer(&peer_at(30, 30));
        pass(500).await;
        assert_eq!(vm.script.calls()[1..], [Call::Follow(20, Duration::ZERO)]);
        assert_eq!(vm.told(), ["1 rows", "2 rows"]);
    })
    .await;
}

/// One of two changes is lost, and the second comes. Taken alone it would hide the first for good;
/// so the store is asked at once.
#[tokio::test(start_paused = true)]
async fn a_change_after_one_that_was_missed_is_not_taken_alone() {
    local(async {
        let both = Answer::Rows(12, vec![row("a", 11), row("b", 12)]);
        let mut vm = Vm::start(false, [Answer::Rows(9, vec![row("a", 8)]), both]);
        pass(1_000).await;
        vm.relay.hear(change(11, &[row("b", 12)]));
        pass(50).await;
        assert_eq!(vm.script.calls()[1..], [Call::Follow(9, Duration::ZERO)]);
        assert_eq!(vm.told(), ["1 rows", "2 rows"]);
    })
    .await;
}

/// The VMs that watch have died. The VM that comes next asks the store from where it stands, and
/// tells its own peers what it hears.
#[tokio::test(start_paused = true)]
async fn a_vm_that_must_watch_again_goes_on_where_it_stands() {
    local(async {
        let news = Answer::Rows(14, vec![row("b", 14)]);
        let mut vm = Vm::start(false, [Answer::Rows(9, vec![row("a", 8)]), news, Answer::Silent]);
        pass(1_000).await;
        vm.relay.hear(change(8, &[row("a", 12)]));
        pass(50).await;
        assert!(vm.changes.try_recv().is_err(), "what was passed on here is not passed on again");
        vm.relay.set_duty(true);
        pass(50).await;
        assert!(matches!(vm.script.calls()[1], Call::Follow(12, wait) if wait >= PACE.wait));
        assert_eq!(vm.changes.try_recv().expect("a change"), change(12, &[row("b", 14)]));
        assert_eq!(vm.told(), ["1 rows", "1 rows", "1 rows"]);
        vm.relay.set_duty(false);
        pass(10_000).await;
        let calls = vm.script.calls().len();
        pass(60_000).await;
        assert_eq!(vm.script.calls().len(), calls, "it rests again");
    })
    .await;
}

/// A VM is cut off from the store, and its peers are not. It goes on asking, and takes what they
/// pass on meanwhile: callers are served by the routes and targets of now, though the store cannot
/// be heard.
#[tokio::test(start_paused = true)]
async fn a_vm_that_has_lost_the_store_takes_what_peers_pass_on() {
    local(async {
        let failures = (0..40).map(|_| failed());
        let answers = [Answer::Rows(9, vec![row("a", 8)])].into_iter().chain(failures);
        let mut vm = Vm::start(true, answers);
        pass(3_000).await;
        assert_eq!(vm.told(), ["1 rows", "SourceLost"]);
        vm.relay.hear(change(9, &[row("a", 12)]));
        pass(700).await;
        // Told as missing in a time of doubt, and counted once.
        assert_eq!(vm.told(), ["1 rows"]);
        assert!(vm.script.calls().len() > 3, "it goes on asking");
    })
    .await;
}

/// A VM was cut off from all others, and is back. It has waited longer and longer between its
/// tries; but the digests of its peers show that they have newer routes, and it asks at once: its
/// callers would be served by the replaced ones until it tries by itself.
#[tokio::test(start_paused = true)]
async fn a_vm_that_hears_of_news_after_a_cut_asks_at_once() {
    local(async {
        let failures = (0..40).map(|_| failed());
        let answers = [Answer::Rows(9, vec![row("a", 8)])].into_iter().chain(failures);
        let mut vm = Vm::start(true, answers);
        pass(10_000).await;
        assert_eq!(vm.told(), ["1 rows", "SourceLost"]);
        let tried = vm.script.calls().len();
        while vm.script.calls().len() == tried {
            pass(10).await;
        }
        vm.script.answers.borrow_mut().push_front(Answer::Rows(14, vec![row("b", 14)]));
        pass(50).await;
        vm.nudge.ring_all();
        pass(50).await;
        assert_eq!(vm.told(), ["SourceBack", "1 rows"]);
    })
    .await;
}

/// The store is away for five seconds, and peers that it serves have news meanwhile. Three tables
/// are followed; were each asked for again and again, a fleet of 70 would spend most of a day's
/// calls on such an outage. One asks for all, and all know at once of the return.
#[tokio::test(start_paused = true)]
async fn one_table_asks_while_the_store_is_away() {
    local(async {
        let (relay, _changes) = FeedRelay::new();
        let (updates, mut told) = mpsc::channel(64);
        let nudge = Rc::new(FeedNudge::default());
        let fleet_size = Rc::new(Cell::new(9));
        let kept = watch::channel(Vec::new()).1;
        let duties = watch::channel(Vec::new()).1;
        let nudge_line = Rc::clone(&nudge);
        let line = FeedLine { updates, nudge: nudge_line, fleet_size, relay, kept, duties };
        let follow = |table| {
            let failures = (0..100).map(|_| failed());
            let answers = [Answer::Rows(3, vec![row("a", 3)])].into_iter().chain(failures);
            let script = Script::new(answers);
            let pace = TablePace { table, ..PACE };
            let follower = TableFollower::new(script.table(), pace, CountingReader, line.clone());
            tokio::task::spawn_local(follower.run());
            script
        };
        let tables = [FleetTable::Routes, FleetTable::Targets, FleetTable::Vms];
        let scripts = tables.map(follow);
        pass(PACE.pause.as_millis() as u64 + 1_700).await;
        for _ in 0..8 {
            nudge.ring_all();
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
        support::told(&mut told);
        pass(700).await;
        let told = support::told(&mut told);
        assert_eq!(told.iter().filter(|it| *it == "SourceBack").count(), 3, "{told:?}");
    })
    .await;
}
