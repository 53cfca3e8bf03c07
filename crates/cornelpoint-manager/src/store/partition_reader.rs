use cornelpoint_platform::store::Row;
use cornelpoint_platform::store::Rows;
use cornelpoint_platform::store::read_call;

use super::store_client::StoreClient;
use super::wide_rows;

/// Rows per read; the store's own limit.
const MAX_ROWS_PER_READ: u32 = 500;
/// Rows per read after several failures, so that some get through.
const MIN_ROWS_PER_READ: u32 = 8;

/// Reads all rows of a partition, page by page. After a failure it goes on behind the
/// last page that was read.
#[derive(Debug)]
pub(crate) struct PartitionReader {
    table: &'static str,
    part: String,
    rows: Vec<Row>,
    /// Version as of the first page: changes after it are repeated by the feed.
    version: u64,
    from: String,
    rows_per_read: u32,
    complete: bool,
}

impl PartitionReader {
    pub(crate) fn new(table: &'static str, part: &str) -> Self {
        Self {
            table,
            part: part.to_owned(),
            rows: Vec::new(),
            version: 0,
            from: String::new(),
            rows_per_read: MAX_ROWS_PER_READ,
            complete: false,
        }
    }

    /// Reads the next page; `None` if the read fails. Its rows are not kept.
    pub(crate) async fn read_page(&mut self, store: &StoreClient) -> Option<Rows> {
        if !self.read_next(store).await {
            return None;
        }
        Some(Rows {
            rows: std::mem::take(&mut self.rows),
            version: self.version,
            has_more: !self.complete,
            ..Rows::default()
        })
    }

    /// Whether all rows have been read.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Reads the pages that are left. Returns `false` if a read fails.
    pub(crate) async fn read(&mut self, store: &StoreClient) -> bool {
        while !self.complete {
            if !self.read_next(store).await {
                return false;
            }
        }
        true
    }

    /// Reads the next page. Returns `false` if the read fails.
    async fn read_next(&mut self, store: &StoreClient) -> bool {
        let call = read_call(self.table, &self.part, &self.from, self.rows_per_read);
        let Some(page) = store.read(self.table, &call).await else {
            self.rows_per_read = (self.rows_per_read / 2).max(MIN_ROWS_PER_READ);
            return false;
        };
        if self.version == 0 {
            self.version = page.version;
        }
        // The smallest key after the last one read.
        let last = page.rows.last();
        self.from = last.map_or(String::new(), |row| format!("{}\0", row.key.key));
        self.rows.extend(page.rows);
        self.complete = !page.has_more || self.from.is_empty();
        true
    }

    /// Returns the number of rows read so far.
    pub(crate) fn row_count(&self) -> usize {
        self.rows.len()
    }

    /// Returns the rows as they are in the store.
    pub(crate) fn into_rows(self) -> Rows {
        Rows {
            rows: self.rows,
            version: self.version,
            ..Rows::default()
        }
    }

    /// Returns the values, which may take several rows.
    pub(crate) fn into_values(self) -> Rows {
        let rows = self.into_rows();
        Rows {
            rows: wide_rows::join(rows.rows),
            ..rows
        }
    }
}
