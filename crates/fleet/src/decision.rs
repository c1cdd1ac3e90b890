//! Decisions with the inputs that they were made on.

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

/// One decision of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// When it was made.
    pub at: SystemTime,
    /// What was decided.
    pub event: FleetEvent,
    /// Instance that it concerns.
    pub instance: Option<InstanceId>,
    /// Pool that it concerns: of the instance, or to which it moves.
    pub pool: Option<PoolId>,
    /// Maintenance wave that it concerns.
    pub wave: Option<WaveId>,
    /// What it was made on.
    pub inputs: Inputs,
}

/// What a decision was made on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Inputs {
    /// The event says it all.
    None,
    /// An availability budget.
    Budget {
        /// Instances available before the step.
        available: usize,
        /// Lowest number of available instances.
        floor: usize,
        /// Instances kept for the failure of the worst domain.
        reserve: usize,
        /// The worst domain.
        domain: Option<DomainId>,
    },
    /// Demand for a service.
    Demand {
        /// Instances that demand and budget need.
        need: usize,
        /// Instances available before the step.
        available: usize,
        /// Lowest number of available instances.
        floor: usize,
    },
    /// A failing instance.
    Failure {
        /// What was seen.
        symptom: Symptom,
        /// Repairs that did not help.
        attempts: u32,
        /// Instances of its zone that fail.
        failing_in_zone: usize,
    },
    /// A drain.
    Drain {
        /// Requests that still run.
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
        /// Bursts of failures that counted.
        bursts: u32,
        /// Log odds, in nats.
        score_nats: f64,
    },
    /// A code that names the reason.
    Reason {
        /// Number of the code.
        code: u16,
        /// What the code means.
        meaning: Arc<str>,
    },
}

/// Why a step does not start.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// The rule that decided.
    pub code: FleetCode,
    /// What it was decided on.
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
