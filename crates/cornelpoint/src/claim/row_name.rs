use super::key::ClaimKey;
use super::period::Period;
use crate::name::ServiceName;
use crate::platform::Key;

/// Name of a claim's row: the service and the caller's key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimRowName {
    row: String,
}

impl ClaimRowName {
    /// The row for a service and a key.
    ///
    /// ```
    /// use cornelpoint::claim::ClaimKey;
    /// use cornelpoint::claim::ClaimRowName;
    /// use cornelpoint::claim::Period;
    /// use cornelpoint::name::ServiceName;
    ///
    /// let service = ServiceName::try_from("controller").unwrap();
    /// let key = ClaimKey::try_from("order-17").unwrap();
    /// let place = ClaimRowName::new(&service, &key);
    /// assert_eq!(place.key_in(Period::at(0)).row, "controller/order-17");
    /// ```
    #[must_use]
    pub fn new(service: &ServiceName, key: &ClaimKey) -> Self {
        Self {
            row: format!("{service}/{key}"),
        }
    }

    /// The row in one period's table.
    #[must_use]
    pub fn key_in(&self, period: Period) -> Key {
        Key {
            table: period.table(),
            row: self.row.clone(),
        }
    }

    /// The rows in which a claim may stand.
    #[must_use]
    pub fn keys_around(&self, period: Period) -> Vec<Key> {
        period.window().iter().map(|p| self.key_in(*p)).collect()
    }

    /// Whether a row is one of this place.
    #[must_use]
    pub fn holds(&self, key: &Key) -> bool {
        self.row == key.row
    }
}
