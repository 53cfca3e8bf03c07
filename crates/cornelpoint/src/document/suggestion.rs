/// Most edits between a name and the known name that is suggested for it.
const MAX_EDITS: usize = 3;

/// The known name that is nearest to the name found, if one is near.
///
/// ```
/// use cornelpoint::document::nearest;
///
/// assert_eq!(nearest("qouting", ["design", "quoting"]), Some("quoting"));
/// assert_eq!(nearest("ledger", ["design", "quoting"]), None);
/// ```
#[must_use]
pub fn nearest<'a>(found: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|name| (edits(found, name), name))
        .filter(|(count, name)| *count <= MAX_EDITS && *count * 2 <= name.len())
        .min()
        .map(|(_, name)| name)
}

/// Single-character edits (insert, remove, replace) that lead from one text to the other.
fn edits(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut row: Vec<usize> = (0..=to.len()).collect();
    for (index, from_char) in from.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, to_char) in to.iter().enumerate() {
            let replace = diagonal + usize::from(from_char != *to_char);
            diagonal = row[column + 1];
            row[column + 1] = replace.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[to.len()]
}
