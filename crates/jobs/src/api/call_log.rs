//! Records each call of a caller: in the metrics, and in the log if it has no result.
//!
//! A caller whose call has no result names the job's id. The line says why, and by which
//! configuration and within which time the call was handled.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cassiafold_event::emit;
use cassiafold_platform::{Moment, StoreError, since_boot};
use tokio::runtime::Handle;
use tokio::time::sleep;

use super::reason::{NoResult, StoreLoss, UnknownReason, UnreadableRecord};
use super::{Call, CallKind, Denial, JobApi};
use crate::event::JobsEvent;
use crate::platform_clients::PlatformClients;
use crate::spec::JobId;

/// Lines that are written for each reason and interval.
const LINES_MAX: u32 = 40;
/// Interval in which lines are counted.
const LINES_INTERVAL: Duration = Duration::from_secs(1);
/// Ids of jobs that the line about omitted lines contains.
const OMITTED_JOBS_MAX: usize = 200;
/// Name of the lines about records that do not decide a call, for their limit.
const ITEM_UNREADABLE: &str = "item_unreadable";
/// Text of a field that does not apply.
const NONE: &str = "-";
/// Log target of this module, which operators' filters name.
const LOG_TARGET: &str = "cassiafold_jobs::desk";

/// A call that is being handled. It is also recorded if it is dropped without a response.
pub(super) struct OpenCall<'a, S: PlatformClients> {
    api: &'a JobApi<S>,
    kind: CallKind,
    call: &'a Call,
    is_closed: bool,
}

impl<'a, S: PlatformClients> OpenCall<'a, S> {
    pub(super) fn new(api: &'a JobApi<S>, kind: CallKind, call: &'a Call) -> Self {
        Self { api, kind, call, is_closed: false }
    }

    /// Records the response to the call: the name of its outcome, or why it has no result.
    pub(super) fn close(mut self, outcome: &'static str, no_result: Option<NoResult<'_>>) {
        self.is_closed = true;
        let is_late = self.kind != CallKind::Submit && self.call.left().is_zero();
        let no_result = no_result.or(is_late.then_some(NoResult::Late));
        self.api.record_call(self.kind, self.call, outcome, no_result);
    }
}

impl<S: PlatformClients> Drop for OpenCall<'_, S> {
    fn drop(&mut self) {
        if !self.is_closed {
            let abandoned = NoResult::Abandoned;
            self.api.record_call(self.kind, self.call, abandoned.name(), Some(abandoned));
        }
    }
}

impl<S: PlatformClients> JobApi<S> {
    /// Records a call that was denied before its kind was handled.
    pub fn record_denial(&self, kind: CallKind, call: &Call, denial: Denial) {
        self.record_call(kind, call, denial.name(), Some(NoResult::Denied(denial)));
    }

    /// Logs a record that cannot be decoded and does not decide a call.
    pub(super) fn log_unreadable(&self, job: JobId, record: &UnreadableRecord) {
        if self.line_limit.admit(ITEM_UNREADABLE, Some(job)) {
            emit!(
                target: LOG_TARGET,
                JobsEvent::ItemUnreadable,
                job = JobText(job),
                key = record.key,
                revision = record.revision,
                error = record.error
            );
        }
    }

