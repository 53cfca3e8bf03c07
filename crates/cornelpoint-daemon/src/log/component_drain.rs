use slog::Drain;
use slog::Level;
use slog::OwnedKVList;
use slog::Record;
use slog::RecordStatic;

use super::component::Component;

/// Prefixes each message with the name of a component.
#[derive(Clone, Debug)]
pub(super) struct ComponentDrain<D> {
    /// Component whose name is the prefix.
    pub(super) component: Component,
    /// Drain that receives the prefixed records.
    pub(super) next: D,
}

impl<D: Drain> Drain for ComponentDrain<D> {
    type Ok = D::Ok;
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<D::Ok, D::Err> {
        let unchanged = RecordStatic {
            location: record.location(),
            tag: record.tag(),
            level: record.level(),
        };
        let message = format_args!("{}: {}", self.component, record.msg());
        self.next
            .log(&Record::new(&unchanged, &message, record.kv()), values)
    }

    fn is_enabled(&self, level: Level) -> bool {
        self.next.is_enabled(level)
    }
}
