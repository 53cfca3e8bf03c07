use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::ownership::StoreAvailability;
use cornelpoint::ownership::StoreCallResult;
use cornelpoint_platform::call::Call;
use cornelpoint_platform::store::Row;
use cornelpoint_platform::store::Rows;
use cornelpoint_platform::store::Transaction;
use cornelpoint_platform::store::feed_call;
use cornelpoint_platform::store::parse_rows;
use cornelpoint_platform::store::read_call;
use cornelpoint_platform::store::transaction_call;
use slog::Logger;
use slog::info;
use slog::warn;

use super::partition_reader::PartitionReader;
use super::wide_rows;
use crate::clock;
use crate::http::CallError;
use crate::http::HttpEndpoint;
use crate::http::Response;
use crate::metrics::ProcessMetrics;

/// Timeout of a call; ten times the response time of a slow store. The rows of a
/// response may take longer, as long as they don't pause for this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of connections to the store: feeds hold some, other calls share
/// the rest.
const MAX_CONNECTIONS: usize = 24;
/// Rows in a response; the store's own limit.
const MAX_ROWS: usize = 500;
/// Size from which a response may have been cut to the store's limit of 1 MB: one
/// more row of 64 KiB, encoded, could exceed it.
const FULL_PAGE_BYTES: usize = 900_000;

/// Outcome label of a call that the store rejected because of its rate.
const THROTTLED: &str = "throttled";

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TransactionOutcome {
    /// Committed at this version.
    Committed { version: u64 },
    /// A condition does not hold; nothing was written. Contains the rows that
    /// the store returned.
    Conflict(Vec<Row>),
    /// Rejected or not sent; nothing was written.
    Refused,
    /// Rejected as invalid, and so would be any repeat; nothing was written.
    Invalid,
    /// No valid response; the transaction may have been committed, may still be
    /// committed later, or may never be.
    Unknown,
}

/// Outcome of a long poll for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FeedOutcome {
    /// Changes up to a version; may be empty. With `has_more`, there may be later
    /// ones already.
    Changes(Rows),
    /// The store no longer has the history after the given version; read the
    /// table in full.
    HistoryExpired,
    /// No valid response.
    Failed,
}

/// Client of the platform's store, shared by the whole process.
#[derive(Debug)]
pub(crate) struct StoreClient {
    endpoint: HttpEndpoint,
    metrics: Rc<ProcessMetrics>,
    log: Logger,
    availability: Cell<StoreAvailability>,
    last_failure: Cell<&'static str>,
    /// The store's clock at its last response, and the time of that response by
    /// the local monotonic clock.
    clock: Cell<(u64, u64)>,
}

impl StoreClient {
    pub(crate) fn new(address: &str, metrics: Rc<ProcessMetrics>, log: Logger) -> Self {
        Self {
            endpoint: HttpEndpoint::new(address, MAX_CONNECTIONS),
            metrics,
            log,
            availability: Cell::default(),
            last_failure: Cell::new(""),
            clock: Cell::new((0, 0)),
        }
    }

    /// Whether the store is available to this process.
    pub(crate) fn is_available(&self) -> bool {
        self.availability.get().is_available(clock::now().steady_ms)
    }

    /// Returns the end of the store's last outage, by the monotonic clock: 0 if
    /// there was none, `u64::MAX` if one may have begun.
    pub(crate) fn available_since_ms(&self) -> u64 {
        self.availability.get().available_since_ms()
    }

