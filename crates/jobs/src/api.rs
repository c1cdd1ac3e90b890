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

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cassiafold_config::TeamId;
use cassiafold_event::emit;
use cassiafold_platform::{
    Compare, Moment, Record, StoreError, Transaction, TransactionOutcome, TransactionalStore,
    since_boot,
};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use self::admission::AuthorizedCall;
use self::availability::StoreAvailability;
use self::call_log::{LineLimit, OpenCall};
use self::final_states::FinalStates;
pub use self::reason::{StoreLoss, StoreOperation, UnknownReason, UnreadableRecord};
pub use self::response::{
    Call, CallKind, CancelResponse, CountResponse, Denial, JobStateResponse, SubmitResponse, Target,
};
use crate::cluster::ClusterConfig;
use crate::desired_state::{DesiredState, DesiredStateSender};
use crate::event::JobsEvent;
use crate::metrics::JobsMetrics;
use crate::platform_clients::{Formats, PlatformClients};
use crate::record::{JobRecord, WaitingRecord, job_key, state_key};
use crate::spec::{JobId, JobSpec};

/// Time after which a caller may retry when the store is unavailable.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Attempts of a store call without a response, after which the caller gets an unknown outcome.
const ATTEMPTS_MAX: u32 = 3;
/// Timeout of the first attempt to store a submitted job; the next attempt uses another connection.
/// The timeout doubles with each attempt, so that a slow store has time to respond.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay between two attempts of a store call.
const RETRY_DELAY: Duration = Duration::from_millis(40);
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
        }
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

    /// Accepts a job, if the caller may submit it and the store accepts the write.
    pub async fn submit(&self, call: &Call, spec: JobSpec) -> SubmitResponse {
        let open_call = OpenCall::new(self, CallKind::Submit, call);
        let response = self.submit_once(call, spec).await;
        open_call.close(response.name(), response.no_result());
        response
    }

    async fn submit_once(&self, call: &Call, spec: JobSpec) -> SubmitResponse {
        let deadline = call.respond_by();
        let mut failed_attempts = 0;
        loop {
            let auth = match self.authorize_fresh(call).await {
                Ok(auth) => auth,
                Err(denial) => return denied(denial, failed_attempts > 0),
            };
            let Target::Job(id) = auth.target else {
                return SubmitResponse::Denied(Denial::NoJob);
            };
            let is_first = failed_attempts == 0;
            if is_first && self.availability.wait_for_checks(deadline).await.is_err() {
                return refuse(id, "the store is unavailable");
            }
            let attempt_timeout = SUBMIT_TIMEOUT * (1 << failed_attempts);
            let attempt = timeout(attempt_timeout, self.store_job(&auth, id, &spec)).await;
            let result = attempt.unwrap_or_else(|_| Err(StoreError::no_response()));
            match self.availability.record_result(StoreOperation::WriteJob, result) {
                Ok(StoreOutcome::Created) => {
                    emit!(
                        target: LOG_TARGET,
                        JobsEvent::JobAccepted,
                        job = format_args!("{id:016x}"),
                        queue = auth.queue.id,
                        team = auth.team.as_deref().unwrap_or("-"),
                        config_revision = auth.config_revision
                    );
                    return SubmitResponse::Accepted;
                }
                Ok(StoreOutcome::Present) => return SubmitResponse::Accepted,
                Ok(StoreOutcome::ConfigChanged) => continue,
                Err(StoreError::Unavailable(reason)) if failed_attempts == 0 => {
                    return refuse(id, &reason);
                }
                Err(StoreError::Unavailable(_)) => failed_attempts += 1,
                Err(error) => {
                    failed_attempts += 1;
                    emit!(
                        target: LOG_TARGET,
                        JobsEvent::JobUnsettled,
                        job = format_args!("{id:016x}"),
                        error = error
                    );
                }
            }
            if failed_attempts >= ATTEMPTS_MAX || Instant::now() + RETRY_DELAY >= deadline {
                return SubmitResponse::Unknown;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn store_job(
        &self,
        auth: &AuthorizedCall,
        id: JobId,
        spec: &JobSpec,
    ) -> Result<StoreOutcome, StoreError> {
        let record = JobRecord {
            queue: auth.queue.id.clone(),
            service: auth.queue.service.clone(),
            team: auth.team.clone(),
            spec: spec.clone(),
        };
        let bytes =
            record.encode().map_err(|error| StoreError::Unavailable(error.to_string().into()))?;
        let (key, state_key) = (job_key(id), state_key(id));
        // Of a job that has ended, only the state may still be stored.
        let transaction = Transaction::default()
            .expect(key.clone(), Compare::Absent)
            .expect(state_key.clone(), Compare::Absent)
            .expect(S::Formats::CONFIG_KEY, Compare::Revision(auth.config_revision))
            .put(key.clone(), bytes, None);
        match self.platform.store().commit(transaction).await? {
            TransactionOutcome::Written(_) => Ok(StoreOutcome::Created),
            TransactionOutcome::Conflict(records) => {
                if records.iter().any(|record| record.key == key || record.key == state_key) {
                    return Ok(StoreOutcome::Present);
                }
                self.apply_config_record(&records);
                Ok(StoreOutcome::ConfigChanged)
            }
        }
    }

    /// Returns what the path of a call names, if the call is allowed.
    pub async fn target(&self, call: &Call) -> Result<Target, Denial> {
        self.authorize_fresh(call).await.map(|auth| auth.target)
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<ClusterConfig>> {
        self.desired_states.borrow().config.clone()
    }
}

/// Refuses a job of which nothing was sent to the store.
fn refuse(id: JobId, reason: &str) -> SubmitResponse {
    emit!(
        target: LOG_TARGET,
        JobsEvent::JobRefused,
        job = format_args!("{id:016x}"),
        reason = reason
    );
    SubmitResponse::Refused(STORE_RETRY_AFTER)
}

enum StoreOutcome {
    Created,
    Present,
    ConfigChanged,
}

fn denied(denial: Denial, may_be_stored: bool) -> SubmitResponse {
    match may_be_stored {
        true => SubmitResponse::Unknown,
        false => SubmitResponse::Denied(denial),
    }
}

/// Whether a team may access what another team owns. Anything without an owner is accessible to
/// all.
fn may_access(owner: Option<&TeamId>, team: Option<&TeamId>) -> bool {
    owner.is_none() || team.is_none() || owner == team
}

fn may_access_record(record: &Record, team: Option<&TeamId>) -> bool {
    let owner = JobRecord::try_from(&record.value[..]).ok().and_then(|record| record.team);
    may_access(owner.as_ref(), team)
}
