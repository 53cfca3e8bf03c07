use crate::configuration::Configuration;
use crate::configuration::Generation;
use crate::configuration::record::Head;
use crate::configuration::record::HistoryEntry;
use crate::configuration::record::RecordError;
use crate::configuration::record::body_key;
use crate::configuration::record::decode_body;
use crate::configuration::record::head_key;
use crate::configuration::record::history_key;
use crate::name::WorkspaceName;
use crate::platform::Key;
use crate::platform::Row;

/// Rows that an accept read, decoded on access.
pub(super) struct ReadRows<'a> {
    pub(super) workspace: &'a WorkspaceName,
    pub(super) rows: &'a [Row],
}

impl ReadRows<'_> {
    pub(super) fn head(&self) -> Result<Option<Head>, RecordError> {
        self.row(&head_key(self.workspace))
            .map(Head::decode)
            .transpose()
    }

    pub(super) fn head_version(&self) -> Option<u64> {
        self.row(&head_key(self.workspace)).map(|row| row.version)
    }

    pub(super) fn history(
        &self,
        generation: Generation,
    ) -> Result<Option<HistoryEntry>, RecordError> {
        let row = self.row(&history_key(self.workspace, generation));
        row.map(HistoryEntry::decode).transpose()
    }

    pub(super) fn body(
        &self,
        generation: Generation,
    ) -> Result<Option<Configuration>, RecordError> {
        let row = self.row(&body_key(self.workspace, generation));
        row.map(decode_body).transpose()
    }

    fn row(&self, key: &Key) -> Option<&Row> {
        self.rows.iter().find(|row| row.key == *key)
    }
}
