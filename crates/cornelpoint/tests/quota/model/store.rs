use cornelpoint::quota::QuotaReply;
use cornelpoint::quota::QuotaRow;
use cornelpoint::quota::QuotaTable;
use cornelpoint::quota::QuotaWrite;

/// The row of the allotments.
#[derive(Default)]
pub(super) struct Store {
    pub(super) version: u64,
    table: QuotaTable,
    pub(super) committed: usize,
}

impl Store {
    pub(super) fn read(&self) -> QuotaRow {
        QuotaRow {
            version: self.version,
            table: Some(self.table.clone()),
        }
    }

    /// Carries out a write if its condition holds.
    pub(super) fn write(&mut self, write: &QuotaWrite) -> QuotaReply {
        if write.expected_version != self.version {
            return QuotaReply::Row(self.read());
        }
        self.version += 1;
        self.committed += 1;
        self.table = write.table.clone();
        QuotaReply::Committed {
            version: self.version,
        }
    }
}
