//! A store table that returns scripted answers.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    future,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use ryetide_core::target_registry::RegistryUpdate;
use ryetide_gateway::{
    feed_relay::FeedRelay,
    ports::{FeedChannels, FleetUpdate, LocalFuture},
    refresh_signal::RefreshSignal,
    store_table::{FleetTable, RowValue, StoreTable, TableFault, TableRow, TableRows},
    table_follower::{RowReader, TableFollower, TablePace},
};
use tokio::{
    sync::{mpsc, watch},
    time::{self, Instant},
};

pub const PACE: TablePace = TablePace {
    table: FleetTable::Targets,
    wait: Duration::from_secs(2),
    pause: Duration::from_millis(800),
};
/// Longer than any of these tests takes on the paused clock.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A call to the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    ReadAll,
    Follow(u64, Duration),
    Write(u64),
}

/// An answer of the table. When none is left, calls hang.
pub enum Answer {
    Rows(u64, Vec<TableRow>),
    Fault(TableFault),
    Written,
    Silent,
}

#[derive(Default)]
pub struct Script {
    pub answers: RefCell<VecDeque<Answer>>,
    pub calls: RefCell<Vec<(Call, Instant)>>,
}

impl Script {
    pub fn new(answers: impl IntoIterator<Item = Answer>) -> Rc<Self> {
        Rc::new(Self {
            answers: RefCell::new(answers.into_iter().collect()),
            calls: RefCell::default(),
        })
    }

    pub fn table(self: &Rc<Self>) -> Box<dyn StoreTable> {
        Box::new(ScriptedTable(Rc::clone(self)))
    }

    pub fn calls(&self) -> Vec<Call> {
        self.calls.borrow().iter().map(|(call, _)| call.clone()).collect()
    }

    fn next(&self, call: Call) -> Answer {
        self.calls.borrow_mut().push((call, Instant::now()));
        self.answers.borrow_mut().pop_front().unwrap_or(Answer::Silent)
    }
}

struct ScriptedTable(Rc<Script>);

impl ScriptedTable {
    async fn rows(&self, call: Call) -> Result<TableRows, TableFault> {
        match self.0.next(call) {
            Answer::Rows(version, rows) => Ok(TableRows { rows, version }),
            Answer::Fault(fault) => Err(fault),
            Answer::Written => panic!("the call must be a read, not a write"),
            Answer::Silent => future::pending().await,
        }
    }
}

impl StoreTable for ScriptedTable {
    fn read_all(&mut self, _limit: Duration) -> LocalFuture<'_, Result<TableRows, TableFault>> {
        Box::pin(self.rows(Call::ReadAll))
    }

    fn follow(
        &mut self,
        version: u64,
        wait: Duration,
        _limit: Duration,
    ) -> LocalFuture<'_, Result<TableRows, TableFault>> {
        Box::pin(self.rows(Call::Follow(version, wait)))
    }

    fn disconnect(&mut self) {}

    fn write<'a>(
        &'a mut self,
        _key: &'a str,
        expected: u64,
        _value: &'a [u8],
        _limit: Duration,
    ) -> LocalFuture<'a, Result<u64, TableFault>> {
        Box::pin(async move {
            match self.0.next(Call::Write(expected)) {
                Answer::Written => Ok(0),
                Answer::Fault(fault) => Err(fault),
                Answer::Rows(..) => panic!("the call must be a write, not a read"),
                Answer::Silent => future::pending().await,
            }
        })
    }
}

/// Reports the number of rows that it gets.
pub struct CountingReader;

impl RowReader for CountingReader {
    fn whole_table(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate> {
        vec![FleetUpdate::TargetsReached(rows.len() as u64)]
    }

    fn changed(&mut self, rows: Vec<TableRow>) -> Vec<FleetUpdate> {
        self.whole_table(rows)
    }

    fn source_lost(&mut self, lost: bool) -> Option<FleetUpdate> {
        let update = if lost { RegistryUpdate::SourceLost } else { RegistryUpdate::SourceBack };
        Some(FleetUpdate::Targets(update, 0))
    }
}

pub fn row(key: &str, version: u64) -> TableRow {
    TableRow { key: key.to_owned(), version, value: RowValue::Present(Bytes::from_static(b"mine")) }
}

pub fn failed() -> Answer {
    Answer::Fault(TableFault::Failed("refused".to_owned()))
}

/// Follows the table until the script has no answers left and `span` more has passed. Returns the
/// updates.
pub async fn follow(script: &Rc<Script>, span: Duration) -> Vec<String> {
    let (sender, mut updates) = mpsc::channel(64);
    let fleet_size = Rc::new(Cell::new(3));
    let channels = FeedChannels {
        updates: sender,
        refresh: Rc::new(RefreshSignal::default()),
        fleet_size,
        relay: FeedRelay::new().0,
        quarantines: watch::channel(Vec::new()).1,
        versions: watch::channel(Vec::new()).1,
        origins: watch::channel(Vec::new()).1,
        duties: watch::channel(Vec::new()).1,
    };
    let follower = TableFollower::new(script.table(), PACE, CountingReader, channels);
    let exhausted = async {
        while !script.answers.borrow().is_empty() {
            time::sleep(Duration::from_millis(10)).await;
        }
        time::sleep(span).await;
    };
    time::timeout(TEST_TIMEOUT, async {
        tokio::select! {
            () = follower.run() => panic!("the follower must not end"),
            () = exhausted => {}
        }
    })
    .await
    .expect("all answers must be used");
    drain_updates(&mut updates)
}

/// Returns the updates received so far.
pub fn drain_updates(updates: &mut mpsc::Receiver<FleetUpdate>) -> Vec<String> {
    let mut drained = Vec::new();
    while let Ok(update) = updates.try_recv() {
        drained.push(match update {
            FleetUpdate::TargetsReached(rows) => format!("{rows} rows"),
            FleetUpdate::Targets(update, _) => format!("{update:?}"),
            other => panic!("{other:?}"),
        });
    }
    drained
}
