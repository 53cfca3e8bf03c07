use cornelpoint::configuration::CONFIGURATION_TABLE;
use cornelpoint::configuration::HistoryEntry;
use cornelpoint::configuration::history_prefix;
use cornelpoint::platform::Scan;

use super::operator::Operator;
use crate::caller_edge::Answer;
use crate::control::json_reply;
use crate::control::text_reply;

/// Maximum number of entries that one request reads.
const MAX_HISTORY_ROWS: u32 = 100_000;

/// Handles `GET /operator/history`: returns the accepted generations, newest
/// first.
pub(super) fn answer(operator: &Operator) -> Answer {
    let scan = Scan {
        table: CONFIGURATION_TABLE.to_owned(),
        prefix: history_prefix(&operator.workspace),
        limit: MAX_HISTORY_ROWS,
    };
    let rows = match operator.platform.scan(&scan) {
        Ok(rows) => rows,
        Err(error) => return text_reply(503, &error.to_string()),
    };
    let entries: Result<Vec<HistoryEntry>, _> =
        rows.iter().rev().map(HistoryEntry::decode).collect();
    match entries {
        Ok(entries) => json_reply(&entries),
        Err(error) => text_reply(500, &error.to_string()),
    }
}
