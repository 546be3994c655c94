//! Follows a table of a store, whatever the store does, and keeps a row of this VM's own in it.
//!
//! A table whose history is gone is read whole again. A reading that is older than what was seen
//! before is passed over, since after a loss of history a store may answer from the past for some
//! seconds. One of a later era is not older, whatever its number: the store has come back from a copy, and what it says
//! now holds.
//!
//! A VM that need not watch the store itself rests: it asks nothing, and takes the changes that its peers pass
//! on. It asks when it has missed one, or must watch again.

use std::{rc::Rc, time::Duration};

use rand::Rng;
use ryetide_core::{era_version::EraVersion, target_registry, watcher_selection::FeedPosition};
use tokio::{
    sync::{broadcast, watch},
    time::{self, Instant},
};

use crate::{
    feed_relay::RelayedChange,
    ports::{FeedLine, FleetUpdate},
    retry_pause::{self, RetryPause},
    store_table::{FleetTable, StoreTable, TableFault, TableRow, TableRows},
};

/// A call that the store answers at once may take this long; it is slow now and then.
const CALL_LIMIT: Duration = Duration::from_millis(2_500);
/// The longest time for which the store is asked to wait.
const LONGEST_WAIT: Duration = Duration::from_secs(20);
/// How long after the time for which it was asked to wait the store's answer may come.
pub const FOLLOW_MARGIN: Duration = Duration::from_millis(700);
/// While the store was lost it is asked to wait for no longer than this: it may fall silent again.
const LOST_WAIT: Duration = Duration::from_millis(1_000);
/// How long after the store's return targets may still write themselves in again: they write every second or so,
/// and their entries lapse after three missed writes.
const AFTERMATH: Duration = Duration::from_secs(4);
/// The longest pause after a change in that time. Entries that are back must be known before the doubt about
/// missing ones ends, or targets that live get no work; and those that are truly gone are known the sooner.
const AFTERMATH_PAUSE: Duration = Duration::from_millis(200);
/// How often a VM that rests looks whether the peers that watch have come further.
const REST_INTERVAL: Duration = Duration::from_millis(200);
/// Looks in a row that find a change at a peer which was not passed on here, before the store is asked: the
/// change itself may come just after the digest that shows it.
const REST_BEHIND: u32 = 2;
/// What each VM of a larger fleet adds to the longest pause, so that all of them together ask a store that is
/// away no more often: 1 s at 70 VMs. The first that finds it back makes its mates ask at once. With 2 s, and
/// the 1.7 s of a call that hangs, a VM whose cut was over served by a replaced version for 4 s.
const PAUSE_PER_VM: Duration = Duration::from_millis(15);
/// A table waits this long for another's follower to find the store back before it asks by itself.
const OUTAGE_WAIT: Duration = Duration::from_secs(3);

/// How often a table is asked for. Each call is paid for, and the store answers at once when something
/// has changed: a pause after each answer lets changes that come in a row be told together.
#[derive(Clone, Copy, Debug)]
pub struct TablePace {
    /// The table.
    pub table: FleetTable,
    /// How long the store is asked to wait for a change, by a VM of a small fleet. A call that has gone
    /// silent, though its connection stands, is found out after this time and [`FOLLOW_MARGIN`] at the
    /// latest; sooner when a peer has news.
    pub wait: Duration,
    /// What each VM of a larger fleet adds to the longest wait, so that all of them together make no more
    /// calls. One of many finds out about a silence soon, and its news nudges the others.
    pub wait_per_vm: Duration,
    /// The pause after a change. It adds to the time until a change is in force, which must stay
    /// under two seconds.
    pub pause: Duration,
}

impl TablePace {
    /// Returns whether changes of the table are passed on between VMs. Those of the VMs themselves are not: they
    /// hold the keys by which messages are believed.
    pub fn is_relayed(&self) -> bool {
        self.table != FleetTable::Vms
    }

