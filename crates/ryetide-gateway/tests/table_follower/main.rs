//! Following a table of a store that does as it likes; no network, and time that is paused.

mod eras;
mod leaving;
mod model_store;
mod nudges;
mod rests;
mod support;

use std::time::Duration;

use bytes::Bytes;
use rand::{SeedableRng, rngs::SmallRng};
use ryetide_gateway::{
    store_table::{RowValue, TableFault, TableRow},
    table_follower,
};
use support::{Answer, Call, PACE, Script, failed, follow, row};
use tokio::time::Instant;

/// After a loss of its history the store answers from the past. What it says then is not told, or a
/// replaced version would serve callers again; the next true reading is.
#[tokio::test(start_paused = true)]
async fn a_reading_from_the_past_is_passed_over() {
    let script = Script::new([
        Answer::Rows(9, vec![row("a", 8), row("b", 9)]),
        Answer::Fault(TableFault::HistoryGone),
        Answer::Rows(4, vec![row("a", 4)]),
        Answer::Rows(5, vec![row("a", 4)]),
        Answer::Rows(11, vec![row("a", 8), row("b", 10), row("c", 11)]),
    ]);
    let told = follow(&script, Duration::ZERO).await;
    assert_eq!(told, ["2 rows", "3 rows"]);
    let calls = script.calls();
    assert_eq!(calls[1], Call::Follow(9, PACE.wait));
    assert_eq!(calls[2..5], [Call::ReadAll, Call::ReadAll, Call::ReadAll]);
}

/// The store is away for several calls. That is told once, and so is its return; until it is back
/// it is asked for short waits only, since it may fall silent again.
#[tokio::test(start_paused = true)]
async fn the_loss_and_the_return_are_told_once_each() {
    let script = Script::new([
        Answer::Rows(3, vec![row("a", 3)]),
        failed(),
        failed(),
        failed(),
        Answer::Rows(3, Vec::new()),
        Answer::Silent,
    ]);
    let told = follow(&script, Duration::ZERO).await;
    assert_eq!(told, ["1 rows", "SourceLost", "SourceBack"]);
    let waits: Vec<Call> = script.calls()[1..].to_vec();
    let short = Call::Follow(3, Duration::from_secs(1));
    let long = Call::Follow(3, PACE.wait);
    assert_eq!(waits, [long.clone(), short.clone(), short.clone(), short, long]);
}

/// The store was lost and is back. For some seconds an entry that is missing may be of a target
/// that lives, and is kept for a while; so what is missing must be known soon, or one that has
/// truly left gets new work for too long. Later the changes are told together again.
#[tokio::test(start_paused = true)]
async fn changes_are_told_sooner_after_the_store_was_lost() {
    let changes = |versions: std::ops::Range<u64>| {
        versions.map(|version| Answer::Rows(version, vec![row("a", version)]))
    };
    let calm = Script::new(changes(1..12));
    follow(&calm, Duration::ZERO).await;
    let lost = [Answer::Rows(1, vec![row("a", 1)]), failed()];
    let back = Script::new(lost.into_iter().chain(changes(2..32)));
    follow(&back, Duration::ZERO).await;
    let gaps = |script: &Script, from: usize| -> Vec<Duration> {
        let calls = script.calls.borrow();
        calls[from..].windows(2).map(|pair| pair[1].1 - pair[0].1).collect()
    };
    assert!(gaps(&calm, 1).iter().all(|gap| *gap >= PACE.pause));
    let after = gaps(&back, 2);
    let soon = after.iter().take_while(|gap| **gap <= Duration::from_millis(250)).count();
    assert!(soon >= 15, "{after:?}");
    assert!(after[soon..].iter().all(|gap| *gap >= PACE.pause), "{after:?}");
    assert!(after.len() > soon, "{after:?}");
}

/// An answer of no changes may tell a version from before; the next call must not go back to it.
#[tokio::test(start_paused = true)]
async fn an_answer_without_changes_takes_nothing_back() {
    let script = Script::new([
        Answer::Rows(7, vec![row("a", 7)]),
        Answer::Rows(0, Vec::new()),
        Answer::Silent,
    ]);
    follow(&script, Duration::ZERO).await;
    assert_eq!(script.calls()[2], Call::Follow(7, PACE.wait));
}

/// A VM that restarts meets the row of its last life, and then its own, written by a call whose
/// answer was lost: both end the trying as they should.
#[tokio::test(start_paused = true)]
async fn a_row_of_an_earlier_life_is_written_over() {
    let old = TableRow { value: RowValue::Present(Bytes::from_static(b"old")), ..row("e1", 5) };
    let script = Script::new([
        Answer::Fault(TableFault::Conflict(Some(old))),
        failed(),
        Answer::Fault(TableFault::Conflict(Some(row("e1", 6)))),
    ]);
    table_follower::keep_row(&mut *script.table(), "e1", 0, b"mine").await;
    assert_eq!(script.calls(), [Call::Write(0), Call::Write(5), Call::Write(5)]);
}

/// A store that tells of conflicts without the row gives nothing new to try with. It is asked again
/// after pauses: without them one VM would put hundreds of calls a second to it, for all others
/// too.
#[tokio::test(start_paused = true)]
async fn a_conflict_that_tells_nothing_is_not_answered_at_once() {
    let conflicts = (0..10).map(|_| Answer::Fault(TableFault::Conflict(None)));
    let script = Script::new(conflicts.chain([Answer::Written]));
    let begun = Instant::now();
    table_follower::keep_row(&mut *script.table(), "e1", 0, b"mine").await;
    assert_eq!(script.calls().len(), 11);
    assert!(begun.elapsed() > Duration::from_secs(2), "{:?}", begun.elapsed());
}

/// In a small fleet a VM relies on itself to find out that its call has gone silent. In a large one
/// each asks less often, at moments of its own: the calls are paid for, and one that finds out
/// tells the others.
#[test]
fn waits_grow_with_the_fleet_and_are_spread() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut draw = |fleet_size| -> Vec<Duration> {
        (0..100).map(|_| PACE.draw_wait(fleet_size, &mut rng)).collect()
    };
    assert!(draw(9).iter().all(|wait| *wait == PACE.wait), "all are needed to find out");
    let large = draw(70);
    let (least, most) = (large.iter().min().expect("some"), large.iter().max().expect("some"));
    assert!(*least >= PACE.wait && *most <= Duration::from_millis(4_900), "{least:?} {most:?}");
    assert!(*most - *least > Duration::from_secs(2), "{least:?} {most:?}");
    assert!(draw(10_000).iter().all(|wait| *wait <= Duration::from_secs(20)));
}
