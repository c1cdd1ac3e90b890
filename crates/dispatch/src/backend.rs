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
    pub(crate) service: Option<ServiceId>,
    pub(crate) listed: bool,
    pub(crate) peers_running: u32,
    pub(crate) slots: u32,
    pub(crate) full_until: Option<Instant>,
    pub(crate) list_position: Option<ListPosition>,
}

/// List of backend servers that can receive a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CandidateList {
    Free { zone: usize },
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
    pub(crate) zones: Vec<ZoneBackends>,
    pub(crate) trial: Vec<BackendIndex>,
    pub(crate) ejected: usize,
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
        const RATE_MIN: f64 = 0.05;
        let load = f64::from(self.running + self.peers_running + 1);
        load / self.health.success_rate().max(RATE_MIN).powi(2)
    }

    pub(crate) fn backoff_end(&self) -> Option<Instant> {
        [self.health.routing_state().until(), self.full_until].into_iter().flatten().min()
    }

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
