//! Rows of a store as its history tells them.

use bytes::Bytes;
use ryetide_gateway::{
    store_table::{RowValue, TableRow},
    table_follower,
};

fn change(key: &str, version: u64, value: Option<&'static str>) -> TableRow {
    let value = value.map_or(RowValue::Dropped, |text| RowValue::Present(Bytes::from(text)));
    TableRow { key: key.to_owned(), version, value }
}

/// A VM that was cut off from the store hears of two versions of the configuration at once. Callers
/// must be served by the second: the first was replaced before the VM heard of either.
#[test]
fn the_last_of_several_changes_counts() {
    let changes = vec![
        change("config", 5, Some("first")),
        change("other", 6, Some("kept")),
        change("config", 7, Some("second")),
    ];
    let last = table_follower::last_states(changes);
    let expected = vec![change("other", 6, Some("kept")), change("config", 7, Some("second"))];
    assert_eq!(last, expected);
}

/// A target's entry lapses and is written anew while nobody could listen. It must not count as gone.
#[test]
fn an_entry_that_came_back_is_there() {
    let changes = vec![change("t1", 5, None), change("t1", 6, Some("ready"))];
    assert_eq!(table_follower::last_states(changes), vec![change("t1", 6, Some("ready"))]);
}
