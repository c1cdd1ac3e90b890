//! Submission of a job.

use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::{
    Compare, Record, StoreError, Transaction, TransactionOutcome, TransactionalStore,
};
use tokio::time::{Instant, sleep};

use super::admission::AuthorizedCall;
use super::call_log::OpenCall;
use super::reason::{StoreOperation, UnknownReason};
use super::{Call, CallKind, Denial, JobApi, LOG_TARGET, RETRY_DELAY, SubmitResponse, Target};
use crate::event::JobsEvent;
use crate::platform_clients::{Formats, PlatformClients};
use crate::record::{JobRecord, job_key, state_key};
use crate::spec::{JobId, JobSpec};

/// Time after which a caller may retry when the store is unavailable.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Writes without a response, after which the caller gets an unknown outcome.
const FAILED_WRITES_MAX: u32 = 3;

/// What is in the store after a write.
enum StoreOutcome {
    Created,
    Present,
    ConfigChanged,
}

impl<S: PlatformClients> JobApi<S> {
    /// Accepts a job, if the caller may submit it and the store accepts the write.
    pub async fn submit(&self, call: &Call, spec: JobSpec) -> SubmitResponse {
        let open_call = OpenCall::new(self, CallKind::Submit, call);
        let response = self.submit_once(call, spec).await;
        open_call.close(response.name(), response.no_result());
        response
    }

    async fn submit_once(&self, call: &Call, spec: JobSpec) -> SubmitResponse {
        let deadline = call.respond_by();
        let mut failed_writes = 0;
        loop {
            // The write is conditional on the configuration, so a known one need not be confirmed.
            let auth = match self.authorize_known(call).await {
                Ok(auth) => auth,
                Err(denial) => return denied(denial, failed_writes > 0),
            };
            let Target::Job(id) = auth.target else {
                return SubmitResponse::Denied(Denial::NoJob);
            };
            let is_first = failed_writes == 0;
            if self.availability.wait_for_checks(deadline).await.is_err() {
                return match is_first {
                    true => refuse(id, "the store is unavailable"),
                    false => SubmitResponse::Unknown,
                };
            }
            let error = match self.store_job(&auth, id, &spec, deadline).await {
                Ok(StoreOutcome::Created) => {
                    log_accepted(&auth, id);
                    return SubmitResponse::Accepted;
                }
                Ok(StoreOutcome::Present) => return SubmitResponse::Accepted,
                Ok(StoreOutcome::ConfigChanged) => {
                    // The new one may be unreadable.
                    if self.config_revision() == auth.config_revision {
                        sleep(RETRY_DELAY).await;
                    }
                    continue;
                }
                Err(error) => error,
            };
            match error {
                UnknownReason::StoreFailed(StoreError::Unavailable(reason)) if is_first => {
                    return refuse(id, &reason);
                }
                UnknownReason::DeadlineTooShort if is_first => {
                    return refuse(id, "the caller has no time left");
                }
                UnknownReason::StoreFailed(error) => log_unsettled(id, &error),
                UnknownReason::StoreUnavailable(loss) => {
                    log_unsettled(id, &loss.error);
                    return SubmitResponse::Unknown;
                }
                _ => return SubmitResponse::Unknown,
            }
            failed_writes += 1;
            if failed_writes >= FAILED_WRITES_MAX || Instant::now() + RETRY_DELAY >= deadline {
                return SubmitResponse::Unknown;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Writes a job. The write may be repeated: once the job is stored, it conflicts with itself.
    async fn store_job(
        &self,
        auth: &AuthorizedCall,
        id: JobId,
        spec: &JobSpec,
        deadline: Instant,
    ) -> Result<StoreOutcome, UnknownReason> {
        let record = JobRecord {
            queue: auth.queue.id.clone(),
            service: auth.queue.service.clone(),
            team: auth.team.clone(),
            spec: spec.clone(),
        };
        let bytes = record.encode().map_err(|error| {
            UnknownReason::StoreFailed(StoreError::Unavailable(error.to_string().into()))
        })?;
        let (key, state_key) = (job_key(id), state_key(id));
        // Of a job that has ended, only the state may still be stored.
        let transaction = Transaction::default()
            .expect(key.clone(), Compare::Absent)
            .expect(state_key, Compare::Absent)
            .expect(S::Formats::CONFIG_KEY, Compare::Revision(auth.config_revision))
            .put(key, bytes, None);
        let commit = || self.platform.store().commit(transaction.clone());
        match self.call_store(StoreOperation::WriteJob, deadline, commit).await? {
            TransactionOutcome::Written(_) => Ok(StoreOutcome::Created),
            TransactionOutcome::Conflict(records) => {
                let is_known_config = |record: &Record| record.revision == auth.config_revision;
                let config = records.iter().find(|record| *record.key == *S::Formats::CONFIG_KEY);
                // Under another configuration the caller may have no access to the job.
                if config.is_some_and(is_known_config) {
                    return Ok(StoreOutcome::Present);
                }
                self.apply_config_record(&records);
                Ok(StoreOutcome::ConfigChanged)
            }
        }
    }
}

/// Refuses a job of which nothing was sent to the store, or nothing that the store executed.
fn refuse(id: JobId, reason: &str) -> SubmitResponse {
    emit!(
        target: LOG_TARGET,
        JobsEvent::JobRefused,
        job = format_args!("{id:016x}"),
        reason = reason
    );
    SubmitResponse::Refused(STORE_RETRY_AFTER)
}

fn denied(denial: Denial, may_be_stored: bool) -> SubmitResponse {
    match may_be_stored {
        true => SubmitResponse::Unknown,
        false => SubmitResponse::Denied(denial),
    }
}

fn log_accepted(auth: &AuthorizedCall, id: JobId) {
    emit!(
        target: LOG_TARGET,
        JobsEvent::JobAccepted,
        job = format_args!("{id:016x}"),
        queue = auth.queue.id,
        team = auth.team.as_deref().unwrap_or("-"),
        config_revision = auth.config_revision
    );
}

fn log_unsettled(id: JobId, error: &StoreError) {
    emit!(
        target: LOG_TARGET,
        JobsEvent::JobUnsettled,
        job = format_args!("{id:016x}"),
        error = error
    );
}
