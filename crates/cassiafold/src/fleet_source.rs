//! Fleet state for the operators' interface, as known to this entry instance.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cassiafold_config::{ActiveConfig, Config, InstanceId, PoolId, WaveId};
use cassiafold_fleet::document::DOCUMENT_KEY;
use cassiafold_fleet::history::{DECISIONS_PREFIX, RawSegment};
use cassiafold_fleet::{
    Budgets, CompletedRequests, FleetCode, FleetDocument, FleetHandle, FleetState, History,
    ListedInstances, Observations, Policy, Refusal, StepKind, Subject as FleetSubject, Timeline,
    View, WaveStatus as FleetWave, explain, plan_move, report, wave_status,
};
use cassiafold_operators::FleetSource;
use cassiafold_operators::source::{
    Explanation, MoveRefusal, MoveRequest, MoveResponse, PoolStatus, Selection, Subject, WaveStatus,
};
use cassiafold_platform::{Envelope, NotApplied, Store, UpdateOutcome, Writer, update};
use tokio::time::Instant;

use crate::instances::InstanceView;
use crate::observer::Observer;

/// Time limit for storing a move, including retries.
const MOVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Fleet state as known to this entry instance.
#[derive(Debug, Clone)]
pub struct EntryFleetSource<S> {
    /// Client of the key-value service.
    pub store: S,
    /// Configuration in force.
    pub config: ActiveConfig,
    /// Last received fleet document.
    pub fleet: FleetHandle,
    /// Instances from the platform's list.
    pub instances: InstanceView,
    /// Merged reports of the entry instances.
    pub observer: Observer,
    /// Limits of the planner.
    pub policy: Policy,
    /// Id of this entry instance, recorded as the writer of its changes.
    pub instance_id: InstanceId,
}

/// Owned data from which a `View` borrows.
struct FleetSnapshot {
    config: Arc<Config>,
    state: FleetState,
    listed: ListedInstances,
    observations: Observations,
    trends: cassiafold_fleet::demand::Trends,
    completed: CompletedRequests,
    now: SystemTime,
}

impl FleetSnapshot {
    fn view(&self) -> View<'_> {
        View {
            now: self.now,
            config: &self.config,
            document: &self.state.document,
            listed: &self.listed,
            observations: &self.observations,
            domains: &self.state.domains,
            trends: &self.trends,
            completed: &self.completed,
        }
    }
}

impl<S: Store> EntryFleetSource<S> {
    fn snapshot(&self) -> Option<FleetSnapshot> {
        let listed = self.instances.listed();
        Some(FleetSnapshot {
            config: self.config.load()?,
            state: self.fleet.load(),
            listed: listed.iter().map(|listed| (listed.id.clone(), listed.clone())).collect(),
            observations: self.observer.observe(),
            trends: Default::default(),
            completed: CompletedRequests::default(),
            now: SystemTime::now(),
        })
    }

    /// Loads the stored decisions; empty if the store is unreachable.
    async fn history(&self) -> History {
        let Ok(stored) = self.store.list(DECISIONS_PREFIX).await else {
            return History::default();
        };
        let segments = stored.records.iter().filter_map(|record| {
            let envelope = Envelope::<RawSegment>::decode(&record.value).ok()?;
            Some(envelope.value)
        });
        History::restore(segments.collect())
    }
}

impl<S: Store> FleetSource for EntryFleetSource<S> {
    async fn pools(&self) -> Vec<PoolStatus> {
        let Some(snapshot) = self.snapshot() else { return Vec::new() };
        let view = snapshot.view();
        let budgets = Budgets::new(&view, &snapshot.state.document, Default::default());
        snapshot.config.pools.keys().map(|pool| pool_status(&view, &budgets, pool)).collect()
    }

    async fn waves(&self) -> Vec<WaveStatus> {
        let Some(snapshot) = self.snapshot() else { return Vec::new() };
        let view = snapshot.view();
        let waves = snapshot.config.waves.keys();
        let status =
            |wave| wave_status(&view, &self.policy, wave).map(|state| wave_status_at(&view, state));
        waves.filter_map(status).collect()
    }

    async fn explain(&self, subject: Subject, id: &str) -> Option<Explanation> {
        let snapshot = self.snapshot()?;
        let history = self.history().await;
        let fleet_subject = match subject {
            Subject::Instance => FleetSubject::Instance(id.into()),
            Subject::Pool => FleetSubject::Pool(id.into()),
            Subject::Team => FleetSubject::Team(id.into()),
            Subject::Wave => FleetSubject::Wave(id.into()),
        };
        let explanation = explain(&snapshot.view(), &self.policy, &history, &fleet_subject).ok()?;
        Some(explanation.into())
    }

    async fn report(&self) -> Option<String> {
        let timeline = Timeline::load(&self.store).await.ok()?;
        let history = self.history().await;
        report(&timeline, &self.fleet.load().domains, &history).ok()
    }

