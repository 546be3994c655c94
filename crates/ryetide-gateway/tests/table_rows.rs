//! Reduction of a table's history to the latest state of each row.

use bytes::Bytes;
use ryetide_gateway::{
    store_table::{RowValue, TableRow},
    table_follower,
};

fn change(key: &str, version: u64, value: Option<&'static str>) -> TableRow {
    let value = value.map_or(RowValue::Dropped, |text| RowValue::Present(Bytes::from(text)));
    TableRow { key: key.to_owned(), version, value }
}

/// Guards against a VM that was cut off from the store, receives two versions of the configuration
/// at once, and applies the first, which was already replaced.
#[test]
fn the_last_of_several_changes_is_used() {
    let changes = vec![
        change("config", 5, Some("first")),
        change("other", 6, Some("kept")),
        change("config", 7, Some("second")),
    ];
    let last = table_follower::last_states(changes);
    let expected = vec![change("other", 6, Some("kept")), change("config", 7, Some("second"))];
    assert_eq!(last, expected);
}

/// Guards against a target that counts as gone although its entry, which expired while the VM was
/// cut off, has been written again.
#[test]
fn an_entry_that_was_deleted_and_written_again_is_present() {
    let changes = vec![change("t1", 5, None), change("t1", 6, Some("ready"))];
    assert_eq!(table_follower::last_states(changes), vec![change("t1", 6, Some("ready"))]);
}
