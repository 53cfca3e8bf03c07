use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::name::InstanceId;
use crate::name::PoolName;
use crate::name::ServiceName;
use crate::name::TemplateName;

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Change {
    /// The template was replaced.
    Template {
        /// Template before.
        from: TemplateName,
        /// Template after.
        to: TemplateName,
    },
    /// The spare pool was replaced, added or removed.
    SparePool {
        /// Spare pool before.
        from: Option<PoolName>,
        /// Spare pool after.
        to: Option<PoolName>,
    },
    /// A service was added.
    ServiceAdded {
        /// The service.
        service: ServiceName,
    },
    /// A service was removed.
    ServiceRemoved {
        /// The service.
        service: ServiceName,
    },
    /// A field of a service was changed.
    ServiceChanged {
        /// The service.
        service: ServiceName,
        /// Field, as it is named in the template.
        field: String,
        /// Value before.
        from: String,
        /// Value after.
        to: String,
    },
    /// A pool was added.
    PoolAdded {
        /// The pool.
        pool: PoolName,
    },
    /// A pool was removed.
    PoolRemoved {
        /// The pool.
        pool: PoolName,
    },
    /// An endpoint was added.
    EndpointAdded {
        /// The endpoint.
        instance: InstanceId,
        /// Its pool.
        pool: PoolName,
    },
    /// An endpoint was removed.
    EndpointRemoved {
        /// The endpoint.
        instance: InstanceId,
        /// Pool before.
        pool: PoolName,
    },
    /// An endpoint was moved to another pool.
    EndpointMoved {
        /// The endpoint.
        instance: InstanceId,
        /// Pool before.
        from: PoolName,
        /// Pool after.
        to: PoolName,
    },
    /// A field of an endpoint was changed.
    EndpointChanged {
        /// The endpoint.
        instance: InstanceId,
        /// Field, as it is named in the workspace or the template.
        field: String,
        /// Value before.
        from: String,
        /// Value after.
        to: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Template { from, to } => write!(formatter, "template: {from} -> {to}"),
            Self::SparePool { from, to } => {
                write!(
                    formatter,
                    "spare_pool: {} -> {}",
                    or_none(from.as_ref()),
                    or_none(to.as_ref())
                )
            }
            Self::ServiceAdded { service } => write!(formatter, "service {service}: added"),
            Self::ServiceRemoved { service } => write!(formatter, "service {service}: removed"),
            Self::ServiceChanged {
                service,
                field,
                from,
                to,
            } => write!(formatter, "service {service}: {field} {from} -> {to}"),
            Self::PoolAdded { pool } => write!(formatter, "pool {pool}: added"),
            Self::PoolRemoved { pool } => write!(formatter, "pool {pool}: removed"),
            Self::EndpointAdded { instance, pool } => {
                write!(formatter, "endpoint {instance}: added to pool {pool}")
            }
            Self::EndpointRemoved { instance, pool } => {
                write!(formatter, "endpoint {instance}: removed from pool {pool}")
            }
            Self::EndpointMoved { instance, from, to } => {
                write!(formatter, "endpoint {instance}: pool {from} -> {to}")
            }
            Self::EndpointChanged {
                instance,
                field,
                from,
                to,
            } => write!(formatter, "endpoint {instance}: {field} {from} -> {to}"),
        }
    }
}

fn or_none(pool: Option<&PoolName>) -> &str {
    pool.map_or("none", PoolName::as_str)
}
