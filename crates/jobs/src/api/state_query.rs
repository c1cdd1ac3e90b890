//! Query of a job's state.

use std::sync::PoisonError;

use cassiafold_config::TeamId;
use cassiafold_platform::Record;
use tokio::time::{Instant, sleep};

use super::call_log::OpenCall;
use super::reason::{StoreOperation, UnknownReason, UnreadableRecord, unreadable};
use super::store_call::may_retry;
use super::{
    Call, CallKind, JobApi, JobStateResponse, RETRY_DELAY, Target, may_access, may_access_record,
};
use crate::api::Denial;
use crate::platform_clients::PlatformClients;
use crate::record::{JobState, StateRecord, job_key, state_key};
use crate::spec::JobId;

impl<S: PlatformClients> JobApi<S> {
    /// Returns the state of a job.
    pub async fn job_state(&self, call: &Call) -> JobStateResponse {
        let open_call = OpenCall::new(self, CallKind::StateQuery, call);
        let response = self.job_state_once(call).await;
        open_call.close("state", response.no_result());
        response
    }

    async fn job_state_once(&self, call: &Call) -> JobStateResponse {
        let auth = match self.authorize_fresh(call).await {
            Ok(auth) => auth,
            Err(denial) => return JobStateResponse::Denied(denial),
        };
        let Target::Job(id) = auth.target else { return JobStateResponse::Denied(Denial::NoJob) };
        let deadline = call.respond_by();
        loop {
            match self.read_state(id, auth.team.as_ref(), deadline).await {
                Ok(Some(state)) => return JobStateResponse::State(state),
                Ok(None) => return JobStateResponse::NoSuchJob,
                Err(reason) if may_retry(&reason, deadline) => sleep(RETRY_DELAY).await,
                Err(reason) => return JobStateResponse::Unknown(reason),
            }
        }
    }

    async fn read_state(
        &self,
        id: JobId,
        team: Option<&TeamId>,
        deadline: Instant,
    ) -> Result<Option<JobState>, UnknownReason> {
        if let Some((state, of_team)) = self.final_state(id) {
            return Ok(may_access(of_team.as_ref(), team).then_some(state));
        }
        let stored = self.read_key(StoreOperation::ReadState, &state_key(id), deadline).await?;
        let decoded = stored.as_ref().map(decode_state).transpose();
        if let Ok(Some(state)) = &decoded {
            self.cache_final_state(id, state);
            return Ok(may_access(state.team.as_ref(), team).then_some(state.state));
        }
        let job = self.read_key(StoreOperation::ReadJob, &job_key(id), deadline).await?;
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
        Ok(job.filter(|job| may_access_record(job, team)).map(|_| state))
    }

    fn final_state(&self, id: JobId) -> Option<(JobState, Option<TeamId>)> {
        self.final_states.lock().unwrap_or_else(PoisonError::into_inner).get(id)
    }

    fn cache_final_state(&self, id: JobId, record: &StateRecord) {
        self.final_states.lock().unwrap_or_else(PoisonError::into_inner).insert(id, record);
    }
}

/// Decodes a stored state; the error names the record.
pub(super) fn decode_state(record: &Record) -> Result<StateRecord, UnreadableRecord> {
    StateRecord::try_from(&record.value[..]).map_err(|error| unreadable(record, &error))
}
