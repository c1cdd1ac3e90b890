//! The control loop: reads the inputs, plans a round, writes the document and sends requests.
//!
//! The loop runs only while this process holds the control lease. Acquiring control writes the
//! document, so that a pending write of a previous holder that was paused fails its
//! compare-and-swap. A reboot is requested only after its decision is stored, with the request id
//! derived from the document.

use std::collections::BTreeSet;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cassiafold_config::{Config, InstanceId};
use cassiafold_event::emit;
use cassiafold_platform::{InstanceControl, InstanceList, ListedInstance};
use cassiafold_platform::{NotApplied, Stamp, UpdateOutcome, Writer, update};
use futures_util::future::join_all;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use crate::controller::persistence::PersistentState;
use crate::demand::Trends;
use crate::document::{DOCUMENT_KEY, FleetDocument, Phase};
use crate::environment::Environment;
use crate::event::FleetEvent;
use crate::handle::FleetHandle;
use crate::plan::{Plan, plan};
use crate::policy::Policy;
use crate::raw::{from_unix_ms, unix_ms};
use crate::view::{CompletedRequests, ListedInstances, Observations, View};

pub(crate) mod persistence;

/// Time between planning rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for writing the document.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for one reboot or trial request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay from the start of a trial phase to the first trial request: an instance still responds
/// for a short time after its reboot was accepted.
const TRIAL_DELAY: Duration = Duration::from_secs(10);

/// Outcome of a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundOutcome {
    /// This process does not hold control.
    NoControl,
    /// An input needed for planning is missing.
    Waiting,
    /// The document needed no change.
    Unchanged,
    /// A changed document was written.
    Applied,
    /// The changed document could not be written.
    NotApplied,
}

/// The control loop of the fleet.
#[derive(Debug)]
pub struct Controller<E> {
    environment: E,
    policy: Policy,
    writer: Writer,
    handle: FleetHandle,
    in_control: bool,
    completed: CompletedRequests,
    trends: Trends,
    persistent: PersistentState,
}

/// Reason why a round does not write the document.
enum NoWrite {
    NoControl,
    Unchanged,
}

impl<E: Environment> Controller<E> {
    /// Creates a controller that writes to the store as `instance` and publishes each document to
    /// `handle`.
    pub fn new(environment: E, policy: Policy, instance: InstanceId, handle: FleetHandle) -> Self {
        Self {
            environment,
            policy,
            writer: Writer::new(instance),
            handle,
            in_control: false,
            completed: CompletedRequests::default(),
            trends: Trends::default(),
            persistent: PersistentState::default(),
        }
    }

