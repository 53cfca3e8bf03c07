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
    /// Incarnation of the gateway process: its start time, in milliseconds
    /// since the Unix epoch. A higher value is newer.
    pub incarnation: u64,
    /// The pool.
    pub pool: PoolName,
    /// The availability zone whose slots are borrowed.
    pub availability_zone: AvailabilityZone,
    /// Minimum time between two requests to the holder, in milliseconds.
    pub min_interval_ms: u64,
    /// Delay after a failed exchange before the next one, in milliseconds.
    pub retry_interval_ms: u64,
    /// Time after which an unused slot is returned, in milliseconds.
    pub idle_return_ms: u64,
    /// Concurrent requests allowed at each endpoint while no holder replies;
    /// zero for endpoints in another availability zone.
    pub fallback_slots: u32,
    /// Time without any reply after which the fallback starts, in milliseconds.
    pub fallback_after_ms: u64,
}

impl BorrowerSettings {
    /// Returns settings for the gateway's own availability zone, with a
    /// fallback.
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

    /// Returns settings for another availability zone, without a fallback.
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
