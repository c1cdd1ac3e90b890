//! Conversion of the fleet's types to the types of the operators' interface.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use cassiafold_config::{InstanceId, ZoneId};
use cassiafold_fleet::FleetCode;
use cassiafold_fleet::explain::BlockedStep;
use serde_json::Value;

use crate::source::{Decision, Explanation, Fact, Inputs, Reason, WaveStatus, WhyNot};

impl From<cassiafold_fleet::Explanation> for Explanation {
    fn from(explanation: cassiafold_fleet::Explanation) -> Self {
        let fact = |fact: cassiafold_fleet::explain::Fact| Fact {
            name: fact.name.into(),
            value: fact.value,
        };
        Self {
            facts: explanation.facts.into_iter().map(fact).collect(),
            why_not: explanation.blocked_steps.into_iter().map(WhyNot::from).collect(),
            decisions: explanation.decisions.into_iter().map(Decision::from).collect(),
        }
    }
}

impl From<BlockedStep> for WhyNot {
    fn from(blocked: BlockedStep) -> Self {
        Self {
            step: blocked.step.into(),
            reason: blocked.refusal.code.into(),
            inputs: inputs(&blocked.refusal.inputs),
        }
    }
}

impl From<cassiafold_fleet::Decision> for Decision {
    fn from(decision: cassiafold_fleet::Decision) -> Self {
        let row = decision.event.row();
        let since = decision.at.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            unix_ms: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
            event: row.number,
            message: row.message.into(),
            instance: decision.instance,
            pool: decision.pool,
            wave: decision.wave,
            inputs: inputs(&decision.inputs),
        }
    }
}

impl From<FleetCode> for Reason {
    fn from(code: FleetCode) -> Self {
        let row = code.row();
        Self { code: row.number, meaning: row.meaning.into() }
    }
}

impl WaveStatus {
    /// Converts the status of a wave at `now`, and adds the instances under maintenance and their
    /// availability zone.
    pub fn at(
        status: &cassiafold_fleet::WaveStatus,
        now: SystemTime,
        in_progress: Vec<InstanceId>,
        zone: Option<ZoneId>,
    ) -> Self {
        Self {
            wave: status.wave.clone(),
            total: count(status.total),
            done: count(status.done),
            in_progress,
            zone,
            set_back: count(status.deferred),
            overdue: count(status.overdue),
            held_back: status.paused.map(Reason::from),
            deadline_unix_s: unix_s(status.deadline),
            expected_end_unix_s: status.expected_end.map(unix_s),
            late: status.late(now),
        }
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn unix_s(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}

/// Returns the fields of the inputs by name, without the name of the enum variant.
fn inputs(inputs: &cassiafold_fleet::decision::Inputs) -> Inputs {
    let Ok(Value::Object(variants)) = serde_json::to_value(inputs) else { return Inputs::new() };
    let fields = variants.into_iter().filter_map(|(_, fields)| match fields {
        Value::Object(fields) => Some(fields),
        _ => None,
    });
    let to_text = |value: Value| match value {
        Value::String(text) => text,
        other => other.to_string(),
    };
    let present = fields.flatten().filter(|(_, value)| !value.is_null());
    present.map(|(name, value)| (Arc::from(name), Arc::from(to_text(value)))).collect()
}

#[cfg(test)]
mod tests;
