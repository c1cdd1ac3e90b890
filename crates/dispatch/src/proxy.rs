//! Makes attempts until a request has a response or is refused.
//!
//! A request that is not idempotent is retried only after a failure that proves that it was not
//! run. An idempotent request is also retried after an unknown outcome, within the retry budget and
//! before its deadline. A retry prefers another instance in another failure domain.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::Instance;
use futures_util::FutureExt;
use futures_util::future::{Either, select};
use http::Response;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::accepted_request::AcceptedRequest;
use crate::attempt::{self, AttemptFailure, AttemptOptions, AttemptOutcome, PreparedRequest};
use crate::budget::RetryBudget;
use crate::dependencies::{Dependencies, PeerLoad};
use crate::dispatcher::Dispatcher;
use crate::pool::{ConnectionPool, Reuse};
use crate::problem::{Problem, RunState};
use crate::response_body::ResponseBody;
use crate::running_request::RunningRequest;

/// Maximum number of attempts that were not run.
const NOT_RUN_ATTEMPTS_MAX: u32 = 8;
/// Maximum number of attempts of an idempotent request with an unknown outcome.
const UNKNOWN_OUTCOME_ATTEMPTS_MAX: u32 = 3;
/// Shortest time without a response before a hedge attempt.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(250);
/// Time without a response before a hedge attempt while no service time was observed.
const HEDGE_DELAY_DEFAULT: Duration = Duration::from_secs(5);

/// Sends requests to backend servers and retries them.
pub struct Proxy<E: Dependencies> {
    dependencies: E,
    dispatcher: Dispatcher<E>,
    pool: ConnectionPool<E>,
    budget: RetryBudget,
}

/// Failed attempts of one request.
#[derive(Debug, Default)]
struct AttemptCounts {
    not_run: u32,
    outcome_unknown: u32,
    /// Instances of the failed attempts.
    avoid: Vec<Instance>,
}

impl AttemptCounts {
    fn attempts(&self) -> u32 {
        self.not_run + self.outcome_unknown
    }

    /// Sets the run state of a refusal to unknown if an earlier attempt may have run the request.
    fn refuse(&self, mut problem: Problem) -> Problem {
        if self.outcome_unknown > 0 {
            problem.run_state = RunState::OutcomeUnknown;
        }
        problem
    }
}

impl<E: Dependencies> Proxy<E> {
    /// Creates a proxy that takes its slots from `dispatcher`. Must be called within a Tokio
    /// runtime.
    pub fn start(dependencies: E, dispatcher: Dispatcher<E>) -> Self {
        let (pool, budget) = (ConnectionPool::start(), RetryBudget::default());
        Self { dependencies, dispatcher, pool, budget }
    }

    /// Returns the pool of connections to backend servers.
    pub fn pool(&self) -> &ConnectionPool<E> {
        &self.pool
    }

