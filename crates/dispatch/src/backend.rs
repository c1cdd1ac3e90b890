//! Entry of one backend server in the index, and the candidate lists of a service.

use cassiafold_config::{Instance, ServiceId, ZoneId};
use tokio::time::Instant;

use crate::health::{Health, RoutingState};

/// Key of a backend server in the index, valid while the server is listed or holds a slot.
pub type BackendIndex = usize;

/// Index entry of one backend server.
#[derive(Debug)]
pub struct Backend {
    /// The instance, as in the most recent list.
    pub instance: Instance,
    /// Health derived from the results of attempts.
    pub health: Health,
    /// Number of slots held by this entry instance.
    pub running: u32,
    /// Service whose new requests the backend server accepts, if any.
    pub(crate) service: Option<ServiceId>,
    /// Whether the instance is in the most recent list.
    pub(crate) listed: bool,
    /// Requests that other entry instances run on the backend server.
    pub(crate) peers_running: u32,
    /// Slots of the backend server, shared by all entry instances.
    pub(crate) slots: u32,
    /// End of the backoff after a refusal because the backend server is full.
    pub(crate) full_until: Option<Instant>,
    /// Position in a candidate list; `None` if the backend server cannot receive a request.
    pub(crate) list_position: Option<ListPosition>,
}

/// List of backend servers that can receive a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CandidateList {
    /// Healthy backend servers with a free slot in one zone, given by its index.
    Free { zone: usize },
    /// Backend servers on trial without a running request.
    Trial,
}

/// Position of a backend server in a candidate list.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListPosition {
    pub(crate) list: CandidateList,
    pub(crate) position: usize,
}

/// Backend servers of one service that accept new requests.
#[derive(Debug, Default)]
pub(crate) struct ServiceBackends {
    pub(crate) members: Vec<BackendIndex>,
    /// Free backend servers by zone; the home zone is first.
    pub(crate) zones: Vec<ZoneBackends>,
    pub(crate) trial: Vec<BackendIndex>,
    /// Number of members that are ejected or on trial.
    pub(crate) ejected: usize,
    /// Sum of the success rates of all members.
    pub(crate) success_rate_sum: f64,
}

/// Healthy backend servers of one zone with a free slot.
#[derive(Debug)]
pub(crate) struct ZoneBackends {
    pub(crate) zone: ZoneId,
    pub(crate) free: Vec<BackendIndex>,
}

impl ServiceBackends {
    pub(crate) fn list_mut(&mut self, list: CandidateList) -> &mut Vec<BackendIndex> {
        match list {
            CandidateList::Free { zone } => &mut self.zones[zone].free,
            CandidateList::Trial => &mut self.trial,
        }
    }
}

impl Backend {
    /// Load divided by the square of the success rate; lower is better.
    pub(crate) fn weighted_load(&self) -> f64 {
        const SUCCESS_RATE_MIN: f64 = 0.05;
        let load = f64::from(self.running + self.peers_running + 1);
        load / self.health.success_rate().max(SUCCESS_RATE_MIN).powi(2)
    }

    /// End of the backoff or of the preference for idempotent requests, whichever is first.
    pub(crate) fn backoff_end(&self) -> Option<Instant> {
        [self.health.routing_state().until(), self.full_until].into_iter().flatten().min()
    }

    /// Candidate list that matches the state of the backend server, if any.
    pub(crate) fn list(&self, service: &ServiceBackends) -> Option<CandidateList> {
        if self.full_until.is_some() || self.running + self.peers_running >= self.slots {
            return None;
        }
        match self.health.routing_state() {
            RoutingState::Ejected { .. } => None,
            RoutingState::Trial { .. } if self.running > 0 => None,
            RoutingState::Trial { .. } => Some(CandidateList::Trial),
            RoutingState::Healthy => {
                let zone = service.zones.iter().position(|it| it.zone == self.instance.zone)?;
                Some(CandidateList::Free { zone })
            }
        }
    }
}
