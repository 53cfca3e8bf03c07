//! Values that take several rows.

#[path = "../src/store/wide_rows.rs"]
mod wide_rows;

use cornelpoint_platform::store::Row;
use cornelpoint_platform::store::RowKey;

const ROW_BYTES: usize = 100;

fn key(text: &str) -> RowKey {
    RowKey::new("table", "part", text)
}

fn stored(value: &[u8], version: u64) -> Vec<Row> {
    let rows = wide_rows::split(&key("a"), value, ROW_BYTES).into_iter();
    let rows = rows.map(|(key, value)| Row {
        key,
        value: Some(value),
        version,
    });
    rows.collect()
}

fn value(length: usize) -> Vec<u8> {
    (0..=250).cycle().take(length).collect()
}

#[test]
fn values_of_any_length_are_joined_again() {
    for length in [0, 1, 99, 100, 101, 194, 195, 1000] {
        let rows = stored(&value(length), 7);
        assert_eq!(rows.len(), wide_rows::row_count(length, ROW_BYTES));
        let mut sizes = rows.iter().map(|row| row.value.as_ref().unwrap().len());
        assert!(sizes.all(|bytes| bytes <= ROW_BYTES), "{length} bytes");
        let joined = wide_rows::join(rows);
        assert_eq!(joined.len(), 1);
        assert_eq!(joined[0].key, key("a"));
        assert_eq!(joined[0].value, Some(value(length)), "{length} bytes");
    }
}

/// The rows of a value sort between its key and the next one of that length.
#[test]
fn further_rows_follow_the_key_of_their_value() {
    let keys = stored(&value(1000), 7).into_iter().map(|row| row.key.key);
    let keys: Vec<String> = keys.collect();
    assert!(keys.is_sorted());
    assert_eq!(keys[0], "a");
    assert!(keys.last().unwrap().as_str() < "b");
}

/// A value whose rows were read from different transactions is none.
#[test]
fn rows_of_different_versions_are_not_joined() {
    let mut rows = stored(&value(250), 7);
    rows[1].version = 8;
    assert_eq!(wide_rows::join(rows)[0].value, None);
    let mut rows = stored(&value(250), 7);
    rows.remove(1);
    assert_eq!(wide_rows::join(rows)[0].value, None);
}

#[test]
fn rows_of_an_earlier_longer_value_are_left_out() {
    let mut rows = stored(&value(250), 7);
    rows[0] = stored(&value(20), 8).remove(0);
    let joined = wide_rows::join(rows);
    assert_eq!(joined.len(), 1);
    assert_eq!(joined[0].value, Some(value(20)));
}
