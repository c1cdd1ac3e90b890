//! Bounded series of samples of the fleet for the report.

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
/// Interval of the samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_secs(600);
/// Maximum number of samples: two days.
pub const SAMPLES_MAX: usize = 288;

/// Series of samples.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timeline {
    /// Samples, oldest first.
    pub samples: VecDeque<Sample>,
}

/// State of the fleet over one interval.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// Start of the interval, in seconds since the Unix epoch.
    pub at_unix_s: u64,
    /// Each service at its lowest margin in the interval.
    pub services: BTreeMap<Arc<str>, ServiceSample>,
    /// Instances in each pool at the end of the interval.
    pub pools: BTreeMap<Arc<str>, u32>,
    /// Instances already maintained in each wave at the end of the interval.
    pub waves: BTreeMap<Arc<str>, u32>,
    /// Moves and assignments in the interval.
    pub moves: u32,
    /// Maximum number of instances under maintenance in the interval.
    pub maintaining: u32,
    /// Maximum number of failing instances in the interval.
    pub failing: u32,
    /// Members of each suspected failure domain at the end of the interval.
    pub suspected: BTreeMap<Arc<str>, u32>,
}

/// State of a service at its lowest margin in an interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSample {
    /// Available instances.
    pub available: u32,
    /// Minimum number of available instances that the budget requires.
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

/// Serialized form of [`Timeline`].
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
    /// Reads the samples from the store.
    pub async fn load<S: Store>(store: &S) -> Result<Self, StoreError> {
        Ok(read(store, TIMELINE_KEY).await?.unwrap_or_default())
    }

    /// Adds a planning round to the current interval, or starts a new one. Returns whether a new
    /// interval started.
    pub fn record_round(&mut self, view: &View<'_>, policy: &Policy, plan: &Plan) -> bool {
        let sample = Sample::from_round(view, policy, plan);
        let now = unix_s(view.now);
        let starts_interval = self
            .samples
            .back()
            .is_none_or(|last| now >= last.at_unix_s + SAMPLE_INTERVAL.as_secs());
        match self.samples.back_mut().filter(|_| !starts_interval) {
            Some(last) => last.merge(sample),
            None => self.samples.push_back(sample),
        }
        while self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
        starts_interval
    }
}

impl Sample {
    fn from_round(view: &View<'_>, policy: &Policy, plan: &Plan) -> Self {
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

    /// Merges a later round of the same interval.
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
