use serde::Deserialize;
use serde::Serialize;

use crate::name::AvailabilityZone;
use crate::name::InstanceId;
use crate::name::PoolName;

/// Settings of a [`Borrower`](super::Borrower).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowerSettings {
    /// The gateway.
    pub gateway: InstanceId,
    /// Count of the gateway's starts; a higher one is newer.
    pub incarnation: u64,
    /// The pool.
    pub pool: PoolName,
    /// The availability zone whose endpoints are used.
    pub availability_zone: AvailabilityZone,
    /// Shortest time from one message to the next, in milliseconds.
    pub min_interval_ms: u64,
    /// Time after a failed exchange before the next, in milliseconds.
    pub retry_interval_ms: u64,
    /// Time for which a slot is kept unused, in milliseconds.
    pub idle_return_ms: u64,
    /// Requests run at once at each endpoint while no holder answers; zero
    /// for endpoints in another availability zone.
    pub fallback_slots: u32,
    /// Time without any answer before the fallback begins, in milliseconds.
    pub fallback_after_ms: u64,
}

impl BorrowerSettings {
    /// Settings for a gateway's own availability zone, with a fallback.
    #[must_use]
    pub fn for_own_zone(
        gateway: InstanceId,
        incarnation: u64,
        pool: PoolName,
        availability_zone: AvailabilityZone,
    ) -> Self {
        Self {
            gateway,
            incarnation,
            pool,
            availability_zone,
            min_interval_ms: 5,
            retry_interval_ms: 50,
            idle_return_ms: 50,
            fallback_slots: 2,
            fallback_after_ms: 900,
        }
    }

    /// Settings for another availability zone, without a fallback.
    ///
    /// ```
    /// use cornelpoint::name::AvailabilityZone;
    /// use cornelpoint::name::InstanceId;
    /// use cornelpoint::name::PoolName;
    /// use cornelpoint::slots::BorrowerSettings;
    ///
    /// let settings = BorrowerSettings::for_other_zone(
    ///     InstanceId::try_from("entry-1").unwrap(),
    ///     1,
    ///     PoolName::try_from("quoting").unwrap(),
    ///     AvailabilityZone::try_from("b").unwrap(),
    /// );
    /// assert_eq!(settings.fallback_slots, 0);
    /// ```
    #[must_use]
    pub fn for_other_zone(
        gateway: InstanceId,
        incarnation: u64,
        pool: PoolName,
        availability_zone: AvailabilityZone,
    ) -> Self {
        Self {
            fallback_slots: 0,
            ..Self::for_own_zone(gateway, incarnation, pool, availability_zone)
        }
    }
}
