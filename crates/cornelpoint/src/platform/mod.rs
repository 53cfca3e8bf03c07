//! Messages of the platform's table service, object store and instance list.
//!
//! Bodies are sent as `MessagePack` (`rmp-serde`, named fields) over HTTP:
//! `POST /table/transact`, `POST /table/read`, `POST /table/scan`,
//! `PUT` and `GET /objects/NAME`, `GET /instances`.

mod instance_list;
mod table;

pub use self::instance_list::InstanceList;
pub use self::instance_list::InstanceState;
pub use self::instance_list::ListedInstance;
pub use self::table::Condition;
pub use self::table::Key;
pub use self::table::Row;
pub use self::table::Scan;
pub use self::table::Transaction;
pub use self::table::TransactionOutcome;
pub use self::table::Write;
