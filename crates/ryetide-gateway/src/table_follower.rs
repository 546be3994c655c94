//! Follows a table of a store, whatever the store does, and keeps a row of this VM's own in it.
//!
//! A table whose history is gone is read whole again. A reading that is older than what was seen
//! before is passed over, since after a loss of history a store may answer from the past for some
//! seconds.

use std::{ops::Range, rc::Rc, time::Duration};

use rand::Rng;
use ryetide_core::target_registry;
use tokio::time::{self, Instant};

use crate::{
    ports::{FeedLine, FleetUpdate},
    store_table::{StoreTable, TableFault, TableRow, TableRows},
};

/// A call that the store answers at once may take this long; it is slow now and then.
const CALL_LIMIT: Duration = Duration::from_millis(2_500);
/// The longest time for which the store is asked to wait.
const LONGEST_WAIT: Duration = Duration::from_secs(20);
/// How long after the time for which it was asked to wait the store's answer may come.
pub const FOLLOW_MARGIN: Duration = Duration::from_millis(700);
/// While the store was lost it is asked to wait for no longer than this: it may fall silent again.
const LOST_WAIT: Duration = Duration::from_millis(1_000);
/// The longest pause after a change while the store was lost not long ago. Targets whose entries are then
/// missing are kept for 1.6 s, since they may come back. With a whole pause of a second before that, one that
/// had left without a word got new work 2.6 s after its entry's end, and not more than two seconds are
/// permitted.
const AFTERMATH_PAUSE: Duration = Duration::from_millis(200);
/// The first pause after a call that failed; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// Part of a pause that is left to chance, so that VMs which failed together do not come back
/// together.
const PAUSE_SPREAD: Range<f64> = 0.5..1.0;

/// How often a table is asked for. Each call is paid for, and the store answers at once when something
/// has changed: a pause after each answer lets changes that come in a row be told together.
#[derive(Clone, Copy, Debug)]
pub struct TablePace {
    /// The table, for the log.
    pub name: &'static str,
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
    fn whole(&mut self, rows: Vec<TableRow>) -> Option<FleetUpdate>;

    /// Takes the last state of each row that has changed.
    fn changed(&mut self, rows: Vec<TableRow>) -> Option<FleetUpdate>;

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
    lost: bool,
    /// When the store was last regained.
    back_at: Option<Instant>,
    pause: RetryPause,
}

impl<R: RowReader> TableFollower<R> {
    /// Creates a follower that tells `line` what `reader` makes of the rows.
    pub fn new(table: Box<dyn StoreTable>, pace: TablePace, reader: R, line: FeedLine) -> Self {
        Self {
            table,
            pace,
            reader,
            line,
            version: 0,
            lost: false,
            back_at: None,
            pause: RetryPause::default(),
        }
    }

    /// Runs until the line closes.
    pub async fn run(mut self) {
        let mut followed = false;
        while !self.line.updates.is_closed() {
            let outcome = if followed {
                // A nudged call is asked anew.
                let Some(outcome) = self.follow().await else { continue };
                outcome
            } else {
                self.table.read_all(CALL_LIMIT).await
            };
            match outcome {
                Ok(rows) if rows.version < self.version => {
                    let (table, found) = (self.pace.name, rows.version);
                    tracing::info!(
                        event = "reading-passed-over",
                        table,
                        found,
                        seen = self.version
                    );
                    self.pause.wait().await;
                }
                Ok(rows) => {
                    let changed = !rows.rows.is_empty();
                    self.heard().await;
                    self.take(rows, followed).await;
                    followed = true;
                    if changed {
                        time::sleep(self.pause_after_change()).await;
                    }
                }
                Err(TableFault::HistoryGone) => {
                    let table = self.pace.name;
                    tracing::warn!(event = "history-gone", table, since = self.version);
                    followed = false;
                    self.pause.wait().await;
                }
                Err(fault) => {
                    self.failed(&fault).await;
                    self.pause.wait().await;
                }
            }
        }
    }

    fn pause_after_change(&self) -> Duration {
        let recent = self.back_at.is_some_and(|at| at.elapsed() < target_registry::AFTERMATH);
        if recent { self.pace.pause.min(AFTERMATH_PAUSE) } else { self.pace.pause }
    }

    /// Waits for changes. Returns nothing when a peer has news that have not come here: dropping the
    /// call ends its connection, which may have gone silent, and the next call opens another.
    async fn follow(&mut self) -> Option<Result<TableRows, TableFault>> {
        let fleet_size = self.line.fleet_size.get();
        let drawn = self.pace.draw_wait(fleet_size, &mut rand::rng());
        let wait = if self.lost { LOST_WAIT } else { drawn };
        let (nudge, seen) = (Rc::clone(&self.line.nudge), self.version);
        let outcome = tokio::select! {
            outcome = self.table.follow(seen, wait, wait + FOLLOW_MARGIN) => outcome,
            () = nudge.notified() => return None,
        };
        // An answer of no changes may tell no version.
        Some(outcome.map(|rows| TableRows { version: rows.version.max(seen), ..rows }))
    }

    async fn take(&mut self, rows: TableRows, following: bool) {
        self.version = rows.version;
        let update = match following {
            true if rows.rows.is_empty() => None,
            true => self.reader.changed(last_states(rows.rows)),
            false => self.reader.whole(rows.rows),
        };
        self.tell(update).await;
        let reached = self.reader.reached(self.version);
        self.tell(reached).await;
    }

    async fn heard(&mut self) {
        self.pause = RetryPause::default();
        if std::mem::take(&mut self.lost) {
            self.back_at = Some(Instant::now());
            tracing::info!(event = "dependency-regained", peer = "store", table = self.pace.name);
            let update = self.reader.source(false);
            self.tell(update).await;
        }
    }

    async fn failed(&mut self, fault: &TableFault) {
        if !std::mem::replace(&mut self.lost, true) {
            let table = self.pace.name;
            tracing::warn!(event = "dependency-lost", peer = "store", table, reason = %fault);
            let update = self.reader.source(true);
            self.tell(update).await;
            // The other tables' calls may hang as this one did.
            self.line.nudge.notify_waiters();
        }
    }

    async fn tell(&self, update: Option<FleetUpdate>) {
        if let Some(update) = update
            && self.line.updates.send(update).await.is_err()
        {
            tracing::debug!(event = "feed-ended", table = self.pace.name);
        }
    }
}

/// Writes a row of this VM's own, over the one of its last life, until it is there. `expected` is the
/// version of the row that is known; 0 for none.
pub async fn keep_row(mut table: Box<dyn StoreTable>, key: &str, mut expected: u64, value: &[u8]) {
    let mut pause = RetryPause::default();
    loop {
        match table.write(key, expected, value, CALL_LIMIT).await {
            Ok(()) => return,
            // An earlier try whose answer was lost has taken effect.
            Err(TableFault::Conflict(Some(row))) if row.value.as_deref() == Some(value) => return,
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

/// The pause before the next try.
struct RetryPause(Duration);

impl Default for RetryPause {
    fn default() -> Self {
        Self(FIRST_PAUSE)
    }
}

impl RetryPause {
    async fn wait(&mut self) {
        let spread = rand::rng().random_range(PAUSE_SPREAD);
        time::sleep(self.0.mul_f64(spread)).await;
        self.0 = (self.0 * 2).min(LONGEST_PAUSE);
    }
}
