//! Decisions of the planner and the inputs that they are based on.

use std::fmt;
use std::sync::Arc;
use std::time::SystemTime;

use cassiafold_config::{InstanceId, PoolId, WaveId};
use serde::{Deserialize, Serialize};

use crate::budget::Shortage;
use crate::code::FleetCode;
use crate::document::Symptom;
use crate::domain::DomainId;
use crate::event::FleetEvent;

/// One decision of the planner or an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// Time of the decision.
    pub at: SystemTime,
    /// Event that the decision is logged as.
    pub event: FleetEvent,
    /// Affected instance.
    pub instance: Option<InstanceId>,
    /// Affected pool: the pool of the instance, or the one it moves to.
    pub pool: Option<PoolId>,
    /// Affected maintenance wave.
    pub wave: Option<WaveId>,
    /// Values that the decision is based on.
    pub inputs: Inputs,
}

/// Values that a decision is based on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Inputs {
    /// No inputs beyond the event itself.
    None,
    /// An availability budget.
    Budget {
        /// Instances available before the step.
        available: usize,
        /// Minimum number of available instances.
        floor: usize,
        /// Instances held in reserve for a failure of the worst domain.
        reserve: usize,
        /// Failure domain with the most available instances.
        domain: Option<DomainId>,
    },
    /// Demand for a service.
    Demand {
        /// Instances needed for the demand and the availability budget.
        need: usize,
        /// Instances available before the step.
        available: usize,
        /// Minimum number of available instances.
        floor: usize,
    },
    /// A failing instance.
    Failure {
        /// Observed symptom.
        symptom: Symptom,
        /// Number of unsuccessful repairs.
        attempts: u32,
        /// Failing instances in its zone.
        failing_in_zone: usize,
    },
    /// A drain.
    Drain {
        /// Requests that are still running.
        running: u32,
        /// Time since the start of the step, in milliseconds.
        waited_ms: u64,
    },
    /// A learned failure domain.
    Domain {
        /// Name of the domain.
        domain: DomainId,
        /// Number of members.
        members: usize,
        /// Bursts of failures that are evidence for the domain.
        bursts: u32,
        /// Log odds, in nats.
        score_nats: f64,
    },
    /// A result code that gives the reason.
    Reason {
        /// Number of the code.
        code: u16,
        /// Meaning of the code.
        meaning: Arc<str>,
    },
}

/// Why a step does not start now.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Result code of the rule that applies.
    pub code: FleetCode,
    /// Values that the rule was checked against.
    pub inputs: Inputs,
}

impl From<FleetCode> for Refusal {
    fn from(code: FleetCode) -> Self {
        Self { code, inputs: Inputs::None }
    }
}

impl From<Shortage> for Refusal {
    fn from(shortage: Shortage) -> Self {
        Self { code: FleetCode::BudgetShort, inputs: shortage.into() }
    }
}

impl From<Shortage> for Inputs {
    fn from(shortage: Shortage) -> Self {
        Self::Budget {
            available: shortage.available,
            floor: shortage.floor,
            reserve: shortage.reserve,
            domain: shortage.domain,
        }
    }
}

impl From<FleetCode> for Inputs {
    fn from(code: FleetCode) -> Self {
        let row = code.row();
        Self::Reason { code: row.number, meaning: row.meaning.into() }
    }
}

impl fmt::Display for Inputs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => write!(f, "-"),
            Self::Budget { available, floor, reserve, domain } => {
                let domain = domain.as_deref().unwrap_or("none");
                write!(f, "available {available}, floor {floor}, reserve {reserve} for {domain}")
            }
            Self::Demand { need, available, floor } => {
                write!(f, "need {need}, available {available}, floor {floor}")
            }
            Self::Failure { symptom, attempts, failing_in_zone } => write!(
                f,
                "{symptom:?}, {attempts} repairs so far, {failing_in_zone} failing in the zone"
            ),
            Self::Drain { running, waited_ms } => {
                write!(f, "{running} requests running after {waited_ms} ms")
            }
            Self::Domain { domain, members, bursts, score_nats } => {
                write!(
                    f,
                    "{domain}: {members} members, {bursts} shared failures, {score_nats:.1} nats"
                )
            }
            Self::Reason { code, meaning } => write!(f, "{code}: {meaning}"),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = self.code.row();
        write!(f, "{} {}: {}", row.number, row.name, row.meaning)?;
        match &self.inputs {
            Inputs::None => Ok(()),
            inputs => write!(f, " ({inputs})"),
        }
    }
}

impl Decision {
    /// Logs the decision as a numbered event.
    pub fn log(&self) {
        cassiafold_event::emit!(
            self.event,
            instance = self.instance.as_deref().unwrap_or("-"),
            pool = self.pool.as_deref().unwrap_or("-"),
            wave = self.wave.as_deref().unwrap_or("-"),
            inputs = self.inputs,
        );
    }
}