    /// Returns how long the store is asked to wait by one VM of `fleet_size`: a time drawn up to the
    /// longest, so that VMs which began together do not ask, and find out, at the same moments.
    pub fn draw_wait(&self, fleet_size: usize, rng: &mut impl Rng) -> Duration {
        let vms = u32::try_from(fleet_size).unwrap_or(u32::MAX);
        let longest = self.wait_per_vm.saturating_mul(vms).min(LONGEST_WAIT).max(self.wait);
        rng.random_range(self.wait..=longest)
    }
}

/// Turns rows of one table into news.
pub trait RowReader {
    /// Takes the whole table.
    fn whole(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate>;

    /// Takes the last state of each row that has changed.
    fn changed(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate>;

    /// All changes up to a version have come.
    fn reached(&mut self, version: u64) -> Option<FleetUpdate> {
        let _ = version;
        None
    }

    /// The store cannot be read, or can be again.
    fn source(&mut self, lost: bool) -> Option<FleetUpdate> {
        let _ = lost;
        None
    }

    /// The store has come back from a copy; a whole reading of it follows.
    fn restored(&mut self) -> Option<FleetUpdate> {
        None
    }

    /// A peer that passes rows on had lost the store: for `left` yet, rows may be missing that will be back.
    fn doubt(&mut self, left: Duration) -> Option<FleetUpdate> {
        let _ = left;
        None
    }
}

/// Returns the last state of each row that changed, in the order of those last changes.
///
/// A reader that took the first of several changes would believe an operator's version that was
/// replaced long ago.
pub fn last_states(changes: Vec<TableRow>) -> Vec<TableRow> {
    let mut last: Vec<TableRow> = Vec::with_capacity(changes.len());
    for change in changes {
        last.retain(|row| row.key != change.key);
        last.push(change);
    }
    last
}

/// Follows one table.
pub struct TableFollower<R> {
    table: Box<dyn StoreTable>,
    pace: TablePace,
    reader: R,
    line: FeedLine,
    /// The highest version seen.
    version: u64,
    /// The version of the newest change seen.
    changed: u64,
    /// Whether this VM must watch the store itself.
    duty: watch::Receiver<bool>,
    /// Changes that peers pass on.
    heard: broadcast::Receiver<Rc<RelayedChange>>,
    lost: bool,
    /// When the store was last regained.
    back_at: Option<Instant>,
    /// Until when rows may be missing that will be back, as this VM or one that passed rows on has found.
    doubt_until: Option<Instant>,
    pause: RetryPause,
}

impl<R: RowReader> TableFollower<R> {
    /// Creates a follower that tells `line` what `reader` makes of the rows.
    pub fn new(table: Box<dyn StoreTable>, pace: TablePace, reader: R, line: FeedLine) -> Self {
        Self {
            table,
            pace,
            reader,
            duty: line.relay.duty(),
            heard: line.relay.heard(),
            line,
            version: 0,
            changed: 0,
            lost: false,
            back_at: None,
            doubt_until: None,
            pause: RetryPause::default(),
        }
    }

    /// Runs until the line closes.
    pub async fn run(mut self) {
        let mut followed = false;
        while !self.line.updates.is_closed() {
            followed &= !self.line.relay.is_of_past(self.version);
            let outcome = if followed {
                let Some(outcome) = self.follow().await else { continue };
                outcome
            } else {
                self.table.read_all(CALL_LIMIT).await
            };
            match outcome {
                Ok(rows) if rows.version < self.version => {
                    let (table, found) = (self.pace.table, EraVersion::from_packed(rows.version));
                    let seen = EraVersion::from_packed(self.version);
                    tracing::info!(event = "reading-passed-over", %table, %found, %seen);
                    self.pause.wait().await;
                }
                Ok(rows) => {
                    let changed = !rows.rows.is_empty();
                    self.regained().await;
                    if EraVersion::from_packed(rows.version).era
                        > EraVersion::from_packed(self.version).era
                    {
                        self.restored(rows.version).await;
                    }
                    if changed {
                        self.log_news("store", rows.rows.len(), rows.version);
                    }
                    if followed && changed {
                        self.pass_on(&rows, self.changed);
                    }
                    self.take(rows, followed).await;
                    followed = true;
                    let watches = *self.duty.borrow();
                    if watches {
                        self.note_own(true);
                    }
                    if changed && watches {
                        time::sleep(self.pause_after_change()).await;
                    }
                }
                Err(TableFault::HistoryGone) => {
                    let table = self.pace.table;
                    let since = EraVersion::from_packed(self.version);
                    tracing::warn!(event = "history-gone", %table, %since);
                    followed = false;
                    // The store is back; what is in doubt is so from now, not from when it has been read.
                    self.regained().await;
                    self.pause.wait().await;
                }
                Err(fault) => {
                    self.failed(&fault).await;
                    self.wait_for_store().await;
                }
            }
        }
    }

    fn pause_after_change(&self) -> Duration {
        if self.is_aftermath() { self.pace.pause.min(AFTERMATH_PAUSE) } else { self.pace.pause }
    }

    /// Waits for changes, by asking the store or by resting on the peers that do. Returns nothing when the
    /// store must be asked anew: a peer has news that have not come here, or this VM's duty has changed.
    /// Dropping the call ends its connection, which may have gone silent, and the next call opens another.
    async fn follow(&mut self) -> Option<Result<TableRows, TableFault>> {
        // One that has lost the store goes on trying: only the store's own answer ends its doubt about missing
        // rows.
        let rests = self.pace.is_relayed() && !*self.duty.borrow_and_update() && !self.lost;
        let wait = if rests {
            self.rest().await;
            if *self.duty.borrow() {
                return None;
            }
            Duration::ZERO
        } else if self.lost {
            LOST_WAIT
        } else {
            self.note_own(true);
            self.pace.draw_wait(self.line.fleet_size.get(), &mut rand::rng())
        };
        let limit = if rests { CALL_LIMIT } else { wait + FOLLOW_MARGIN };
        let (nudge, seen, lost) = (Rc::clone(&self.line.nudge), self.version, self.lost);
        let (table, relayed) = (self.pace.table, self.pace.is_relayed());
        let outcome = tokio::select! {
            outcome = self.table.follow(seen, wait, limit) => outcome,
            () = nudge.rung(table), if !rests => {
                // If this call has gone silent, the one for the VMs' rows may have too, and nobody else can tell.
                if table != FleetTable::Vms {
                    nudge.ring(FleetTable::Vms);
                }
                return None;
            }
            _ = self.duty.changed(), if relayed => return None,
            change = next_change(&mut self.heard, table), if lost && relayed => {
                self.take_relayed(&change).await;
                return None;
            }
        };
        // An answer of no changes may tell no version.
        Some(outcome.map(|rows| TableRows { version: rows.version.max(seen), ..rows }))
    }

    /// Waits before a store that has failed is asked again: until it may be back, or a peer has found it back or
    /// has news. Takes what peers pass on meanwhile.
    async fn wait_for_store(&mut self) {
        let relayed = self.pace.is_relayed();
        let relay = Rc::clone(&self.line.relay);
        let asks = relay.outage().must_ask(self.pace.table);
        let fleet_size = u32::try_from(self.line.fleet_size.get()).unwrap_or(u32::MAX);
        let longest = retry_pause::LONGEST_PAUSE.max(PAUSE_PER_VM.saturating_mul(fleet_size));
        let wait = if asks { self.pause.next(longest) } else { OUTAGE_WAIT };
        let nudge = Rc::clone(&self.line.nudge);
        let until = Instant::now() + wait;
        loop {
            tokio::select! {
                () = time::sleep_until(until) => return,
                () = nudge.rung(self.pace.table), if asks => return,
                () = relay.outage().ended(), if !asks => return,
                _ = self.duty.changed(), if relayed => return,
                change = next_change(&mut self.heard, self.pace.table), if relayed => {
                    self.take_relayed(&change).await;
                }
            }
        }
    }

    /// Takes what peers pass on. Returns when the store must be asked: this VM has missed a change, or must
    /// watch.
    async fn rest(&mut self) {
        self.note_own(false);
        self.table.hang_up();
        self.heard = self.heard.resubscribe();
        let nudge = Rc::clone(&self.line.nudge);
        let mut behind = 0;
        let mut ticks = time::interval(REST_INTERVAL);
        while behind < REST_BEHIND {
            tokio::select! {
                _ = self.duty.changed() => return,
                () = nudge.rung(self.pace.table) => return,
                change = self.heard.recv() => match change {
                    Ok(change) if self.take_relayed(&change).await => {}
                    // Some were dropped unread, or one was passed on that does not follow what is known.
                    Ok(_) | Err(broadcast::error::RecvError::Lagged(_)) => return,
                    // The gateway is ending.
                    Err(broadcast::error::RecvError::Closed) => return,
                },
                _ = ticks.tick() => {
                    behind = if self.is_behind_peers().await { behind + 1 } else { 0 };
                }
            }
        }
    }

    /// Returns whether a peer that watches has a change that has not come here. Otherwise this VM knows the
    /// table as far as the peer does.
    async fn is_behind_peers(&mut self) -> bool {
        let FeedPosition { changed, reached } = self.line.relay.peer_mark(self.pace.table);
        if changed > self.version {
            return true;
        }
        if reached > self.version {
            self.version = reached;
            let update = self.reader.reached(reached);
            self.tell(update).await;
        }
        false
    }

    /// Takes a change that a peer has passed on; returns whether it follows what is known here.
    async fn take_relayed(&mut self, change: &RelayedChange) -> bool {
        if change.table != self.pace.table || change.reached <= self.version {
            return true;
        }
        let Some(rows) = change.rows.as_ref().filter(|_| change.after <= self.version) else {
            return false;
        };
        if !change.doubt.is_zero() {
            self.doubt_for(change.doubt);
            let update = self.reader.doubt(change.doubt);
            self.tell(update).await;
        }
        let new = rows.iter().filter(|row| row.version > self.version).cloned().collect();
        self.log_news("peer", rows.len(), change.reached);
        self.take(TableRows { rows: new, version: change.reached }, true).await;
        true
    }

    /// Tells the peers how far this VM's watch has come, or that it does not watch.
    fn note_own(&self, watches: bool) {
        let mark = FeedPosition { changed: self.changed, reached: self.version };
        self.line.relay.note_own(self.pace.table, watches.then_some(mark));
    }

    /// Passes on what the store has told.
    fn pass_on(&self, rows: &TableRows, after: u64) {
        if self.pace.is_relayed() {
            self.line.relay.tell(RelayedChange {
                table: self.pace.table,
                after,
                reached: rows.version,
                doubt: self.doubt_left(),
                rows: Some(rows.rows.clone()),
            });
        }
    }

    /// Tells from whom rows have come, and as of which version.
    fn log_news(&self, from: &'static str, rows: usize, version: u64) {
        let (table, doubt_ms) = (self.pace.table, self.doubt_left().as_millis());
        let version = EraVersion::from_packed(version);
        tracing::info!(event = "table-news", %table, from, rows, %version, doubt_ms);
    }

    fn is_aftermath(&self) -> bool {
        let back_lately = self.back_at.is_some_and(|at| at.elapsed() < AFTERMATH);
        back_lately || !self.doubt_left().is_zero()
    }

    fn doubt_for(&mut self, span: Duration) {
        self.doubt_until = self.doubt_until.max(Some(Instant::now() + span));
    }

    fn doubt_left(&self) -> Duration {
        self.doubt_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    async fn take(&mut self, rows: TableRows, following: bool) {
        self.version = rows.version;
        // What was dropped before a whole reading is not in it.
        let newest = rows.rows.iter().map(|row| row.version).max();
        self.changed = if following { newest.unwrap_or(self.changed) } else { rows.version };
        let update = match following {
            true if rows.rows.is_empty() => Vec::new(),
            true => self.reader.changed(last_states(rows.rows)),
            false => self.reader.whole(rows.rows),
        };
        self.tell(update).await;
        let reached = self.reader.reached(self.version);
        self.tell(reached).await;
    }

    /// The store has come back from a copy. What was written in its last seconds is missing, and is written again.
    async fn restored(&mut self, version: u64) {
        let known = std::mem::replace(&mut self.version, version);
        self.line.relay.note_era(version);
        if known == 0 {
            return;
        }
        let (table, found) = (self.pace.table, EraVersion::from_packed(version));
        let seen = EraVersion::from_packed(known);
        tracing::warn!(event = "store-restored", peer = "store", %table, %found, %seen);
        if self.doubt_left().is_zero() {
            self.back_at = Some(Instant::now());
            self.doubt_for(target_registry::MISSING_ENTRY_GRACE);
            let update = self.reader.doubt(target_registry::MISSING_ENTRY_GRACE);
            self.tell(update).await;
        }
        let update = self.reader.restored();
        self.tell(update).await;
        // The other tables' calls may hang, or wait for versions that are far off.
        self.line.nudge.ring_all();
    }

    async fn regained(&mut self) {
        self.pause = RetryPause::default();
        self.line.relay.outage().end();
        if std::mem::take(&mut self.lost) {
            self.back_at = Some(Instant::now());
            self.doubt_for(target_registry::MISSING_ENTRY_GRACE);
            tracing::info!(event = "dependency-regained", peer = "store", table = %self.pace.table);
            let update = self.reader.source(false);
            self.tell(update).await;
        }
    }

    async fn failed(&mut self, fault: &TableFault) {
        self.note_own(false);
        if !std::mem::replace(&mut self.lost, true) {
            let table = self.pace.table;
            tracing::warn!(event = "dependency-lost", peer = "store", %table, reason = %fault);
            let update = self.reader.source(true);
            self.tell(update).await;
            // The other tables' calls may hang as this one did.
            self.line.nudge.ring_all();
        }
    }

    async fn tell(&self, updates: impl IntoIterator<Item = FleetUpdate>) {
        for update in updates {
            if self.line.updates.send(update).await.is_err() {
                tracing::debug!(event = "feed-ended", table = %self.pace.table);
                return;
            }
        }
    }
}

/// Writes a row of this VM's own, over the one of its last life, until it is there. `expected` is the
/// version of the row that is known; 0 for none.
pub async fn keep_row(table: &mut dyn StoreTable, key: &str, mut expected: u64, value: &[u8]) {
    let mut pause = RetryPause::default();
    loop {
        match table.write(key, expected, value, CALL_LIMIT).await {
            Ok(()) => return,
            // An earlier try whose answer was lost has taken effect.
            Err(TableFault::Conflict(Some(row)))
                if row.value.bytes().is_some_and(|found| found == value) =>
            {
                return;
            }
            Err(TableFault::Conflict(found)) => {
                let version = found.map_or(0, |row| row.version);
                tracing::info!(event = "row-replaced", step = "write", key, expected, version);
                if version == expected {
                    // The store contradicts itself; asked at once it would say the same.
                    pause.wait().await;
                }
                expected = version;
            }
            Err(fault) => {
                tracing::info!(event = "row-delayed", step = "write", key, reason = %fault);
                pause.wait().await;
            }
        }
    }
}

/// Waits for the next change of `table` that a peer passes on. Those that came in too great a number are lost,
/// and asked for when the store can be heard.
async fn next_change(
    heard: &mut broadcast::Receiver<Rc<RelayedChange>>,
    table: FleetTable,
) -> Rc<RelayedChange> {
    loop {
        match heard.recv().await {
            Ok(change) if change.table == table => return change,
            Ok(_) | Err(broadcast::error::RecvError::Lagged(_)) => {}
            // The gateway is ending.
            Err(broadcast::error::RecvError::Closed) => std::future::pending().await,
        }
    }
}
