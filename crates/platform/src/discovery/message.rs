//! The fields of endpoint slices that the client reads.

use std::net::IpAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A list of endpoint slices.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSliceList {
    /// The slices.
    pub items: Vec<EndpointSlice>,
}

/// A set of endpoints that listen on the same ports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSlice {
    /// The endpoints.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
    /// Ports of each endpoint.
    #[serde(default)]
    pub ports: Vec<EndpointPort>,
}

/// One instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Endpoint {
    /// IP addresses of the instance, of which the first is used.
    #[serde(default)]
    pub addresses: Vec<Arc<str>>,
    /// Conditions of the instance.
    #[serde(default)]
    pub conditions: EndpointConditions,
    /// Identifier of the instance.
    pub hostname: Option<Arc<str>>,
    /// Availability zone of the instance.
    pub zone: Option<Arc<str>>,
    /// Further topology labels of the instance.
    #[serde(default)]
    pub deprecated_topology: Topology,
}

/// Conditions of an instance. A missing condition has its default value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointConditions {
    /// Whether it accepts new work; true by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ready: Option<bool>,
    /// Whether it serves its existing work; true by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub serving: Option<bool>,
    /// Whether it is about to stop; false by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub terminating: Option<bool>,
}

/// Further topology labels of an instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Topology {
    /// Declared rack.
    pub rack: Option<Arc<str>>,
}

/// A port.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointPort {
    /// Number of the port.
    pub port: Option<u16>,
}

/// Reason why an endpoint cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// A field is missing or empty.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The address is not an IP address.
    #[error("address {0:?} is not an IP address")]
    Address(Arc<str>),
}

impl Endpoint {
    /// Returns the first address of the endpoint.
    pub(super) fn ip(&self) -> Result<IpAddr, EndpointError> {
        let address = self.addresses.first().ok_or(EndpointError::Missing("address"))?;
        address.parse().map_err(|_| EndpointError::Address(address.clone()))
    }

    /// Returns whether the instance accepts new work.
    pub(super) fn accepts_work(&self) -> bool {
        self.conditions.ready.unwrap_or(true) && !self.conditions.terminating.unwrap_or(false)
    }
}