    /// Returns the outcome label of the last failed call of any task. Right after
    /// a failed call it is the label of that call, before the caller awaits again.
    pub(crate) fn last_failure(&self) -> &'static str {
        self.last_failure.get()
    }

    /// Estimates the store's monotonic clock now from its last response.
    pub(crate) fn clock_ms(&self) -> u64 {
        let (clock_ms, read_ms) = self.clock.get();
        clock_ms + clock::now().steady_ms.saturating_sub(read_ms)
    }

    fn update_clock(&self, rows: &Rows) {
        if rows.clock_ms > 0 {
            self.clock.set((rows.clock_ms, clock::now().steady_ms));
        }
    }

    pub(crate) async fn transact(&self, transaction: &Transaction) -> TransactionOutcome {
        let call = transaction_call(transaction);
        let sent_ms = clock::now().steady_ms;
        let started = Instant::now();
        let answer = self.endpoint.send(&call, CALL_TIMEOUT).await;
        self.metrics.observe_transaction(started.elapsed());
        let failure = failure_label(&answer);
        let written = transaction.writes.first().map(|(key, _)| key);
        let table = written.map_or("", |key| &key.table);
        let part = written.map(|key| key.part.as_str());
        match answer {
            Ok(answer) => match (answer.status, parse_rows(&answer.body)) {
                (200, Ok(rows)) => {
                    self.record_success();
                    self.update_clock(&rows);
                    TransactionOutcome::Committed {
                        version: rows.version,
                    }
                }
                (412, Ok(rows)) => {
                    self.record_success();
                    TransactionOutcome::Conflict(rows.rows)
                }
                (400 | 413, _) => {
                    warn!(self.log, "Transaction rejected as invalid."; "table" => table,
                        "part" => part, "rows" => transaction.writes.len(),
                        "bytes" => call.body.len());
                    self.record_success();
                    TransactionOutcome::Invalid
                }
                (429 | 503, _) => {
                    self.record_failure("transaction", failure, sent_ms, table, part);
                    TransactionOutcome::Refused
                }
                (status, _) => {
                    warn!(self.log, "Unexpected response to a transaction."; "status" => status);
                    self.record_failure("transaction", failure, sent_ms, table, part);
                    TransactionOutcome::Unknown
                }
            },
            Err(CallError::NotSent | CallError::Busy) => {
                self.record_failure("transaction", failure, sent_ms, table, part);
                TransactionOutcome::Refused
            }
            Err(CallError::NoAnswer) => {
                self.record_failure("transaction", failure, sent_ms, table, part);
                TransactionOutcome::Unknown
            }
        }
    }

    /// Reads all rows of a partition, page by page; `None` if a read fails.
    pub(crate) async fn read_all(&self, table: &'static str, part: &str) -> Option<Rows> {
        let mut reader = PartitionReader::new(table, part);
        reader.read(self).await.then(|| reader.into_rows())
    }

    /// Reads one value, which may be in several rows; `None` if the read fails,
    /// `Some(None)` if there is no such value.
    pub(crate) async fn read_value(
        &self,
        table: &str,
        part: &str,
        key: &str,
    ) -> Option<Option<Vec<u8>>> {
        let row = self.read_row(table, part, key).await?;
        let Some(first) = row.and_then(|row| row.value) else {
            return Some(None);
        };
        let count = wide_rows::stored_row_count(&first);
        if count == 1 {
            return Some(Some(first));
        }
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let rows = self
            .read(table, &read_call(table, part, key, count))
            .await?;
        let rows = wide_rows::join(rows.rows);
        let row = rows.into_iter().find(|row| row.key.key == key);
        // Without a value, it was replaced between the reads.
        Some(Some(row?.value?))
    }

    /// Reads one row; `None` if the read fails, `Some(None)` if there is no such
    /// row.
    pub(crate) async fn read_row(&self, table: &str, part: &str, key: &str) -> Option<Option<Row>> {
        let rows = self.read(table, &read_call(table, part, key, 1)).await?;
        Some(rows.rows.into_iter().find(|row| row.key.key == key))
    }

    pub(super) async fn read(&self, table: &str, call: &Call) -> Option<Rows> {
        let sent_ms = clock::now().steady_ms;
        let answer = self
            .endpoint
            .download(call, CALL_TIMEOUT, CALL_TIMEOUT)
            .await;
        let failure = failure_label(&answer);
        let rows = match answer {
            Ok(answer) if answer.status == 200 => parse_rows(&answer.body).ok(),
            _ => None,
        };
        if let Some(rows) = &rows {
            self.record_success();
            self.update_clock(rows);
        } else {
            self.record_failure("read", failure, sent_ms, table, None);
        }
        rows
    }

    /// Waits up to `wait_ms` for changes of a table after a version.
    pub(crate) async fn feed(&self, table: &str, after: u64, wait_ms: u64) -> FeedOutcome {
        let timeout = Duration::from_millis(wait_ms) + CALL_TIMEOUT;
        let sent_ms = clock::now().steady_ms;
        let call = feed_call(table, after, wait_ms);
        let answer = self.endpoint.download(&call, timeout, CALL_TIMEOUT).await;
        let failure = failure_label(&answer);
        match answer {
            Ok(answer) if answer.status == 200 => match parse_rows(&answer.body) {
                Ok(mut rows) => {
                    self.record_success();
                    self.update_clock(&rows);
                    // A feed may not say that its response was cut.
                    rows.has_more |=
                        rows.rows.len() >= MAX_ROWS || answer.body.len() >= FULL_PAGE_BYTES;
                    FeedOutcome::Changes(rows)
                }
                Err(error) => {
                    self.last_failure.set(failure);
                    warn!(self.log, "Changes can't be parsed."; "table" => table,
                        "error" => %error);
                    FeedOutcome::Failed
                }
            },
            Ok(answer) if answer.status == 410 => {
                info!(self.log, "History expired; reading the table in full."; "table" => table,
                    "after" => after);
                FeedOutcome::HistoryExpired
            }
            _ => {
                // The store need not respond before the end of the wait.
                let due_ms = clock::now().steady_ms.min(sent_ms + wait_ms);
                self.record_failure("feed", failure, due_ms, table, None);
                FeedOutcome::Failed
            }
        }
    }

    fn record_success(&self) {
        ProcessMetrics::count(&self.metrics.store_calls, "answered");
        let now_ms = clock::now().steady_ms;
        if let Some(away_ms) = self.record(StoreCallResult::Answered, now_ms) {
            info!(self.log, "Store available again."; "away_ms" => away_ms);
        }
    }

    /// Records a failed call that was sent at `sent_ms`; `part` is the partition of
    /// a transaction.
    fn record_failure(
        &self,
        call: &str,
        outcome: &'static str,
        sent_ms: u64,
        table: &str,
        part: Option<&str>,
    ) {
        self.last_failure.set(outcome);
        ProcessMetrics::count(&self.metrics.store_calls, outcome);
        if !self.availability.get().is_failing() {
            warn!(self.log, "Calls to the store are failing."; "what" => outcome,
                "call" => call, "table" => table, "part" => part);
        }
        let result = match outcome {
            THROTTLED => StoreCallResult::Throttled,
            _ => StoreCallResult::Failed,
        };
        self.record(result, sent_ms);
    }

    fn record(&self, result: StoreCallResult, sent_ms: u64) -> Option<u64> {
        let mut availability = self.availability.get();
        let away_ms = availability.record(result, sent_ms, clock::now().steady_ms);
        self.availability.set(availability);
        away_ms
    }
}

/// Returns the outcome label of a call whose response can't be used.
fn failure_label(answer: &Result<Response, CallError>) -> &'static str {
    match answer {
        Ok(answer) => match answer.status {
            200 => "malformed",
            429 => THROTTLED,
            503 => "refused",
            _ => "unexpected",
        },
        Err(CallError::NotSent) => "no connection",
        Err(CallError::Busy) => "no connection free",
        Err(CallError::NoAnswer) => "no answer",
    }
}
