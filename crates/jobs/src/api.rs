//! Requests of callers to an entry instance: submit, cancel, query a job's state, count a queue's
//! waiting jobs.
//!
//! A job is accepted by one transaction that creates its record, on the condition that the
//! configuration that authorizes the call is still in force. A job is refused as never running
//! only if nothing of it can be in the store, now or later.

mod admission;
mod availability;
mod call_log;
mod cancellation;
mod count;
mod final_states;
mod reason;
mod response;
mod state_query;
mod store_call;
mod submission;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cassiafold_config::TeamId;
use cassiafold_platform::{Moment, Record, since_boot};
use tokio::sync::{Semaphore, watch};

use self::availability::StoreAvailability;
use self::call_log::LineLimit;
use self::final_states::FinalStates;
pub use self::reason::{StoreLoss, StoreOperation, UnknownReason, UnreadableRecord};
pub use self::response::{
    Call, CallKind, CancelResponse, CountResponse, Denial, JobStateResponse, SubmitResponse, Target,
};
use crate::cluster::ClusterConfig;
use crate::desired_state::{DesiredState, DesiredStateSender};
use crate::metrics::JobsMetrics;
use crate::platform_clients::PlatformClients;
use crate::record::{WaitingRecord, team_of_job};

/// Delay between two attempts of a store call.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Calls to the store that callers wait for at the same time, unless set otherwise.
const STORE_CALLS_MAX: usize = 256;
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::desk";

/// API for callers, at one entry instance.
#[derive(Debug)]
pub struct JobApi<S: PlatformClients> {
    platform: S,
    desired_states: watch::Receiver<Arc<DesiredState>>,
    sender: DesiredStateSender,
    metrics: JobsMetrics,
    availability: StoreAvailability<S::Store>,
    line_limit: LineLimit,
    cached_waiting: Mutex<Option<(Moment, Arc<WaitingRecord>)>>,
    final_states: Mutex<FinalStates>,
    /// When the configuration was last read for a caller.
    config_read: Mutex<Moment>,
    /// Longest time for which a withdrawn key may be accepted; `None` if there is no limit.
    withdrawn_key_time_max: Option<Duration>,
    /// Permits of the calls to the store that callers wait for.
    store_calls: Semaphore,
}

impl<S: PlatformClients> JobApi<S> {
    /// An API that uses the operator's desired state.
    pub fn new(
        platform: S,
        desired_states: watch::Receiver<Arc<DesiredState>>,
        sender: DesiredStateSender,
        metrics: JobsMetrics,
    ) -> Self {
        let store = platform.store().clone();
        Self {
            platform,
            desired_states,
            sender,
            availability: StoreAvailability::new(store, metrics.clone()),
            metrics,
            line_limit: LineLimit::default(),
            cached_waiting: Mutex::default(),
            final_states: Mutex::default(),
            config_read: Mutex::new(Moment::ZERO),
            withdrawn_key_time_max: None,
            store_calls: Semaphore::new(STORE_CALLS_MAX),
        }
    }

    /// Limits the calls to the store that callers wait for at the same time. The others wait for
    /// their turn.
    pub fn with_store_calls_max(self, calls_max: usize) -> Self {
        let store_calls = Semaphore::new(calls_max.clamp(1, Semaphore::MAX_PERMITS));
        Self { store_calls, ..self }
    }

    /// Limits the time for which a withdrawn key may be accepted, also while the store is away.
    pub fn with_withdrawn_key_time_max(self, time_max: Option<Duration>) -> Self {
        Self { withdrawn_key_time_max: time_max, ..self }
    }

    /// Whether this instance can serve callers: it has a configuration, the store has confirmed it
    /// within `age_max`, and the store does not count as unavailable.
    pub fn is_ready(&self, age_max: Duration) -> bool {
        let desired_state = self.desired_states.borrow().clone();
        let age = since_boot().saturating_sub(desired_state.confirmed);
        desired_state.config.is_some() && age < age_max && self.availability.loss().is_none()
    }

    /// Limit of the size of a request body, in bytes.
    pub fn body_bytes_max(&self) -> Option<usize> {
        self.desired_states.borrow().config.as_ref().and_then(|config| config.body_bytes_max)
    }

    /// Returns what the path of a call names, if the call is allowed.
    pub async fn target(&self, call: &Call) -> Result<Target, Denial> {
        self.authorize_known(call).await.map(|auth| auth.target)
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<ClusterConfig>> {
        self.desired_states.borrow().config.clone()
    }
}

/// Whether a team may access what another team owns. Anything without an owner is accessible to
/// all.
fn may_access(owner: Option<&TeamId>, team: Option<&TeamId>) -> bool {
    owner.is_none() || team.is_none() || owner == team
}

/// The team that submitted a job, if its record names one.
fn team_of(record: &Record) -> Option<TeamId> {
    team_of_job(&record.value)
}