    /// Runs a request and returns its response, or a refusal that says whether it may have run.
    pub async fn run(
        &self,
        request: &Arc<AcceptedRequest>,
        mut prepared: PreparedRequest,
    ) -> Result<Response<ResponseBody<E>>, Problem> {
        let mut counts = AttemptCounts::default();
        let mut running = self.dispatcher.acquire(request).await?;
        self.budget.deposit(&request.service);
        loop {
            // Boxed, so that a waiting request does not allocate the state of its attempts.
            let attempt = Box::pin(self.attempt(request, running, &mut prepared));
            let failure = match attempt.await {
                Ok(response) => {
                    self.record_attempts(request, counts.attempts() + 1);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            let retry = self.may_retry(&mut counts, &failure, &prepared, request);
            if !retry {
                self.record_attempts(request, counts.attempts());
                return Err(counts.refuse(self.problem(&failure, request)));
            }
            counts.avoid.push(failure.instance);
            let next = self.dispatcher.acquire_retry(request, counts.avoid.clone()).await;
            running = next.map_err(|problem| counts.refuse(problem))?;
        }
    }

    fn record_attempts(&self, request: &AcceptedRequest, attempts: u32) {
        self.dispatcher.metrics().record_attempts(request, attempts);
    }

    /// Counts a failed attempt and returns whether the request may be retried.
    fn may_retry(
        &self,
        counts: &mut AttemptCounts,
        failure: &AttemptFailure,
        prepared: &PreparedRequest,
        request: &AcceptedRequest,
    ) -> bool {
        let can_resend = Instant::now() < request.deadline && prepared.body.is_available();
        match failure.run_state {
            RunState::NotRun => {
                counts.not_run += 1;
                can_resend && counts.not_run < NOT_RUN_ATTEMPTS_MAX
            }
            RunState::OutcomeUnknown => {
                counts.outcome_unknown += 1;
                can_resend
                    && request.idempotent
                    && counts.outcome_unknown < UNKNOWN_OUTCOME_ATTEMPTS_MAX
                    && self.budget.withdraw(&request.service)
            }
        }
    }

    fn problem(&self, failure: &AttemptFailure, request: &AcceptedRequest) -> Problem {
        match failure.run_state {
            RunState::NotRun => self.dispatcher.refusal_with_retry_after(failure.code, request),
            RunState::OutcomeUnknown => Problem::outcome_unknown(failure.code),
        }
    }

    /// Makes one attempt. If an idempotent request with a buffered body gets no response within the
    /// hedge delay, makes a second attempt in parallel, on a new connection to another instance.
    async fn attempt(
        &self,
        request: &Arc<AcceptedRequest>,
        running: RunningRequest<E>,
        prepared: &mut PreparedRequest,
    ) -> AttemptOutcome<E> {
        let mut options = self.options(request);
        if !request.idempotent || !prepared.body.is_replayable() {
            return attempt::run(&self.pool, running, prepared, options).await;
        }
        let instance = running.instance().clone();
        let mut copy = prepared.copy_for_hedge();
        let (superseded, hedge_time) = (options.superseded.clone(), hedge_time(request, &options));
        let first = pin!(attempt::run(&self.pool, running, prepared, options.clone()));
        let first = match select(first, pin!(sleep_until(hedge_time))).await {
            Either::Left((outcome, _)) => return outcome,
            Either::Right(((), first)) => first,
        };
        let Some(running) = self.acquire_hedge(request, &instance) else {
            return first.await;
        };
        options.reuse = Reuse::Never;
        options.superseded = CancellationToken::new();
        // Boxed, because few requests need a hedge attempt.
        let hedge = Box::pin(attempt::run(&self.pool, running, &mut copy, options));
        match select(first, hedge).await {
            Either::Left((Err(failure), hedge)) => failure.or_else_outcome(hedge.await),
            Either::Left((response, _)) => response,
            Either::Right((Err(failure), first)) => failure.or_else_outcome(first.await),
            Either::Right((response, first)) => {
                superseded.cancel();
                first.now_or_never();
                response
            }
        }
    }

    fn acquire_hedge(
        &self,
        request: &Arc<AcceptedRequest>,
        tried: &Instance,
    ) -> Option<RunningRequest<E>> {
        let running = self.dispatcher.acquire_hedge(request, std::slice::from_ref(tried))?;
        self.budget.withdraw(&request.service).then_some(running)
    }

    fn options(&self, request: &AcceptedRequest) -> AttemptOptions {
        let tail = self.dispatcher.tail_latency(&request.service);
        let hedge_delay = tail.map(|tail| tail.saturating_mul(2).max(HEDGE_DELAY_MIN));
        AttemptOptions {
            reuse: if request.idempotent { Reuse::Any } else { Reuse::RecentlyVerified },
            connections_max: self.connections_max(request),
            hedge_delay: hedge_delay.unwrap_or(HEDGE_DELAY_DEFAULT),
            superseded: CancellationToken::new(),
        }
    }

    /// Number of connections that this entry instance may open to one backend server: the
    /// configured number divided by the number of live entry instances.
    fn connections_max(&self, request: &AcceptedRequest) -> u32 {
        let config = self.dispatcher.config();
        let service = config.as_ref().and_then(|config| config.services.get(&request.service));
        let total = service.map_or(1, |service| service.connections_per_instance);
        (total / self.dependencies.peers().entry_count().max(1)).max(1)
    }
}

/// When a hedge attempt may start: after the hedge delay, but at the latest after half of the time
/// until the deadline.
fn hedge_time(request: &AcceptedRequest, options: &AttemptOptions) -> Instant {
    let now = Instant::now();
    let remaining = request.deadline.saturating_duration_since(now);
    now + options.hedge_delay.min(remaining / 2)
}

#[cfg(test)]
mod tests;
