//! Requests of callers to an entry instance: submit, cancel, query a job's state, count a queue's
//! waiting jobs.
//!
//! A job is accepted by one transaction that creates its record, on the condition that the
//! configuration that authorizes the call is still in force. A job is refused as never running
//! only if nothing of it can be in the store, now or later.

mod admission;
mod count;
mod response;

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cassiafold_config::TeamId;
use cassiafold_event::emit;
use cassiafold_platform::{
    Compare, Moment, Record, Store, StoreError, Transaction, TransactionOutcome,
    TransactionalStore, since_boot,
};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use self::admission::AuthorizedCall;
pub use self::response::{
    Call, CancelResponse, CountResponse, Denial, JobStateResponse, SubmitResponse, Target,
};
use crate::cluster::ClusterConfig;
use crate::desired_state::{DesiredState, DesiredStateSender};
use crate::event::JobsEvent;
use crate::metrics::JobsMetrics;
use crate::platform_clients::{Formats, PlatformClients};
use crate::record::{
    JobRecord, JobState, StateRecord, WAITING_KEY, WaitingRecord, cancel_key, job_key, state_key,
};
use crate::spec::{JobId, JobSpec};
use std::sync::Arc;

/// Time after which a caller may retry when the store is unavailable.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Attempts of a store call without a response, after which the caller gets an unknown outcome.
const ATTEMPTS_MAX: u32 = 3;
/// Timeout of the first attempt of a store call; the next attempt uses another connection. The
/// timeout doubles with each attempt, so that a slow store has time to respond.
const FIRST_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a read that checks whether the store is available.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two such reads.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Delay between two attempts of a store call.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Number of final states that are cached.
const FINAL_STATES_MAX: usize = 4_096;
/// Part of a caller's timeout that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(60);
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::desk";

