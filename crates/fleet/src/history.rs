//! Bounded history of the latest decisions, stored in segments.
//!
//! A segment is one key with up to [`SEGMENT_MAX`] decisions. Segment keys are reused in rotation,
//! and a save writes only the segments that have changed.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use cassiafold_config::{InstanceId, PoolId, WaveId};
use cassiafold_platform::{Document, Envelope, Store, StoreError};
use serde::{Deserialize, Serialize};

use crate::decision::{Decision, Inputs};
use crate::document::{FleetDocument, StepKind};
use crate::event::FleetEvent;
use crate::raw::{from_unix_ms, unix_ms};

/// Prefix of the keys of the segments.
pub const DECISIONS_PREFIX: &str = "cassiafold/fleet-decisions/";
/// Maximum number of decisions in a segment.
pub const SEGMENT_MAX: usize = 128;
/// Number of segments.
pub const SEGMENTS: u64 = 16;

/// The latest decisions, oldest first.
#[derive(Debug, Clone, Default)]
pub struct History {
    decisions: VecDeque<Decision>,
    /// Number of decisions ever recorded.
    total: u64,
    /// Value of `total` at the last save.
    saved: u64,
}

/// One segment as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSegment {
    /// Number of the segment since the start of the history.
    pub number: u64,
    /// Decisions, oldest first.
    pub decisions: Vec<RawDecision>,
}

/// A segment is its own serialized form: decisions are validated when the history is restored.
impl Document for RawSegment {
    type Wire = Self;
}

/// Serialized form of [`Decision`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDecision {
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Number of the event.
    pub event: u16,
    /// Affected instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<Arc<str>>,
    /// Affected pool.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<Arc<str>>,
    /// Affected wave.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wave: Option<Arc<str>>,
    /// Values that the decision is based on.
    pub inputs: Inputs,
}

/// A stored decision has an unknown event number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("unknown event number {0}")]
pub struct UnknownEvent(pub u16);

impl History {
    /// Adds decisions and drops the oldest ones beyond the limit.
    pub fn extend(&mut self, decisions: impl IntoIterator<Item = Decision>) {
        for decision in decisions {
            self.decisions.push_back(decision);
            self.total += 1;
        }
        let limit = SEGMENT_MAX * (SEGMENTS as usize - 1);
        while self.decisions.len() > limit {
            self.decisions.pop_front();
        }
    }

    /// Adds the start of moves in progress that operators have requested. Moves that are already in
    /// the history are skipped.
    pub fn record_operator_moves(&mut self, document: &FleetDocument) {
        for (id, placement) in &document.placements {
            let Some(step) = &placement.step else { continue };
            let StepKind::Move { to, permanent: true } = &step.kind else { continue };
            let known = |decision: &Decision| {
                decision.at == step.started && decision.instance.as_ref() == Some(id)
            };
            if !self.decisions.iter().rev().any(known) {
                self.extend([Decision {
                    at: step.started,
                    event: FleetEvent::MoveStarted,
                    instance: Some(id.clone()),
                    pool: Some(to.clone()),
                    wave: None,
                    inputs: Inputs::None,
                }]);
            }
        }
    }

    /// All decisions in the history, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Decision> {
        self.decisions.iter()
    }

    /// Latest `count` decisions that satisfy `predicate`, newest first.
    pub fn last(&self, count: usize, predicate: impl Fn(&Decision) -> bool) -> Vec<Decision> {
        self.iter().rev().filter(|decision| predicate(decision)).take(count).cloned().collect()
    }

    /// Latest decisions about an instance, newest first.
    pub fn of_instance(&self, id: &InstanceId, count: usize) -> Vec<Decision> {
        self.last(count, |decision| decision.instance.as_ref() == Some(id))
    }

    /// Latest decisions about a pool, newest first.
    pub fn of_pool(&self, id: &PoolId, count: usize) -> Vec<Decision> {
        self.last(count, |decision| decision.pool.as_ref() == Some(id))
    }

    /// Latest decisions about a wave, newest first.
    pub fn of_wave(&self, id: &WaveId, count: usize) -> Vec<Decision> {
        self.last(count, |decision| decision.wave.as_ref() == Some(id))
    }

    /// Segments that have changed since the last call of [`History::mark_saved`], by store key.
    pub fn unsaved(&self) -> BTreeMap<String, RawSegment> {
        let per_segment = SEGMENT_MAX as u64;
        let first = self.total - self.decisions.len() as u64;
        let mut segments: BTreeMap<u64, Vec<RawDecision>> = BTreeMap::new();
        for (number, decision) in (first..).zip(&self.decisions) {
            if number / per_segment >= self.saved / per_segment {
                segments.entry(number / per_segment).or_default().push(decision.into());
            }
        }
        if self.saved == self.total {
            segments.clear();
        }
        let segments = segments.into_iter().map(|(number, decisions)| {
            let key = format!("{DECISIONS_PREFIX}{}", number % SEGMENTS);
            (key, RawSegment { number, decisions })
        });
        segments.collect()
    }

    /// Marks all current decisions as saved.
    pub fn mark_saved(&mut self) {
        self.saved = self.total;
    }

    /// Reads the history from the store; malformed segments are skipped.
    pub async fn load<S: Store>(store: &S) -> Result<Self, StoreError> {
        let records = store.list(DECISIONS_PREFIX).await?.records;
        let segments = records.iter().filter_map(|record| {
            let envelope = Envelope::<RawSegment>::decode(&record.value).ok()?;
            Some(envelope.value)
        });
        Ok(Self::restore(segments.collect()))
    }

    /// Restores the history from stored segments; decisions with an unknown event are skipped.
    pub fn restore(mut segments: Vec<RawSegment>) -> Self {
        segments.sort_by_key(|segment| segment.number);
        let total = segments.last().map_or(0, |segment| {
            segment.number * SEGMENT_MAX as u64 + segment.decisions.len() as u64
        });
        let raw = segments.into_iter().flat_map(|segment| segment.decisions);
        let decisions: VecDeque<Decision> =
            raw.filter_map(|decision| Decision::try_from(decision).ok()).collect();
        Self { decisions, total, saved: total }
    }
}

impl From<&Decision> for RawDecision {
    fn from(decision: &Decision) -> Self {
        Self {
            at_unix_ms: unix_ms(decision.at),
            event: decision.event.row().number,
            instance: decision.instance.clone(),
            pool: decision.pool.clone(),
            wave: decision.wave.clone(),
            inputs: decision.inputs.clone(),
        }
    }
}

impl TryFrom<RawDecision> for Decision {
    type Error = UnknownEvent;

    fn try_from(raw: RawDecision) -> Result<Self, UnknownEvent> {
        Ok(Self {
            at: from_unix_ms(raw.at_unix_ms),
            event: FleetEvent::from_number(raw.event).ok_or(UnknownEvent(raw.event))?,
            instance: raw.instance,
            pool: raw.pool,
            wave: raw.wave,
            inputs: raw.inputs,
        })
    }
}

#[cfg(test)]
mod tests;
