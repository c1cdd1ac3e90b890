//! Metadata of an accepted request, shared by the queues and the attempts.

use std::sync::Arc;

use cassiafold_config::{Config, ServiceId, TeamId, Version};
use tokio::time::Instant;

use crate::request::RequestId;

/// Team of requests that arrive at an open queue without a key.
pub const ANONYMOUS_TEAM: &str = "anonymous";

/// One accepted request.
#[derive(Debug, Clone)]
pub struct AcceptedRequest {
    /// Request id, from the caller or generated here.
    pub id: RequestId,
    /// Service whose queue received the request.
    pub service: ServiceId,
    /// Team that the request is accounted to.
    pub team: TeamId,
    /// Key that the caller sent; `None` for an anonymous caller of an open queue.
    pub key: Option<Arc<str>>,
    /// Version of the configuration against which the key was checked.
    pub checked_version: Version,
    /// Whether the request may run more than once (RFC 9110, 9.2.2).
    pub idempotent: bool,
    /// Time after which the caller no longer needs the response.
    pub deadline: Instant,
}

impl AcceptedRequest {
    /// Whether `config` still allows the request: its key belongs to the same team, or it has no
    /// key and the queue is open.
    pub fn is_authorized(&self, config: &Config) -> bool {
        if self.checked_version == config.version {
            return true;
        }
        let Some(service) = config.services.get(&self.service) else {
            return false;
        };
        match &self.key {
            Some(key) => config.team_for_key(key) == Some(&self.team),
            None => service.open,
        }
    }

    /// Whether an upper limit applies to the request. Requests without a key have none.
    pub fn is_limited(&self) -> bool {
        self.key.is_some()
    }
}
