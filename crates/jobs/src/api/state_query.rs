//! Query of a job's state.

use std::future::ready;
use std::pin::pin;
use std::sync::PoisonError;
use std::time::Duration;

use cassiafold_config::TeamId;
use cassiafold_platform::{Record, since_boot};
use futures_util::future::{Either, select};
use futures_util::{FutureExt, TryFutureExt};
use tokio::time::{Instant, timeout};
use tokio::try_join;

use super::call_log::OpenCall;
use super::final_states::FinalState;
use super::reason::{StoreOperation, UnknownReason, UnreadableRecord, unreadable};
use super::store_call::may_retry;
use super::{Call, CallKind, JobApi, JobStateResponse, may_access, team_of};
use crate::api::Denial;
use crate::platform_clients::PlatformClients;
use crate::record::{JobState, StateRecord, job_key, state_key};
use crate::spec::JobId;

/// Time without the state after which the job is read beside it.
const JOB_READ_DELAY: Duration = Duration::from_millis(100);

/// A job that the store knows.
struct FoundJob {
    state: JobState,
    /// Team that submitted it; `None` if it was submitted without a key.
    team: Option<TeamId>,
    /// Whether the store was not asked.
    is_cached: bool,
}

impl From<FinalState> for FoundJob {
    fn from(state: FinalState) -> Self {
        Self { state: state.state, team: state.team, is_cached: true }
    }
}

impl<S: PlatformClients> JobApi<S> {
    /// Returns the state of a job.
    pub async fn job_state(&self, call: &Call) -> JobStateResponse {
        let open_call = OpenCall::new(self, CallKind::StateQuery, call);
        let response = self.job_state_once(call).await;
        open_call.close("state", response.no_result());
        response
    }

    async fn job_state_once(&self, call: &Call) -> JobStateResponse {
        let Some(id) = call.job() else { return JobStateResponse::Denied(Denial::NoJob) };
        let auth = self.authorize_fresh(call).map_err(JobStateResponse::Denied);
        let state = self.cached_or_read_state(id, call.respond_by()).map(Ok);
        let (auth, mut found) = match try_join!(auth, state) {
            Ok(responses) => responses,
            Err(denied) => return denied,
        };
        let has_access = |job: &FoundJob| may_access(job.team.as_ref(), auth.team.as_ref());
        if let Ok(Some(job)) = &found
            && job.is_cached
            && !has_access(job)
        {
            // The id may be that of another job by now.
            found = self.read_state(id, call.respond_by()).await;
        }
        match found {
            Ok(Some(job)) if has_access(&job) => JobStateResponse::State(job.state),
            Ok(_) => JobStateResponse::NoSuchJob,
            Err(reason) => JobStateResponse::Unknown(reason),
        }
    }

    /// Returns the state of a job; `None` if there is no such job. An old cached state is used only
    /// if the store can't be read.
    async fn cached_or_read_state(
        &self,
        id: JobId,
        deadline: Instant,
    ) -> Result<Option<FoundJob>, UnknownReason> {
        let cached = self.final_state(id);
        if let Some(state) = &cached
            && state.is_recent(since_boot())
        {
            return Ok(cached.map(FoundJob::from));
        }
        match (self.read_state(id, deadline).await, cached) {
            (Err(_), Some(state)) => Ok(Some(state.into())),
            (result, _) => result,
        }
    }

    /// Reads the state of a job until the deadline; `None` if there is no such job.
    async fn read_state(
        &self,
        id: JobId,
        deadline: Instant,
    ) -> Result<Option<FoundJob>, UnknownReason> {
        loop {
            match self.read_state_once(id, deadline).await {
                Err(reason) if may_retry(&reason, deadline) => self.wait_to_retry(deadline).await,
                result => return result,
            }
        }
    }

    /// Reads the state of a job, and the job itself if there is no state, or if the state takes
    /// long.
    async fn read_state_once(
        &self,
        id: JobId,
        deadline: Instant,
    ) -> Result<Option<FoundJob>, UnknownReason> {
        let (state_key, job_key) = (state_key(id), job_key(id));
        let mut state = pin!(self.read_key(StoreOperation::ReadState, &state_key, deadline));
        let job = self.read_key(StoreOperation::ReadJob, &job_key, deadline);
        if let Ok(state) = timeout(JOB_READ_DELAY, &mut state).await {
            return self.find_job(id, state?, job).await;
        }
        match select(state, pin!(job)).await {
            Either::Left((state, job)) => self.find_job(id, state?, job).await,
            Either::Right((job, state)) => self.find_job(id, state.await?, ready(job)).await,
        }
    }

    /// The job by its stored state, or by its record if there is no readable state.
    async fn find_job(
        &self,
        id: JobId,
        state: Option<Record>,
        job: impl Future<Output = Result<Option<Record>, UnknownReason>>,
    ) -> Result<Option<FoundJob>, UnknownReason> {
        let decoded = state.as_ref().map(decode_state).transpose();
        if let Ok(state) = &decoded {
            self.update_final_state(id, state.as_ref());
        }
        if let Ok(Some(state)) = decoded {
            let StateRecord { state, team, .. } = state;
            return Ok(Some(FoundJob { state, team, is_cached: false }));
        }
        let job = job.await?;
        let state = match decoded {
            Ok(_) => JobState::Queued,
            // The owner stores a state from the start of the first task on, so the job is no longer
            // queued; whether it has ended is not known. Only an owner whose term began before can
            // still write the state.
            Err(record) if job.is_some() => {
                self.log_unreadable(id, &record);
                JobState::Running
            }
            Err(record) => return Err(UnknownReason::RecordUnreadable(record)),
        };
        Ok(job.map(|job| FoundJob { state, team: team_of(&job), is_cached: false }))
    }

    fn final_state(&self, id: JobId) -> Option<FinalState> {
        self.final_states.lock().unwrap_or_else(PoisonError::into_inner).get(id).cloned()
    }

    fn update_final_state(&self, id: JobId, record: Option<&StateRecord>) {
        let mut states = self.final_states.lock().unwrap_or_else(PoisonError::into_inner);
        states.update(id, record, since_boot());
    }
}

/// Decodes a stored state; the error names the record.
pub(super) fn decode_state(record: &Record) -> Result<StateRecord, UnreadableRecord> {
    StateRecord::try_from(&record.value[..]).map_err(|error| unreadable(record, &error))
}
