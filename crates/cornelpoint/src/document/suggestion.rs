/// Maximum edit distance between a name and the known name suggested for it.
const MAX_EDITS: usize = 3;

/// Returns the known name with the smallest edit distance to the name found.
///
/// Returns `None` if each known name is more than `MAX_EDITS` edits or more
/// than half its own length away.
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
        .map(|name| (edit_distance(found, name), name))
        .filter(|(count, name)| *count <= MAX_EDITS && *count * 2 <= name.len())
        .min()
        .map(|(_, name)| name)
}

/// Returns the Levenshtein distance: the least number of single-character
/// insertions, removals and replacements that turn one string into the other.
fn edit_distance(from: &str, to: &str) -> usize {
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
