//! Samples of the fleet over time, bounded, for the report.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::{Document, Store, StoreError};
use serde::{Deserialize, Serialize};

use crate::controller::persistence::read;
use crate::document::StepKind;
use crate::domain::DomainIndex;
use crate::event::FleetEvent;
use crate::explain::wave_status;
use crate::plan::Plan;
use crate::policy::Policy;
use crate::raw::unix_s;
use crate::view::View;
use crate::{Budgets, Decision};

/// Key of the samples in the key-value service.
pub const TIMELINE_KEY: &str = "cassiafold/fleet-timeline";
/// Time between two samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_secs(600);
/// Most samples kept: two days.
pub const SAMPLES_MAX: usize = 288;

/// Samples, oldest first. It is its own wire type: it holds counts only.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timeline {
    /// The samples.
    pub samples: VecDeque<Sample>,
}

/// State of the fleet over one interval.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// Start of the interval, in seconds since the Unix epoch.
    pub at_unix_s: u64,
    /// Each service with its lowest margin in the interval.
    pub services: BTreeMap<Arc<str>, ServiceSample>,
    /// Instances in each pool.
    pub pools: BTreeMap<Arc<str>, u32>,
    /// Instances maintained so far in each wave.
    pub waves: BTreeMap<Arc<str>, u32>,
    /// Moves and assignments in the interval.
    pub moves: u32,
    /// Instances under maintenance.
    pub maintaining: u32,
    /// Failing instances.
    pub failing: u32,
    /// Members of each suspected failure domain.
    pub suspected: BTreeMap<Arc<str>, u32>,
}

/// Lowest margin of one service in an interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSample {
    /// Available instances.
    pub available: u32,
    /// Lowest number of available instances.
    pub floor: u32,
}

impl ServiceSample {
    fn margin(self) -> i64 {
        i64::from(self.available) - i64::from(self.floor)
    }
}

impl Document for Timeline {
    type Wire = RawTimeline;
}

/// Wire form of [`Timeline`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RawTimeline(Timeline);

impl From<Timeline> for RawTimeline {
    fn from(timeline: Timeline) -> Self {
        Self(timeline)
    }
}

impl From<RawTimeline> for Timeline {
    fn from(raw: RawTimeline) -> Self {
        let mut timeline = raw.0;
        while timeline.samples.len() > SAMPLES_MAX {
            timeline.samples.pop_front();
        }
        timeline
    }
}

impl Timeline {
    /// Reads the samples that are stored.
    pub async fn load<S: Store>(store: &S) -> Result<Self, StoreError> {
        Ok(read(store, TIMELINE_KEY).await?.unwrap_or_default())
    }

    /// Takes a planning round in. Returns whether a new interval began.
    pub fn record_round(&mut self, view: &View<'_>, policy: &Policy, plan: &Plan) -> bool {
        let sample = Sample::of(view, policy, plan);
        let now = unix_s(view.now);
        let begins = self
            .samples
            .back()
            .is_none_or(|last| now >= last.at_unix_s + SAMPLE_INTERVAL.as_secs());
        match self.samples.back_mut().filter(|_| !begins) {
            Some(last) => last.merge(sample),
            None => self.samples.push_back(sample),
        }
        while self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
        begins
    }
}

impl Sample {
    fn of(view: &View<'_>, policy: &Policy, plan: &Plan) -> Self {
        let mut sample = Self { at_unix_s: unix_s(view.now), ..Self::default() };
        let index = DomainIndex::new(view.listed, view.domains);
        for (id, budget) in Budgets::new(view, &plan.next, index).iter() {
            let (available, floor) = (budget.available as u32, budget.floor as u32);
            sample.services.insert(id.clone(), ServiceSample { available, floor });
        }
        for placement in plan.next.placements.values() {
            let step = placement.step.as_ref().map(|step| &step.kind);
            *sample.pools.entry(placement.pool.clone()).or_default() += 1;
            sample.maintaining += u32::from(matches!(step, Some(StepKind::Maintain { .. })));
            sample.failing += u32::from(placement.failure.is_some());
        }
        for id in view.config.waves.keys() {
            let done = wave_status(view, policy, id).map_or(0, |status| status.done as u32);
            sample.waves.insert(id.clone(), done);
        }
        for group in view.domains.suspected() {
            sample.suspected.insert(group.domain_id(), group.members.len() as u32);
        }
        sample.moves = plan.decisions.iter().filter(|decision| is_move(decision)).count() as u32;
        sample
    }

    /// Takes in a later round of the same interval.
    fn merge(&mut self, later: Self) {
        for (id, service) in later.services {
            let known = self.services.entry(id).or_insert(service);
            if service.margin() < known.margin() {
                *known = service;
            }
        }
        self.pools = later.pools;
        self.waves = later.waves;
        self.suspected = later.suspected;
        self.moves += later.moves;
        self.maintaining = self.maintaining.max(later.maintaining);
        self.failing = self.failing.max(later.failing);
    }
}

fn is_move(decision: &Decision) -> bool {
    matches!(decision.event, FleetEvent::InstanceAssigned | FleetEvent::InstanceMoved)
}
