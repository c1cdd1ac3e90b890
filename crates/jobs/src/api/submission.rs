//! Submission of a job.

use std::sync::atomic::{AtomicU32, Ordering};
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
use crate::record::{JOBS_FULL_KEY, JobRecord, job_key, state_key};
use crate::spec::{JobId, JobSpec};

/// Time after which a caller may retry when the store is unavailable.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a caller may retry when the owner can take no further jobs.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Shortest time for the writes of a submission, whatever time its caller names.
const WRITE_TIME_MIN: Duration = Duration::from_millis(200);
/// Hedged writes without a response, after which the caller gets an unknown outcome.
const FAILED_CALLS_MAX: u32 = 3;

/// What a write found in the store.
enum StoreOutcome {
    /// It stored the job.
    Created,
    /// The job is stored already.
    Present,
    /// The owner can take no further jobs. `is_certain` tells that the job is not stored, and that no
    /// earlier attempt may still store it.
    Full { is_certain: bool },
    /// The configuration is another one than the caller was authorized by.
    ConfigChanged(StoredBy),
}

/// Who may have stored a job that a write finds in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoredBy {
    /// The job is not stored.
    Nobody,
    /// An earlier submission of the same job.
    EarlierSubmission,
    /// Perhaps an earlier attempt of this submission, whose response was lost.
    PerhapsThis,
}

/// What the writes of a submission so far allow its caller to be told.
#[derive(Debug, Default)]
struct WriteHistory {
    /// Writes whose outcome is unknown.
    failed_calls: u32,
    /// Whether the job was found in the store.
    is_stored: bool,
    /// Whether this submission may have stored it.
    may_be_own: bool,
}

impl WriteHistory {
    fn record_found(&mut self, stored_by: StoredBy) {
        self.is_stored |= stored_by != StoredBy::Nobody;
        self.may_be_own |= stored_by == StoredBy::PerhapsThis;
    }

    fn record_failure(&mut self) {
        self.failed_calls += 1;
        self.may_be_own = true;
    }

    /// Refuses the job as one that will never run, unless it may be stored.
    fn refuse(&self, id: JobId, reason: &str, retry_after: Duration) -> SubmitResponse {
        if self.is_stored || self.may_be_own {
            return SubmitResponse::Unknown;
        }
        emit!(
            target: LOG_TARGET,
            JobsEvent::JobRefused,
            job = format_args!("{id:016x}"),
            reason = reason
        );
        SubmitResponse::Refused(retry_after)
    }

    /// Denies the call, unless it may have stored the job.
    fn deny(&self, denial: Denial) -> SubmitResponse {
        match self.may_be_own {
            true => SubmitResponse::Unknown,
            false => SubmitResponse::Denied(denial),
        }
    }
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
        let deadline = call.respond_by().max(Instant::now() + WRITE_TIME_MIN);
        let mut history = WriteHistory::default();
        loop {
            // The write is conditional on the configuration, so a known one need not be confirmed.
            let auth = match self.authorize_known(call).await {
                Ok(auth) => auth,
                Err(denial) => return history.deny(denial),
            };
            let Target::Job(id) = auth.target else {
                return SubmitResponse::Denied(Denial::NoJob);
            };
            if self.availability.wait_for_checks(deadline).await.is_err() {
                return history.refuse(id, "the store is unavailable", STORE_RETRY_AFTER);
            }
            match self.store_job(&auth, id, &spec, deadline).await {
                Ok(StoreOutcome::Created) => {
                    log_accepted(&auth, id);
                    return SubmitResponse::Accepted;
                }
                Ok(StoreOutcome::Present) => return SubmitResponse::Accepted,
                Ok(StoreOutcome::Full { is_certain }) => {
                    history.may_be_own |= !is_certain;
                    return history.refuse(
                        id,
                        "the owner can take no further jobs",
                        FULL_RETRY_AFTER,
                    );
                }
                Ok(StoreOutcome::ConfigChanged(stored_by)) => {
                    history.record_found(stored_by);
                    // The new one may be unreadable.
                    if self.config_revision() == auth.config_revision {
                        sleep(RETRY_DELAY).await;
                    }
                }
                Err(UnknownReason::StoreFailed(StoreError::Unavailable(reason))) => {
                    return history.refuse(id, &reason, STORE_RETRY_AFTER);
                }
                Err(UnknownReason::DeadlineTooShort) => {
                    return history.refuse(id, "no time is left for a write", STORE_RETRY_AFTER);
                }
                Err(UnknownReason::StoreFailed(error)) => {
                    log_unsettled(id, &error);
                    history.record_failure();
                    let is_over = Instant::now() + RETRY_DELAY >= deadline;
                    if is_over || history.failed_calls >= FAILED_CALLS_MAX {
                        return SubmitResponse::Unknown;
                    }
                    sleep(RETRY_DELAY).await;
                }
                Err(UnknownReason::StoreUnavailable(loss)) => {
                    log_unsettled(id, &loss.error);
                    return SubmitResponse::Unknown;
                }
                Err(_) => return SubmitResponse::Unknown,
            }
        }
    }

    /// Writes a job. The write may be repeated: if an earlier attempt was committed, a later one
    /// conflicts and finds the job.
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
            attempts_max: Some(auth.queue.attempts_max),
            spec: spec.clone(),
        };
        let bytes = record.encode().map_err(|error| {
            UnknownReason::StoreFailed(StoreError::Unavailable(error.to_string().into()))
        })?;
        drop(record);
        let (key, state_key) = (job_key(id), state_key(id));
        // A job that has ended may have only a state left.
        let transaction = Transaction::default()
            .expect(key.clone(), Compare::Absent)
            .expect(state_key.clone(), Compare::Absent)
            .expect(S::Formats::CONFIG_KEY, Compare::Revision(auth.config_revision))
            .expect(JOBS_FULL_KEY, Compare::Absent)
            .put(key.clone(), bytes, None);
        let attempts = AtomicU32::new(0);
        let commit = || {
            attempts.fetch_add(1, Ordering::Relaxed);
            self.platform.store().commit(transaction.clone())
        };
        match self.call_store(StoreOperation::WriteJob, deadline, commit).await? {
            TransactionOutcome::Written(_) => Ok(StoreOutcome::Created),
            TransactionOutcome::Conflict(records) => {
                let is_known_config = |record: &Record| record.revision == auth.config_revision;
                let config = records.iter().find(|record| *record.key == *S::Formats::CONFIG_KEY);
                let is_job = |record: &Record| record.key == key || record.key == state_key;
                let is_stored = records.iter().any(is_job);
                let is_full = records.iter().any(|record| *record.key == *JOBS_FULL_KEY);
                let attempts = attempts.into_inner();
                // Under another configuration the caller may have no access to the job.
                if config.is_some_and(is_known_config) {
                    return Ok(match is_full && !is_stored {
                        true => StoreOutcome::Full { is_certain: attempts == 1 },
                        false => StoreOutcome::Present,
                    });
                }
                self.apply_config_record(&records);
                let stored_by = match (is_stored, attempts) {
                    (false, _) => StoredBy::Nobody,
                    (true, 1) => StoredBy::EarlierSubmission,
                    (true, _) => StoredBy::PerhapsThis,
                };
                Ok(StoreOutcome::ConfigChanged(stored_by))
            }
        }
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
