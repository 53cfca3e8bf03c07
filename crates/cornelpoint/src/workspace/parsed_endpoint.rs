use std::net::SocketAddr;

use crate::document::Node;
use crate::document::ValueReader;
use crate::name::AvailabilityZone;
use crate::name::InstanceId;
use crate::name::PoolName;
use crate::name::Rack;

/// An endpoint as a workspace lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ParsedEndpoint {
    /// The instance.
    pub(super) instance: InstanceId,
    /// Availability zone of the instance.
    pub(super) availability_zone: AvailabilityZone,
    /// Rack of the instance.
    pub(super) rack: Rack,
    /// Address for requests.
    pub(super) address: SocketAddr,
    /// Pool that it belongs to.
    pub(super) pool: PoolName,
    /// Entry of the endpoint, for findings.
    pub(super) node: Node,
}

impl ParsedEndpoint {
    /// Reads an endpoint's entry.
    pub(super) fn read(value: ValueReader<'_>) -> Option<Self> {
        let node = value.node().clone();
        value.object(|reader| {
            let instance = reader.name("instance");
            let availability_zone = reader.name("availability_zone");
            let rack = reader.name("rack");
            let address = reader.address("address");
            let pool = reader.name("pool");
            Some(Self {
                instance: instance?,
                availability_zone: availability_zone?,
                rack: rack?,
                address: address?,
                pool: pool?,
                node,
            })
        })
    }

    /// Returns the node of a field, or of the entry if the field is missing.
    pub(super) fn field(&self, name: &str) -> &Node {
        self.node.field(name).unwrap_or(&self.node)
    }
}