/// API for callers, at one entry instance.
#[derive(Debug)]
pub struct JobApi<S: PlatformClients> {
    platform: S,
    desired_states: watch::Receiver<Arc<DesiredState>>,
    sender: DesiredStateSender,
    metrics: JobsMetrics,
    /// Whether the store is unavailable, in which case it is being checked.
    is_store_unavailable: Arc<AtomicBool>,
    cached_waiting: Mutex<Option<(Moment, Arc<WaitingRecord>)>>,
    final_states: Mutex<HashMap<JobId, (JobState, Option<TeamId>)>>,
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
        Self {
            platform,
            desired_states,
            sender,
            metrics,
            is_store_unavailable: Arc::default(),
            cached_waiting: Mutex::default(),
            final_states: Mutex::default(),
            config_read: Mutex::new(Moment::ZERO),
        }
    }

    /// Whether this instance can serve callers: it has a configuration, and the store has confirmed
    /// it within `age_max`.
    pub fn is_ready(&self, age_max: Duration) -> bool {
        let desired_state = self.desired_states.borrow().clone();
        let age = since_boot().saturating_sub(desired_state.confirmed);
        desired_state.config.is_some() && age < age_max && !self.is_store_unavailable()
    }

    /// Whether a store call got no response and no check has succeeded since.
    fn is_store_unavailable(&self) -> bool {
        self.is_store_unavailable.load(Ordering::Relaxed)
    }

    /// Records whether a store call got a response. If not, checks the store until it is available.
    fn track_availability<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let is_lost =
            matches!(result, Err(StoreError::OutcomeUnknown(_) | StoreError::Unavailable(_)));
        if is_lost && !self.is_store_unavailable.swap(true, Ordering::Relaxed) {
            tokio::spawn(wait_for_store(
                self.platform.store().clone(),
                self.is_store_unavailable.clone(),
            ));
        }
        result
    }

    /// Limit of the size of a request body, in bytes.
    pub fn body_bytes_max(&self) -> Option<usize> {
        self.desired_states.borrow().config.as_ref().and_then(|config| config.body_bytes_max)
    }

    fn record_call(&self, kind: &'static str, call: &Call, outcome: &'static str, taken: Duration) {
        let auth = self.authorize(call).ok();
        let queue = auth.as_ref().map(|auth| &auth.queue.id);
        let team = auth.as_ref().and_then(|auth| auth.team.as_ref());
        self.metrics.record_call(kind, queue, team, outcome, taken);
    }

    /// Accepts a job, if the caller may submit it and the store accepts the write.
    pub async fn submit(&self, call: &Call, spec: JobSpec) -> SubmitResponse {
        let started = Instant::now();
        let response = self.submit_once(call, spec).await;
        self.record_call("submit", call, response.name(), started.elapsed());
        response
    }

    async fn submit_once(&self, call: &Call, spec: JobSpec) -> SubmitResponse {
        let deadline = call.deadline - RESPONSE_MARGIN;
        let mut failed_attempts = 0;
        loop {
            let auth = match self.authorize_fresh(call).await {
                Ok(auth) => auth,
                Err(denial) => return denied(denial, failed_attempts > 0),
            };
            let Target::Job(id) = auth.target else {
                return SubmitResponse::Denied(Denial::NoJob);
            };
            if failed_attempts == 0 && self.is_store_unavailable() {
                return refuse(id, "the store is unavailable");
            }
            let attempt_timeout = FIRST_ATTEMPT_TIMEOUT * (1 << failed_attempts);
            let attempt = timeout(attempt_timeout, self.store_job(&auth, id, &spec)).await;
            let no_response =
                || Err(StoreError::OutcomeUnknown("no response before the timeout".into()));
            match self.track_availability(attempt.unwrap_or_else(|_| no_response())) {
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
        let key = job_key(id);
        let transaction = Transaction::default()
            .expect(key.clone(), Compare::Absent)
            .expect(S::Formats::CONFIG_KEY, Compare::Revision(auth.config_revision))
            .put(key.clone(), bytes, None);
        match self.platform.store().commit(transaction).await? {
            TransactionOutcome::Written(_) => Ok(StoreOutcome::Created),
            TransactionOutcome::Conflict(records) => {
                if records.iter().any(|record| record.key == key) {
                    return Ok(StoreOutcome::Present);
                }
                self.apply_config_record(&records);
                Ok(StoreOutcome::ConfigChanged)
            }
        }
    }

    /// Stores the cancellation of a job.
    pub async fn cancel(&self, call: &Call) -> CancelResponse {
        let started = Instant::now();
        let response = self.cancel_once(call).await;
        self.record_call("cancel", call, response.name(), started.elapsed());
        response
    }

    async fn cancel_once(&self, call: &Call) -> CancelResponse {
        let auth = match self.authorize_fresh(call).await {
            Ok(auth) => auth,
            Err(denial) => return CancelResponse::Denied(denial),
        };
        let Target::Job(id) = auth.target else { return CancelResponse::Denied(Denial::NoJob) };
        let deadline = call.deadline - RESPONSE_MARGIN;
        loop {
            if self.is_store_unavailable() {
                return CancelResponse::Unknown;
            }
            match self.track_availability(self.store_cancel(id, auth.team.as_ref()).await) {
                Ok(true) => {
                    emit!(
                        target: LOG_TARGET,
                        JobsEvent::JobCancelled,
                        job = format_args!("{id:016x}")
                    );
                    return CancelResponse::Accepted;
                }
                Ok(false) => return CancelResponse::NoSuchJob,
                Err(error) if Instant::now() + RETRY_DELAY >= deadline => {
                    emit!(
                        target: LOG_TARGET,
                        JobsEvent::StateUnknown,
                        job = format_args!("{id:016x}"),
                        error = error
                    );
                    return CancelResponse::Unknown;
                }
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    async fn store_cancel(&self, id: JobId, team: Option<&TeamId>) -> Result<bool, StoreError> {
        let Some(record) = self.platform.store().get(&job_key(id)).await? else { return Ok(false) };
        if !may_access_record(&record, team) {
            return Ok(false);
        }
        let transaction = Transaction::default()
            .expect(record.key.clone(), Compare::Revision(record.revision))
            .put(cancel_key(id), Vec::new(), None);
        let outcome = self.platform.store().commit(transaction).await?;
        Ok(matches!(outcome, TransactionOutcome::Written(_)))
    }

    /// Returns the state of a job.
    pub async fn job_state(&self, call: &Call) -> JobStateResponse {
        let started = Instant::now();
        let response = self.job_state_once(call).await;
        self.record_call("look", call, response.name(), started.elapsed());
        response
    }

    async fn job_state_once(&self, call: &Call) -> JobStateResponse {
        let auth = match self.authorize_fresh(call).await {
            Ok(auth) => auth,
            Err(denial) => return JobStateResponse::Denied(denial),
        };
        let Target::Job(id) = auth.target else { return JobStateResponse::Denied(Denial::NoJob) };
        let deadline = call.deadline - RESPONSE_MARGIN;
        loop {
            if self.final_state(id).is_none() && self.is_store_unavailable() {
                return JobStateResponse::Unknown;
            }
            match self.track_availability(self.read_state(id, auth.team.as_ref()).await) {
                Ok(Some(state)) => return JobStateResponse::State(state),
                Ok(None) => return JobStateResponse::NoSuchJob,
                Err(error) if Instant::now() + RETRY_DELAY >= deadline => {
                    emit!(
                        target: LOG_TARGET,
                        JobsEvent::StateUnknown,
                        job = format_args!("{id:016x}"),
                        error = error
                    );
                    return JobStateResponse::Unknown;
                }
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    async fn read_state(
        &self,
        id: JobId,
        team: Option<&TeamId>,
    ) -> Result<Option<JobState>, StoreError> {
        if let Some((state, of_team)) = self.final_state(id) {
            return Ok(may_access(of_team.as_ref(), team).then_some(state));
        }
        if let Some(record) = self.platform.store().get(&state_key(id)).await? {
            let state = StateRecord::try_from(&record.value[..])
                .map_err(|error| StoreError::Malformed(error.to_string().into()))?;
            self.cache_final_state(id, &state);
            return Ok(may_access(state.team.as_ref(), team).then_some(state.state));
        }
        let record = self.platform.store().get(&job_key(id)).await?;
        Ok(record.filter(|record| may_access_record(record, team)).map(|_| JobState::Queued))
    }

    fn final_state(&self, id: JobId) -> Option<(JobState, Option<TeamId>)> {
        self.final_states.lock().unwrap_or_else(PoisonError::into_inner).get(&id).cloned()
    }

    fn cache_final_state(&self, id: JobId, record: &StateRecord) {
        if !record.state.is_final() {
            return;
        }
        let mut final_states = self.final_states.lock().unwrap_or_else(PoisonError::into_inner);
        if final_states.len() >= FINAL_STATES_MAX {
            final_states.clear();
        }
        final_states.insert(id, (record.state, record.team.clone()));
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

/// Reads from the store until it responds.
async fn wait_for_store<S: Store>(store: S, is_store_unavailable: Arc<AtomicBool>) {
    loop {
        if let Ok(Ok(_)) = timeout(CHECK_TIMEOUT, store.get(WAITING_KEY)).await {
            is_store_unavailable.store(false, Ordering::Relaxed);
            return;
        }
        sleep(CHECK_INTERVAL).await;
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
