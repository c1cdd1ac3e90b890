//! Client of an instance list that is served over HTTP as endpoint slices.
//!
//! The hostname of an endpoint is the id of the instance. Instances that are not ready or are
//! terminating are listed as leaving. An endpoint that lacks a field is skipped; a response that is
//! not a list of endpoint slices is an error.

pub mod message;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cassiafold_config::{InstanceId, InstanceState};
use http::header::IF_NONE_MATCH;
use http::{HeaderValue, Request, StatusCode};
use tokio::time::Instant;

use self::message::{Endpoint, EndpointError, EndpointSlice, EndpointSliceList};
use crate::event::PlatformEvent;
use crate::http::{Answer, CallError, HttpClient};
use crate::instances::{InstanceList, ListError, ListedInstance};

/// Path of the list.
pub const LIST_PATH: &str = "/apis/discovery.k8s.io/v1/endpointslices";
/// Maximum size of a response, in bytes.
const LIST_BYTES_MAX: usize = 4 * 1024 * 1024;

/// The usable instances of a list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Instances, ordered by id.
    pub instances: Vec<ListedInstance>,
    /// Number of skipped endpoints.
    pub skipped: usize,
}

impl From<EndpointSliceList> for Listing {
    fn from(list: EndpointSliceList) -> Self {
        let mut instances = BTreeMap::new();
        let mut skipped = 0;
        for slice in &list.items {
            for endpoint in &slice.endpoints {
                match to_listed_instance(slice, endpoint) {
                    Ok(instance) => insert(&mut instances, instance),
                    Err(_) => skipped += 1,
                }
            }
        }
        Self { instances: instances.into_values().collect(), skipped }
    }
}

/// Adds an instance. Of two endpoints with the same id, the leaving one takes precedence.
fn insert(instances: &mut BTreeMap<InstanceId, ListedInstance>, instance: ListedInstance) {
    let known = instances.get(&instance.id);
    if known.is_none_or(|known| known.state == InstanceState::Live) {
        instances.insert(instance.id.clone(), instance);
    }
}

fn to_listed_instance(
    slice: &EndpointSlice,
    endpoint: &Endpoint,
) -> Result<ListedInstance, EndpointError> {
    let port = slice.ports.first().and_then(|port| port.port);
    let port = port.ok_or(EndpointError::Missing("port"))?;
    Ok(ListedInstance {
        id: required_text(&endpoint.hostname, "hostname")?,
        address: SocketAddr::new(endpoint.ip()?, port),
        zone: required_text(&endpoint.zone, "zone")?,
        rack: required_text(&endpoint.deprecated_topology.rack, "rack")?,
        state: match endpoint.accepts_work() {
            true => InstanceState::Live,
            false => InstanceState::Leaving,
        },
    })
}

fn required_text(field: &Option<Arc<str>>, name: &'static str) -> Result<Arc<str>, EndpointError> {
    let text = field.as_ref().filter(|text| !text.is_empty());
    text.cloned().ok_or(EndpointError::Missing(name))
}

impl From<&ListedInstance> for EndpointSlice {
    fn from(instance: &ListedInstance) -> Self {
        let live = instance.state == InstanceState::Live;
        let conditions = message::EndpointConditions {
            ready: Some(live),
            serving: Some(true),
            terminating: Some(!live),
        };
        let endpoint = Endpoint {
            addresses: vec![instance.address.ip().to_string().into()],
            conditions,
            hostname: Some(instance.id.clone()),
            zone: Some(instance.zone.clone()),
            deprecated_topology: message::Topology { rack: Some(instance.rack.clone()) },
        };
        let port = message::EndpointPort { port: Some(instance.address.port()) };
        Self { endpoints: vec![endpoint], ports: vec![port] }
    }
}

/// Client of the instance list. Clones share connections and the cached list.
#[derive(Debug, Clone)]
pub struct HttpInstanceList {
    http: HttpClient,
    timeout: Duration,
    skipped: Arc<AtomicUsize>,
    cached: Arc<Mutex<Option<Cached>>>,
}

/// The last list read, with its entity tag (RFC 9110).
#[derive(Debug, Clone)]
struct Cached {
    etag: HeaderValue,
    instances: Vec<ListedInstance>,
}

impl HttpInstanceList {
    /// Creates a client that sends `client` as user agent and whose calls time out after `timeout`.
    pub fn new(address: SocketAddr, client: impl Into<Arc<str>>, timeout: Duration) -> Self {
        let http = HttpClient::new(&[address], client);
        Self { http, timeout, skipped: Arc::default(), cached: Arc::default() }
    }

    fn cached(&self) -> MutexGuard<'_, Option<Cached>> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests the list, on condition that its entity tag differs from `known`.
    async fn fetch(&self, known: Option<&HeaderValue>) -> Result<Answer, CallError> {
        let deadline = Instant::now() + self.timeout;
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = http::Uri::from_static(LIST_PATH);
        if let Some(etag) = known {
            request.headers_mut().insert(IF_NONE_MATCH, etag.clone());
        }
        match self.http.call(request.clone(), deadline, LIST_BYTES_MAX).await {
            Err(CallError::Unanswered { stale_connection: true, .. }) => {
                self.http.call(request, deadline, LIST_BYTES_MAX).await
            }
            result => result,
        }
    }

    /// Logs the number of skipped endpoints when it changes.
    fn log_skipped(&self, skipped: usize) {
        if self.skipped.swap(skipped, Ordering::Relaxed) != skipped {
            cassiafold_event::emit!(PlatformEvent::EndpointsSkipped, count = skipped);
        }
    }
}

impl InstanceList for HttpInstanceList {
    async fn list(&self) -> Result<Vec<ListedInstance>, ListError> {
        let cached = self.cached().clone();
        let known = cached.as_ref().map(|cached| &cached.etag);
        let response = self.fetch(known).await.map_err(|error| match error {
            CallError::TooLarge { .. } => ListError::Malformed(error.to_string().into()),
            error => ListError::Unavailable(error.to_string().into()),
        })?;
        if response.status == StatusCode::NOT_MODIFIED
            && let Some(cached) = cached
        {
            return Ok(cached.instances);
        }
        if !response.status.is_success() {
            return Err(ListError::Unavailable(format!("status {}", response.status).into()));
        }
        let list: EndpointSliceList = serde_json::from_slice(&response.body)
            .map_err(|error| ListError::Malformed(error.to_string().into()))?;
        let listing = Listing::from(list);
        self.log_skipped(listing.skipped);
        let instances = listing.instances;
        *self.cached() = response.etag.map(|etag| Cached { etag, instances: instances.clone() });
        Ok(instances)
    }
}

#[cfg(test)]
mod tests;
