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
    /// Another template.
    Template {
        /// Template before.
        from: TemplateName,
        /// Template after.
        to: TemplateName,
    },
    /// Another spare pool, or none.
    SparePool {
        /// Spare pool before.
        from: Option<PoolName>,
        /// Spare pool after.
        to: Option<PoolName>,
    },
    /// A new service.
    ServiceAdded {
        /// The service.
        service: ServiceName,
    },
    /// A service that is no longer there.
    ServiceRemoved {
        /// The service.
        service: ServiceName,
    },
    /// Another value in a service.
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
    /// A new pool.
    PoolAdded {
        /// The pool.
        pool: PoolName,
    },
    /// A pool that is no longer there.
    PoolRemoved {
        /// The pool.
        pool: PoolName,
    },
    /// A new endpoint.
    EndpointAdded {
        /// The endpoint.
        instance: InstanceId,
        /// Its pool.
        pool: PoolName,
    },
    /// An endpoint that is no longer there.
    EndpointRemoved {
        /// The endpoint.
        instance: InstanceId,
        /// The pool that it was in.
        pool: PoolName,
    },
    /// An endpoint in another pool.
    EndpointMoved {
        /// The endpoint.
        instance: InstanceId,
        /// Pool before.
        from: PoolName,
        /// Pool after.
        to: PoolName,
    },
    /// Another value in an endpoint.
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
