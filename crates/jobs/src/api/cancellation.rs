//! Cancellation of a job.

use cassiafold_config::TeamId;
use cassiafold_event::emit;
use cassiafold_platform::{Compare, Transaction, TransactionOutcome, TransactionalStore};
use tokio::time::{Instant, sleep};

use super::call_log::OpenCall;
use super::reason::{StoreOperation, UnknownReason};
use super::state_query::decode_state;
use super::store_call::may_retry;
use super::{
    Call, CallKind, CancelResponse, Denial, JobApi, LOG_TARGET, RETRY_DELAY, Target, may_access,
    may_access_record,
};
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
        let auth = match self.authorize_fresh(call).await {
            Ok(auth) => auth,
            Err(denial) => return CancelResponse::Denied(denial),
        };
        let Target::Job(id) = auth.target else { return CancelResponse::Denied(Denial::NoJob) };
        let deadline = call.respond_by();
        loop {
            match self.store_cancel(id, auth.team.as_ref(), deadline).await {
                Ok(true) => {
                    emit!(
                        target: LOG_TARGET,
                        JobsEvent::JobCancelled,
                        job = format_args!("{id:016x}")
                    );
                    return CancelResponse::Accepted;
                }
                Ok(false) => return CancelResponse::NoSuchJob,
                Err(reason) if may_retry(&reason, deadline) => sleep(RETRY_DELAY).await,
                Err(reason) => return CancelResponse::Unknown(reason),
            }
        }
    }

    async fn store_cancel(
        &self,
        id: JobId,
        team: Option<&TeamId>,
        deadline: Instant,
    ) -> Result<bool, UnknownReason> {
        let record = self.read_key(StoreOperation::ReadJob, &job_key(id), deadline).await?;
        let Some(record) = record else {
            return self.is_accessible_ended_job(id, team, deadline).await;
        };
        if !may_access_record(&record, team) {
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
