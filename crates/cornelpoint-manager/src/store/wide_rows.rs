//! Values that don't fit a row are stored in several. The first row has the key of the
//! value; it begins with a marker and the number of rows. The others follow directly in
//! a table whose keys have one length. One transaction writes them all, so that they
//! have the same version.

use std::collections::HashMap;

use cornelpoint_platform::store::Row;
use cornelpoint_platform::store::RowKey;

/// First byte of a value in several rows; `MessagePack` never uses it.
const MARKER: u8 = 0xc1;
/// Length of the marker and the number of rows.
const HEADER_BYTES: usize = 3;
/// Separates the key of a value from the number of a further row. It sorts behind all
/// characters of keys.
const SEPARATOR: char = '~';

/// Returns the number of rows that a value takes.
pub(super) fn row_count(value_bytes: usize, row_bytes: usize) -> usize {
    if value_bytes <= row_bytes {
        1
    } else {
        value_bytes.div_ceil(row_bytes - HEADER_BYTES)
    }
}

/// Returns the key of a row of a value; row 0 has the value's own key.
pub(super) fn row_key(key: &RowKey, number: usize) -> RowKey {
    match number {
        0 => key.clone(),
        _ => RowKey {
            key: format!("{}{SEPARATOR}{number:05}", key.key),
            ..key.clone()
        },
    }
}

/// Splits a value into rows of at most `row_bytes`.
pub(super) fn split(key: &RowKey, value: &[u8], row_bytes: usize) -> Vec<(RowKey, Vec<u8>)> {
    let count = row_count(value.len(), row_bytes);
    let Some(stored_count) = u16::try_from(count).ok().filter(|_| count > 1) else {
        return vec![(key.clone(), value.to_vec())];
    };
    let chunks = value.chunks(row_bytes - HEADER_BYTES).enumerate();
    let rows = chunks.map(|(number, chunk)| {
        let mut row = Vec::with_capacity(row_bytes);
        if number == 0 {
            row.push(MARKER);
            row.extend(stored_count.to_be_bytes());
        }
        row.extend_from_slice(chunk);
        (row_key(key, number), row)
    });
    rows.collect()
}

/// Returns the number of rows of the value whose first row this is.
pub(super) fn stored_row_count(first: &[u8]) -> usize {
    match first {
        [MARKER, high, low, ..] => usize::from(u16::from_be_bytes([*high, *low])),
        _ => 1,
    }
}

/// Joins the rows of each value. Further rows without a value are left out, as those of
/// an earlier, longer one are. A value of which a row is missing or of another version
/// is `None`.
pub(super) fn join(rows: Vec<Row>) -> Vec<Row> {
    let mut further: HashMap<RowKey, Row> = HashMap::new();
    let mut first_rows = Vec::with_capacity(rows.len());
    for row in rows {
        if row.key.key.contains(SEPARATOR) {
            further.insert(row.key.clone(), row);
        } else {
            first_rows.push(row);
        }
    }
    for row in &mut first_rows {
        let Some(first) = row.value.take() else {
            continue;
        };
        row.value = match stored_row_count(&first) {
            1 => Some(first),
            count => join_one(&row.key, row.version, &first, count, &further),
        };
    }
    first_rows
}

fn join_one(
    key: &RowKey,
    version: u64,
    first: &[u8],
    count: usize,
    further: &HashMap<RowKey, Row>,
) -> Option<Vec<u8>> {
    let mut value = first[HEADER_BYTES..].to_vec();
    for number in 1..count {
        let row = further.get(&row_key(key, number))?;
        if row.version != version {
            return None;
        }
        value.extend(row.value.as_deref()?);
    }
    Some(value)
}
