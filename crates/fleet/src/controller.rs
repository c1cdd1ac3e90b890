//! The control loop: reads what is known, plans a round, writes it and carries it out.
//!
//! It works only while the control lease holds. Taking control writes the document, so that a
//! write that the last holder prepared before it was paused can no longer take effect. A reboot is
//! asked for only after its decision is stored, with the request id that the document gives it.

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
/// Longest time for the store calls of a round.
const STORE_DEADLINE: Duration = Duration::from_secs(3);
/// Longest time for one reboot or trial request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Shortest time from the start of a trial phase to the first trial request: an instance still
/// answers for a moment after its reboot was accepted.
const TRIAL_WAIT: Duration = Duration::from_secs(10);

/// What a round came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundOutcome {
    /// Another process holds control.
    NoControl,
    /// Something needed for planning is missing.
    Waiting,
    /// Nothing was to be done.
    Unchanged,
    /// The document was changed.
    Applied,
    /// The document could not be written.
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

/// Why a round leaves the document as it is.
enum Left {
    NoControl,
    Unchanged,
}

impl<E: Environment> Controller<E> {
    /// A controller that writes as `instance` and shows each document in `handle`.
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
            self.leave();
            return RoundOutcome::NoControl;
        }
        if !self.in_control && !self.take_control().await {
            return RoundOutcome::Waiting;
        }
        let Some((config, listed, observations)) = self.inputs().await else {
            return RoundOutcome::Waiting;
        };
        self.learn(&listed);
        let outcome = self.decide(&config, &listed, &observations).await;
        if self.environment.holds_control() {
            self.carry_out(&listed).await;
            let holds = || self.environment.holds_control();
            self.persistent.save(self.environment.store(), &self.writer, &holds).await;
        }
        outcome
    }

    /// State that explanations are made of.
    pub fn history(&self) -> crate::history::History {
        self.persistent.history.clone()
    }

    fn leave(&mut self) {
        if std::mem::take(&mut self.in_control) {
            emit!(FleetEvent::ControlLost);
            self.completed = CompletedRequests::default();
            self.trends = Trends::default();
        }
    }

    /// Reads the stored state and writes the document once, which refuses every write that was
    /// prepared before.
    async fn take_control(&mut self) -> bool {
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

    async fn inputs(&self) -> Option<(Arc<Config>, ListedInstances, Observations)> {
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

    /// Notes operators' moves, and the failures of the document as evidence for failure domains.
    fn learn(&mut self, listed: &ListedInstances) {
        let document = self.handle.load().document;
        self.persistent.history.record_operator_moves(&document);
        self.persistent.record_failures(&document, self.environment.now(), listed);
    }

    async fn decide(
        &mut self,
        config: &Config,
        listed: &ListedInstances,
        observations: &Observations,
    ) -> RoundOutcome {
        let (completed, trends) = (self.completed.clone(), self.trends.clone());
        let (domains, policy) = (self.persistent.domains.clone(), self.policy.clone());
        let now = from_unix_ms(unix_ms(self.environment.now()));
        let known = self.handle.load().document;
        let view = View {
            now,
            config,
            document: &known,
            listed,
            observations,
            domains: &domains,
            trends: &trends,
            completed: &completed,
        };
        let first = plan(&view, &policy);
        if first.next == *known {
            self.finish(&view, first);
            return RoundOutcome::Unchanged;
        }
        let mut planned: Option<(FleetDocument, Plan)> = None;
        let outcome = self
            .write(|current| {
                let current = current.cloned().unwrap_or_default();
                let mut next = plan(&View { document: &current, ..view }, &policy);
                if next.next == current {
                    return Err(Left::Unchanged);
                }
                next.next.number = current.number + 1;
                let document = next.next.clone();
                planned = Some((current, next));
                Ok(document)
            })
            .await;
        if let (RoundOutcome::Applied, Some((current, next))) = (outcome, planned) {
            self.finish(&View { document: &current, ..view }, next);
        }
        outcome
    }

    /// Writes the document by compare-and-swap and shows what was written.
    async fn write(
        &self,
        mut change: impl FnMut(Option<&FleetDocument>) -> Result<FleetDocument, Left> + Send,
    ) -> RoundOutcome {
        let deadline = Instant::now() + STORE_DEADLINE;
        // A process that was paused must not plan on what it saw before.
        let begun = Stamp::now();
        let in_time = || Stamp::now().since(&begun) < STORE_DEADLINE;
        let in_control = || self.environment.holds_control() && in_time();
        let change = |current: Option<&FleetDocument>| match in_control() {
            true => change(current),
            false => Err(Left::NoControl),
        };
        let store = self.environment.store();
        match update(store, &self.writer, DOCUMENT_KEY, deadline, change).await {
            UpdateOutcome::Applied { value, .. } => {
                self.handle.update_if_newer(Arc::new(value));
                RoundOutcome::Applied
            }
            UpdateOutcome::NotApplied(NotApplied::Refused(Left::NoControl)) => {
                RoundOutcome::NoControl
            }
            UpdateOutcome::NotApplied(NotApplied::Refused(Left::Unchanged)) => {
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

    /// Takes over the results of a round that is in force.
    fn finish(&mut self, view: &View<'_>, plan: Plan) {
        self.persistent.record_round(view, &self.policy, &plan);
        self.trends = plan.trends;
        let steps = plan.next.placements.iter();
        let open: BTreeSet<_> = steps
            .filter_map(|(id, placement)| Some(placement.step.as_ref()?.request_id(id)))
            .collect();
        self.completed.reboots.retain(|id| open.contains(id));
        self.completed.trials.retain(|id| open.contains(id));
    }

    /// Sends the reboot and trial requests that the stored document asks for.
    async fn carry_out(&mut self, listed: &ListedInstances) {
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
                        && waited(step.phase_started, now) >= TRIAL_WAIT
                    {
                        requests.push(Request::Try(instance.clone(), request_id));
                    }
                }
                Phase::Rebooting | Phase::Trying => {}
            }
        }
        let sent = requests.into_iter().map(|request| self.send(request));
        for answer in join_all(sent).await.into_iter().flatten() {
            match answer {
                Answer::Rebooted(id) => self.completed.reboots.insert(id),
                Answer::Tried(id) => self.completed.trials.insert(id),
            };
        }
    }

    async fn send(&self, request: Request) -> Option<Answer> {
        match request {
            Request::Reboot(id, request_id) => {
                let reboot = self.environment.control().reboot(&id, &request_id);
                match timeout(REQUEST_TIMEOUT, reboot).await {
                    Ok(Ok(())) => return Some(Answer::Rebooted(request_id)),
                    Ok(Err(error)) => emit!(FleetEvent::RebootFailed, instance = id, error = error),
                    Err(error) => emit!(FleetEvent::RebootFailed, instance = id, error = error),
                }
                None
            }
            Request::Try(instance, request_id) => {
                let trial =
                    timeout(REQUEST_TIMEOUT, self.environment.send_trial_request(&instance));
                trial.await.unwrap_or(false).then_some(Answer::Tried(request_id))
            }
        }
    }
}

/// A request to an instance or about it.
enum Request {
    Reboot(InstanceId, crate::document::RequestId),
    Try(ListedInstance, crate::document::RequestId),
}

/// A request that succeeded.
enum Answer {
    Rebooted(crate::document::RequestId),
    Tried(crate::document::RequestId),
}

fn waited(since: SystemTime, now: SystemTime) -> Duration {
    now.duration_since(since).unwrap_or_default()
}

#[cfg(test)]
mod tests;
