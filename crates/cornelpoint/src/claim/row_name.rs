use super::key::ClaimKey;
use super::period::Period;
use crate::name::ServiceName;
use crate::platform::Key;

/// Name of a claim's row, the same in all periods' tables: service and
/// idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimRowName {
    row: String,
}

impl ClaimRowName {
    /// Creates the row name `SERVICE/KEY`.
    ///
    /// ```
    /// use cornelpoint::claim::ClaimKey;
    /// use cornelpoint::claim::ClaimRowName;
    /// use cornelpoint::claim::Period;
    /// use cornelpoint::name::ServiceName;
    ///
    /// let service = ServiceName::try_from("controller").unwrap();
    /// let key = ClaimKey::try_from("order-17").unwrap();
    /// let row_name = ClaimRowName::new(&service, &key);
    /// assert_eq!(row_name.key_in(Period::at(0)).row, "controller/order-17");
    /// ```
    #[must_use]
    pub fn new(service: &ServiceName, key: &ClaimKey) -> Self {
        Self {
            row: format!("{service}/{key}"),
        }
    }

    /// Returns the key of the row in one period's table.
    #[must_use]
    pub fn key_in(&self, period: Period) -> Key {
        Key {
            table: period.table(),
            row: self.row.clone(),
        }
    }

    /// Returns the keys of the rows that may hold the claim: in the tables of
    /// the given period, the previous and the next one.
    #[must_use]
    pub fn keys_around(&self, period: Period) -> Vec<Key> {
        period.window().iter().map(|p| self.key_in(*p)).collect()
    }

    /// Returns whether a key has this row name, in whichever table.
    #[must_use]
    pub fn matches(&self, key: &Key) -> bool {
        self.row == key.row
    }
}
