//! Operators' actions at a keeper, one file per action.
//!
//! | request | body | answer |
//! |---|---|---|
//! | `POST /operator/accept` | `AcceptRequest` | `AcceptOutcome` |
//! | `GET /operator/configuration` | | the newest configuration in the table |
//! | `GET /operator/history` | | list of `HistoryEntry`, the newest first |
//! | `POST /operator/drain`, `POST /operator/undrain` | [`MarkRequest`] | [`MarkReply`] |
//! | `POST /operator/drained` | [`DrainRequest`] | `DrainReport` |
//! | `GET /operator/status` | | `KeeperStatus` |

mod accept;
mod configuration;
mod drained;
mod history;
mod mark;
#[expect(
    clippy::module_inception,
    reason = "the module is named after its main type"
)]
mod operator;

pub use self::drained::DrainRequest;
pub use self::mark::MarkReply;
pub use self::mark::MarkRequest;
pub(super) use self::operator::Operator;
