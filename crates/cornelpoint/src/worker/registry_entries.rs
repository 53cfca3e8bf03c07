use std::collections::HashMap;

use super::registry_entry::RegistryEntry;

/// The entries of a registry, kept up to date by the changes since the last reading.
///
/// A fleet of hundreds of workers has more entries than change between two readings,
/// so that reading only the changes takes a fraction of the traffic.
///
/// ```
/// use cornelpoint::worker::RegistryEntries;
/// use cornelpoint::worker::RegistryEntry;
///
/// let entry = |id: &str| RegistryEntry {
///     id: id.to_owned(),
///     ..RegistryEntry::default()
/// };
/// let mut entries = RegistryEntries::default();
/// entries.insert(entry("w-1"));
/// entries.insert(entry("w-2"));
/// entries.remove("w-1");
/// assert_eq!(entries.as_slice(), [entry("w-2")]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RegistryEntries {
    entries: Vec<RegistryEntry>,
    /// Position of each entry, by its identifier.
    positions: HashMap<String, usize>,
}

impl RegistryEntries {
    /// Adds an entry, or replaces the one of the same identifier.
    pub fn insert(&mut self, entry: RegistryEntry) {
        if let Some(&position) = self.positions.get(&entry.id) {
            self.entries[position] = entry;
        } else {
            self.positions.insert(entry.id.clone(), self.entries.len());
            self.entries.push(entry);
        }
    }

    /// Removes the entry of an identifier, if there is one.
    pub fn remove(&mut self, id: &str) {
        let Some(position) = self.positions.remove(id) else {
            return;
        };
        self.entries.swap_remove(position);
        if let Some(moved) = self.entries.get(position) {
            self.positions.insert(moved.id.clone(), position);
        }
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.positions.clear();
    }

    /// Returns all entries, in no particular order.
    #[must_use]
    pub fn as_slice(&self) -> &[RegistryEntry] {
        &self.entries
    }
}
