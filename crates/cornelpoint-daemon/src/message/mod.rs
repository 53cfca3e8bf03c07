//! Messages between gateways and keepers, and between keepers.
//!
//! | path | request | answer |
//! |---|---|---|
//! | `/peer/view` | [`ViewRequest`] | [`View`] |
//! | `/peer/slots` | [`SlotExchange`] | [`SlotExchangeReply`] |
//! | `/peer/sync` | [`SyncRequest`] | [`SyncReply`] |
//! | `/peer/push` | `Update` | nothing |
//! | `/peer/sign` | [`EndpointSign`] | nothing |
//! | `/peer/status` | nothing | [`KeeperStatus`] |
//! | `/peer/drained` | instance | [`DrainReport`] |

mod drain_report;
mod keeper_status;
mod slot_exchange;
mod view;

pub use self::drain_report::DrainReport;
pub use self::drain_report::EndpointSign;
pub use self::keeper_status::GatewayStatus;
pub use self::keeper_status::KeeperStatus;
pub use self::slot_exchange::SlotAnswer;
pub use self::slot_exchange::SlotExchange;
pub use self::slot_exchange::SlotExchangeReply;
pub use self::view::SyncReply;
pub use self::view::SyncRequest;
pub use self::view::View;
pub use self::view::ViewRequest;
