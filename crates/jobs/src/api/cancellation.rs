//! Cancellation of a job.

use cassiafold_config::TeamId;
use cassiafold_event::emit;
use cassiafold_platform::{Compare, Record, Transaction, TransactionOutcome, TransactionalStore};
use futures_util::{FutureExt, TryFutureExt};
use tokio::time::Instant;
use tokio::try_join;

use super::call_log::OpenCall;
use super::reason::{StoreOperation, UnknownReason};
use super::state_query::decode_state;
use super::store_call::may_retry;
use super::{Call, CallKind, CancelResponse, Denial, JobApi, LOG_TARGET, may_access, team_of};
use crate::event::JobsEvent;
use crate::platform_clients::PlatformClients;
use crate::record::{cancel_key, job_key, state_key};
use crate::spec::JobId;

impl<S: PlatformClients> JobApi<S> {
    /// Stores the cancellation of a job.
    pub async fn cancel(&self, call: &Call) -> CancelResponse {
        let open_call = OpenCall::new(self, CallKind::Cancel, call);
        let response = self.cancel_once(call).await;
        open_call.close("accepted", response.no_result());
        response
    }

    async fn cancel_once(&self, call: &Call) -> CancelResponse {
        let Some(id) = call.job() else { return CancelResponse::Denied(Denial::NoJob) };
        let deadline = call.respond_by();
        let auth = self.authorize_fresh(call).map_err(CancelResponse::Denied);
        let job = self.read_job(id, deadline).map(Ok);
        let (auth, mut job) = match try_join!(auth, job) {
            Ok(responses) => responses,
            Err(denied) => return denied,
        };
        loop {
            let result = match job {
                Ok(job) => self.store_cancel(id, job, auth.team.as_ref(), deadline).await,
                Err(reason) => Err(reason),
            };
            match result {
                Ok(true) => {
                    emit!(
                        target: LOG_TARGET,
                        JobsEvent::JobCancelled,
                        job = format_args!("{id:016x}")
                    );
                    return CancelResponse::Accepted;
                }
                Ok(false) => return CancelResponse::NoSuchJob,
                Err(reason) if may_retry(&reason, deadline) => self.wait_to_retry(deadline).await,
                Err(reason) => return CancelResponse::Unknown(reason),
            }
            job = self.read_job(id, deadline).await;
        }
    }

    async fn read_job(
        &self,
        id: JobId,
        deadline: Instant,
    ) -> Result<Option<Record>, UnknownReason> {
        self.read_key(StoreOperation::ReadJob, &job_key(id), deadline).await
    }

    /// Stores the cancellation of a job that was read; returns whether the team has such a job.
    async fn store_cancel(
        &self,
        id: JobId,
        job: Option<Record>,
        team: Option<&TeamId>,
        deadline: Instant,
    ) -> Result<bool, UnknownReason> {
        let Some(record) = job else {
            return self.is_accessible_ended_job(id, team, deadline).await;
        };
        if !may_access(team_of(&record).as_ref(), team) {
            return Ok(false);
        }
        let transaction = Transaction::default()
            .expect(record.key.clone(), Compare::Revision(record.revision))
            .put(cancel_key(id), Vec::new(), None);
        let commit = || self.platform.store().commit(transaction.clone());
        let outcome = self.call_store(StoreOperation::WriteCancel, deadline, commit).await?;
        Ok(matches!(outcome, TransactionOutcome::Written(_)))
    }

    /// Returns whether a job without a record is one that has ended, of which only the state is
    /// still stored, and that the team may access.
    async fn is_accessible_ended_job(
        &self,
        id: JobId,
        team: Option<&TeamId>,
        deadline: Instant,
    ) -> Result<bool, UnknownReason> {
        let record = self.read_key(StoreOperation::ReadState, &state_key(id), deadline).await?;
        let state = record.as_ref().map(decode_state).transpose();
        let state = state.map_err(UnknownReason::RecordUnreadable)?;
        Ok(state.is_some_and(|state| may_access(state.team.as_ref(), team)))
    }
}
