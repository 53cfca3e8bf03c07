use std::collections::HashMap;

use crate::worker::RegistryEntry;

/// Latest starts that the registry lists, by worker and by machine.
#[derive(Debug, Default)]
pub(super) struct NewestIncarnations<'a> {
    by_worker: HashMap<&'a str, u64>,
    by_machine: HashMap<&'a str, u64>,
}

impl<'a> NewestIncarnations<'a> {
    pub(super) fn new(entries: &[&'a RegistryEntry]) -> Self {
        let mut newest = Self::default();
        for entry in entries {
            let born_unix_ms = entry.born_unix_ms;
            raise(&mut newest.by_worker, &entry.id, born_unix_ms);
            if let Some(machine) = &entry.machine {
                raise(&mut newest.by_machine, machine, born_unix_ms);
            }
        }
        newest
    }

    /// Whether an incarnation has ended, since its worker or its machine has
    /// started a later one: a machine runs one incarnation at a time.
    pub(super) fn supersede(&self, worker: &str, machine: Option<&str>, born_unix_ms: u64) -> bool {
        let of_worker = self.by_worker.get(worker);
        let of_machine = machine.and_then(|machine| self.by_machine.get(machine));
        let latest_ms = of_worker.max(of_machine).copied().unwrap_or(0);
        born_unix_ms != 0 && latest_ms > born_unix_ms
    }
}

fn raise<'a>(latest: &mut HashMap<&'a str, u64>, name: &'a str, born_unix_ms: u64) {
    let entry = latest.entry(name).or_default();
    *entry = born_unix_ms.max(*entry);
}
