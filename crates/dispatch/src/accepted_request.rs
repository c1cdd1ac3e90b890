//! One accepted request as the queues know it.

use std::sync::Arc;

use cassiafold_config::{Config, ServiceId, TeamId, Version};
use tokio::time::Instant;

use crate::request::RequestId;

/// Team to which work of an open queue belongs when no key came with it.
pub const ANONYMOUS_TEAM: &str = "anonymous";

/// One accepted request.
#[derive(Debug, Clone)]
pub struct AcceptedRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Service whose queue took the request.
    pub service: ServiceId,
    /// Team to which the request belongs.
    pub team: TeamId,
    /// Key that came with the request; none at an open queue.
    pub key: Option<Arc<str>>,
    /// Version of the configuration under which the key was checked last.
    pub checked: Version,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// When the caller no longer wants the answer.
    pub deadline: Instant,
}

impl AcceptedRequest {
    /// Whether the configuration lets the request's team use the queue.
    pub fn is_authorized(&self, config: &Config) -> bool {
        if self.checked == config.version {
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

    /// Whether the team has an upper limit: callers without a key have none.
    pub fn is_limited(&self) -> bool {
        self.key.is_some()
    }
}