    async fn move_instances(&self, request: MoveRequest) -> Result<MoveResponse, MoveRefusal> {
        let snapshot =
            self.snapshot().ok_or(MoveRefusal::Unavailable("no configuration yet".into()))?;
        let writer = Writer::new(self.instance_id.clone());
        let deadline = Instant::now() + MOVE_TIMEOUT;
        let mut moved_instances = Vec::new();
        let change = |current: Option<&FleetDocument>| {
            let current = current.cloned().unwrap_or_default();
            let (next, instances) = self.plan_moves(&snapshot, &current, &request)?;
            moved_instances = instances;
            Ok::<_, Refusal>(next)
        };
        match update(&self.store, &writer, DOCUMENT_KEY, deadline, change).await {
            UpdateOutcome::Applied { value, .. } => {
                self.fleet.update_if_newer(Arc::new(value));
                Ok(MoveResponse { instances: moved_instances })
            }
            UpdateOutcome::NotApplied(NotApplied::Refused(refusal)) => {
                Err(MoveRefusal::Refused(refusal_text(&refusal).into()))
            }
            UpdateOutcome::NotApplied(_) => {
                Err(MoveRefusal::Unavailable("the fleet document cannot be written".into()))
            }
            UpdateOutcome::StillUnknown { .. } => {
                Err(MoveRefusal::OutcomeUnknown("the answer of the store was lost".into()))
            }
        }
    }
}

impl<S: Store> EntryFleetSource<S> {
    /// Plans the moves one by one, each within the budgets that remain after the previous one.
    ///
    /// Returns the next document and the moved instances, or the last refusal if fewer instances
    /// than requested can move.
    fn plan_moves(
        &self,
        snapshot: &FleetSnapshot,
        current: &FleetDocument,
        request: &MoveRequest,
    ) -> Result<(FleetDocument, Vec<InstanceId>), Refusal> {
        let (candidates, count) = candidates(current, request);
        let mut next = current.clone();
        let mut moved_instances = Vec::new();
        let mut refusal = Refusal::from(FleetCode::UnknownInstance);
        for id in candidates {
            if moved_instances.len() == count {
                break;
            }
            let current_step =
                next.placements.get(&id).and_then(|placement| placement.step.as_ref());
            let already_started = current_step.is_some_and(
                |step| matches!(&step.kind, StepKind::Move { to, .. } if *to == request.to),
            );
            if already_started {
                moved_instances.push(id);
                continue;
            }
            let view = View { document: &next, ..snapshot.view() };
            match plan_move(&view, &self.policy, &id, &request.to) {
                Ok(plan) => {
                    next = plan.next;
                    moved_instances.push(id);
                }
                Err(error) => refusal = error,
            }
        }
        if moved_instances.len() < count || moved_instances.is_empty() {
            return Err(refusal);
        }
        next.number = current.number + 1;
        Ok((next, moved_instances))
    }
}

fn candidates(document: &FleetDocument, request: &MoveRequest) -> (Vec<InstanceId>, usize) {
    match &request.selection {
        Selection::Instances(ids) => (ids.clone(), ids.len()),
        Selection::Count(count) => {
            let members = document
                .placements
                .iter()
                .filter(|(_, placement)| placement.pool == request.from)
                .map(|(id, _)| id.clone());
            (members.collect(), *count as usize)
        }
    }
}

fn pool_status(view: &View<'_>, budgets: &Budgets, pool: &PoolId) -> PoolStatus {
    let service = view.config.pools.get(pool).and_then(|pool| pool.service.clone());
    let members = view.document.placements.iter().filter(|(_, placement)| placement.pool == *pool);
    let (mut instances, mut available, mut in_maintenance, mut failing) = (0, 0, 0, 0);
    for (id, placement) in members {
        instances += 1;
        available += u32::from(view.available(id, placement));
        in_maintenance += u32::from(placement.step.is_some());
        failing += u32::from(placement.failure.is_some());
    }
    let steps = view.document.placements.values().filter_map(|placement| placement.step.as_ref());
    let arriving = steps
        .filter(|step| matches!(&step.kind, StepKind::Move { to, .. } if to == pool))
        .count() as u32;
    let budget = service.as_ref().and_then(|service| budgets.get(service));
    let floor = budget.map_or(0, |budget| budget.floor as u32);
    let pool = pool.clone();
    PoolStatus { pool, service, instances, available, in_maintenance, failing, floor, arriving }
}

fn wave_status_at(view: &View<'_>, status: FleetWave) -> WaveStatus {
    let in_progress = instances_in_wave(view, &status.wave);
    let zone = in_progress.first().and_then(|id| Some(view.listed.get(id)?.zone.clone()));
    WaveStatus::at(&status, view.now, in_progress, zone)
}

fn instances_in_wave(view: &View<'_>, id: &WaveId) -> Vec<InstanceId> {
    let steps = view.document.placements.iter().filter(|(_, placement)| {
        let kind = placement.step.as_ref().map(|step| &step.kind);
        matches!(kind, Some(StepKind::Maintain { wave }) if wave == id)
    });
    steps.map(|(instance, _)| instance.clone()).collect()
}

fn refusal_text(refusal: &Refusal) -> String {
    let row = refusal.code.row();
    match &refusal.inputs {
        cassiafold_fleet::Inputs::None => format!("{} (code {})", row.meaning, row.number),
        inputs => format!("{} (code {}; {inputs})", row.meaning, row.number),
    }
}