    fn record_call(
        &self,
        kind: CallKind,
        call: &Call,
        outcome: &'static str,
        no_result: Option<NoResult<'_>>,
    ) {
        let auth = self.authorize(call).ok();
        let queue = auth.as_ref().map(|auth| &auth.queue.id);
        let team = auth.as_ref().and_then(|auth| auth.team.as_ref());
        let outcome = no_result.as_ref().map_or(outcome, NoResult::name);
        self.metrics.record_call(kind.name(), queue, team, outcome, call.arrived.elapsed());
        let Some(no_result) = no_result else { return };
        if !self.line_limit.admit(no_result.name(), call.job()) {
            return;
        }
        let event = match no_result {
            NoResult::Unknown(UnknownReason::CountOutdated) => JobsEvent::CountOutdated,
            _ => JobsEvent::CallWithoutResult,
        };
        let details = Details::from(&no_result);
        let current_loss = self.availability.loss();
        let loss = details.loss.or(current_loss.as_ref());
        let confirmed = Some(self.config_confirmed()).filter(|confirmed| *confirmed > Moment::ZERO);
        let config_age = confirmed.map(|confirmed| since_boot().saturating_sub(confirmed));
        emit!(
            target: LOG_TARGET,
            event,
            call = kind.name(),
            job = OrNone(call.job().map(JobText)),
            queue = OrNone(queue),
            team = OrNone(team),
            reason = no_result.name(),
            error = OrNone(details.store_error),
            record_error = OrNone(details.record.map(|record| &record.error)),
            key = OrNone(details.record.map(|record| &record.key)),
            revision = OrNone(details.record.map(|record| record.revision)),
            store_lost_ms = OrNone(loss.map(|loss| loss.since.elapsed().as_millis())),
            store_lost_by = OrNone(loss.map(|loss| loss.operation)),
            config_revision = self.config_revision(),
            config_age_ms = OrNone(config_age.map(|age| age.as_millis())),
            deadline_ms = (call.deadline - call.arrived).as_millis(),
            taken_ms = call.arrived.elapsed().as_millis()
        );
    }
}

/// What a line tells beside the name of the reason.
#[derive(Default)]
struct Details<'a> {
    store_error: Option<&'a StoreError>,
    record: Option<&'a UnreadableRecord>,
    loss: Option<&'a StoreLoss>,
}

impl<'a> From<&NoResult<'a>> for Details<'a> {
    fn from(no_result: &NoResult<'a>) -> Self {
        match no_result {
            NoResult::Unknown(UnknownReason::StoreUnavailable(loss)) => {
                Self { store_error: Some(&loss.error), loss: Some(loss), ..Self::default() }
            }
            NoResult::Unknown(UnknownReason::StoreFailed(error)) => {
                Self { store_error: Some(error), ..Self::default() }
            }
            NoResult::Unknown(UnknownReason::RecordUnreadable(record)) => {
                Self { record: Some(record), ..Self::default() }
            }
            _ => Self::default(),
        }
    }
}

/// A job's id as logs show it.
struct JobText(JobId);

impl fmt::Display for JobText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A value, or the text of a field that does not apply.
struct OrNone<T>(Option<T>);

impl<T: fmt::Display> fmt::Display for OrNone<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(formatter),
            None => formatter.write_str(NONE),
        }
    }
}

/// Limit of the lines of each reason. Clones share it.
#[derive(Debug, Clone, Default)]
pub(super) struct LineLimit(Arc<Mutex<HashMap<&'static str, Interval>>>);

/// Lines of one reason in the current interval.
#[derive(Debug, Default)]
struct Interval {
    lines: u32,
    omitted: u64,
    omitted_jobs: Vec<JobId>,
}

impl LineLimit {
    /// Whether a line may be written. If not, the line at the end of the interval counts the call.
    fn admit(&self, reason: &'static str, job: Option<JobId>) -> bool {
        let mut intervals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let interval = intervals.entry(reason).or_default();
        if interval.lines < LINES_MAX {
            if interval.lines == 0 {
                self.end_later(reason);
            }
            interval.lines += 1;
            return true;
        }
        interval.omitted += 1;
        if interval.omitted_jobs.len() < OMITTED_JOBS_MAX {
            interval.omitted_jobs.extend(job);
        }
        false
    }

    fn end_later(&self, reason: &'static str) {
        // A call that is dropped while the process ends has no runtime, and no later calls.
        let Ok(runtime) = Handle::try_current() else { return };
        let limit = self.clone();
        runtime.spawn(async move {
            sleep(LINES_INTERVAL).await;
            limit.end(reason);
        });
    }

    fn end(&self, reason: &'static str) {
        let interval = self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(reason);
        let Some(interval) = interval.filter(|interval| interval.omitted > 0) else { return };
        let jobs = interval.omitted_jobs.iter().map(|job| format!("{job:016x}"));
        emit!(
            target: LOG_TARGET,
            JobsEvent::CallLinesOmitted,
            reason = reason,
            calls = interval.omitted,
            jobs = jobs.collect::<Vec<_>>().join(" ")
        );
    }
}