    /// Runs rounds until `stop` is ready.
    pub async fn run(mut self, stop: impl Future<Output = ()> + Send) {
        let mut stop = pin!(stop);
        let mut ticks = interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = &mut stop => return,
                _ = ticks.tick() => { self.round().await; }
            }
        }
    }

    /// Runs one round.
    pub async fn round(&mut self) -> RoundOutcome {
        if !self.environment.holds_control() {
            self.release_control();
            return RoundOutcome::NoControl;
        }
        if !self.in_control && !self.acquire_control().await {
            return RoundOutcome::Waiting;
        }
        let Some((config, listed, observations)) = self.read_inputs().await else {
            return RoundOutcome::Waiting;
        };
        self.record_document(&listed);
        let outcome = self.plan_and_write(&config, &listed, &observations).await;
        if self.environment.holds_control() {
            self.send_requests(&listed).await;
            let holds_control = || self.environment.holds_control();
            self.persistent.save(self.environment.store(), &self.writer, &holds_control).await;
        }
        outcome
    }

    /// Recent decisions.
    pub fn history(&self) -> crate::history::History {
        self.persistent.history.clone()
    }

    fn release_control(&mut self) {
        if std::mem::take(&mut self.in_control) {
            emit!(FleetEvent::ControlLost);
            self.completed = CompletedRequests::default();
            self.trends = Trends::default();
        }
    }

    /// Reads the persistent state and writes the document once, so that every write prepared before
    /// fails its compare-and-swap.
    async fn acquire_control(&mut self) -> bool {
        if let Err(error) = self.persistent.load(self.environment.store()).await {
            emit!(FleetEvent::StoreFailed, error = error);
            return false;
        }
        let outcome = self
            .write(|current| {
                let mut next = current.cloned().unwrap_or_default();
                next.number += 1;
                Ok(next)
            })
            .await;
        self.in_control = outcome == RoundOutcome::Applied;
        if self.in_control {
            emit!(FleetEvent::ControlTaken);
        }
        self.in_control
    }

    async fn read_inputs(&self) -> Option<(Arc<Config>, ListedInstances, Observations)> {
        let config = self.environment.config()?;
        let Some(observations) = self.environment.observations() else {
            emit!(FleetEvent::StaleObservations);
            return None;
        };
        match self.environment.list().list().await {
            Ok(listed) => {
                let listed = listed.into_iter().map(|instance| (instance.id.clone(), instance));
                Some((config, listed.collect(), observations))
            }
            Err(error) => {
                emit!(FleetEvent::ListFailed, error = error);
                None
            }
        }
    }

    /// Records operators' moves in the history, and the failures in the document as evidence for
    /// failure domains.
    fn record_document(&mut self, listed: &ListedInstances) {
        let document = self.handle.load().document;
        self.persistent.history.record_operator_moves(&document);
        self.persistent.record_failures(&document, self.environment.now(), listed);
    }

    async fn plan_and_write(
        &mut self,
        config: &Config,
        listed: &ListedInstances,
        observations: &Observations,
    ) -> RoundOutcome {
        let (completed, trends) = (self.completed.clone(), self.trends.clone());
        let (domains, policy) = (self.persistent.domains.clone(), self.policy.clone());
        let now = from_unix_ms(unix_ms(self.environment.now()));
        let document = self.handle.load().document;
        let view = View {
            now,
            config,
            document: &document,
            listed,
            observations,
            domains: &domains,
            trends: &trends,
            completed: &completed,
        };
        let initial = plan(&view, &policy);
        if initial.next == *document {
            self.complete_round(&view, initial);
            return RoundOutcome::Unchanged;
        }
        let mut planned: Option<(FleetDocument, Plan)> = None;
        let outcome = self
            .write(|current| {
                let current = current.cloned().unwrap_or_default();
                let mut plan = plan(&View { document: &current, ..view }, &policy);
                if plan.next == current {
                    return Err(NoWrite::Unchanged);
                }
                plan.next.number = current.number + 1;
                let document = plan.next.clone();
                planned = Some((current, plan));
                Ok(document)
            })
            .await;
        if let (RoundOutcome::Applied, Some((current, plan))) = (outcome, planned) {
            self.complete_round(&View { document: &current, ..view }, plan);
        }
        outcome
    }

    /// Writes the document by compare-and-swap and publishes it to the handle.
    async fn write(
        &self,
        mut change: impl FnMut(Option<&FleetDocument>) -> Result<FleetDocument, NoWrite> + Send,
    ) -> RoundOutcome {
        let deadline = Instant::now() + STORE_TIMEOUT;
        // A process that was paused must not plan based on the inputs that it read before.
        let started = Stamp::now();
        let before_deadline = || Stamp::now().since(&started) < STORE_TIMEOUT;
        let in_control = || self.environment.holds_control() && before_deadline();
        let change = |current: Option<&FleetDocument>| match in_control() {
            true => change(current),
            false => Err(NoWrite::NoControl),
        };
        let store = self.environment.store();
        match update(store, &self.writer, DOCUMENT_KEY, deadline, change).await {
            UpdateOutcome::Applied { value, .. } => {
                self.handle.update_if_newer(Arc::new(value));
                RoundOutcome::Applied
            }
            UpdateOutcome::NotApplied(NotApplied::Refused(NoWrite::NoControl)) => {
                RoundOutcome::NoControl
            }
            UpdateOutcome::NotApplied(NotApplied::Refused(NoWrite::Unchanged)) => {
                RoundOutcome::Unchanged
            }
            UpdateOutcome::NotApplied(NotApplied::Contended) => {
                emit!(FleetEvent::PlanConflict);
                RoundOutcome::NotApplied
            }
            UpdateOutcome::NotApplied(NotApplied::Malformed(error)) => {
                emit!(FleetEvent::DocumentRefused, error = error);
                RoundOutcome::NotApplied
            }
            UpdateOutcome::NotApplied(NotApplied::Unavailable(error)) => {
                emit!(FleetEvent::StoreFailed, error = error);
                RoundOutcome::NotApplied
            }
            UpdateOutcome::NotApplied(NotApplied::TooLarge { size_bytes }) => {
                emit!(FleetEvent::DocumentRefused, size_bytes = size_bytes);
                RoundOutcome::NotApplied
            }
            UpdateOutcome::StillUnknown { write_id } => {
                emit!(FleetEvent::StoreFailed, write_id = write_id);
                RoundOutcome::NotApplied
            }
        }
    }

    /// Records the decisions of a round whose document is stored and discards completed requests of
    /// ended steps.
    fn complete_round(&mut self, view: &View<'_>, plan: Plan) {
        self.persistent.record_round(view, &self.policy, &plan);
        self.trends = plan.trends;
        let steps = plan.next.placements.iter();
        let active: BTreeSet<_> = steps
            .filter_map(|(id, placement)| Some(placement.step.as_ref()?.request_id(id)))
            .collect();
        self.completed.reboots.retain(|id| active.contains(id));
        self.completed.trials.retain(|id| active.contains(id));
    }

    /// Sends the reboot and trial requests of the steps in the stored document.
    async fn send_requests(&mut self, listed: &ListedInstances) {
        let document = self.handle.load().document;
        let now = self.environment.now();
        let mut requests = Vec::new();
        for (id, placement) in &document.placements {
            let Some(step) = &placement.step else { continue };
            let request_id = step.request_id(id);
            match step.phase {
                Phase::Draining => {}
                Phase::Rebooting if !self.completed.reboots.contains(&request_id) => {
                    requests.push(Request::Reboot(id.clone(), request_id));
                }
                Phase::Trying if !self.completed.trials.contains(&request_id) => {
                    if let Some(instance) = listed.get(id)
                        && elapsed(step.phase_started, now) >= TRIAL_DELAY
                    {
                        requests.push(Request::Trial(instance.clone(), request_id));
                    }
                }
                Phase::Rebooting | Phase::Trying => {}
            }
        }
        let sent = requests.into_iter().map(|request| self.send(request));
        for request in join_all(sent).await.into_iter().flatten() {
            match request {
                CompletedRequest::Reboot(id) => self.completed.reboots.insert(id),
                CompletedRequest::Trial(id) => self.completed.trials.insert(id),
            };
        }
    }

    async fn send(&self, request: Request) -> Option<CompletedRequest> {
        match request {
            Request::Reboot(id, request_id) => {
                let reboot = self.environment.control().reboot(&id, &request_id);
                match timeout(REQUEST_TIMEOUT, reboot).await {
                    Ok(Ok(())) => return Some(CompletedRequest::Reboot(request_id)),
                    Ok(Err(error)) => emit!(FleetEvent::RebootFailed, instance = id, error = error),
                    Err(error) => emit!(FleetEvent::RebootFailed, instance = id, error = error),
                }
                None
            }
            Request::Trial(instance, request_id) => {
                let trial =
                    timeout(REQUEST_TIMEOUT, self.environment.send_trial_request(&instance));
                trial.await.unwrap_or(false).then_some(CompletedRequest::Trial(request_id))
            }
        }
    }
}

/// A reboot request to the platform or a trial request to an instance.
enum Request {
    Reboot(InstanceId, crate::document::RequestId),
    Trial(ListedInstance, crate::document::RequestId),
}

/// A request that succeeded.
enum CompletedRequest {
    Reboot(crate::document::RequestId),
    Trial(crate::document::RequestId),
}

fn elapsed(since: SystemTime, now: SystemTime) -> Duration {
    now.duration_since(since).unwrap_or_default()
}

#[cfg(test)]
mod tests;
