//! Pools, availability budgets, moves, maintenance waves, learned failure domains and repair.
//!
//! - [`document`]: the fleet document, which holds the pool of each instance and every step in
//!   progress; [`raw`] is its serialized form.
//! - [`mod@plan`]: one planning round, a pure function from a [`View`] to the next document.
//! - [`reconcile`], [`budget`], [`demand`], [`wave`], [`domain`]: the stages of a round and the
//!   rules that they apply.
//! - [`controller`]: the control loop, which plans a round, writes the document and sends reboot
//!   and trial requests; [`environment`] is the interface to its dependencies.
//! - [`handle`]: read access to the fleet for an entry instance.
//! - [`mod@explain`], [`history`], [`timeline`], [`mod@report`]: past decisions, their reasons and
//!   the state of the fleet over time.
//!
//! The fleet document is changed only by compare-and-swap.

mod advance;
pub mod budget;
pub mod code;
pub mod controller;
pub mod decision;
pub mod demand;
pub mod document;
pub mod domain;
pub mod environment;
pub mod event;
pub mod explain;
pub mod handle;
pub mod history;
pub mod operator;
pub mod plan;
pub mod policy;
pub mod raw;
pub mod reconcile;
mod repair;
pub mod report;
pub mod timeline;
pub mod view;
pub mod wave;

pub use budget::{Budget, Budgets, Shortage};
pub use code::FleetCode;
pub use controller::{Controller, RoundOutcome};
pub use decision::{Decision, Inputs, Refusal};
pub use document::{FleetDocument, Phase, Placement, Step, StepKind, Symptom};
pub use domain::{DomainId, LearnedDomains};
pub use environment::Environment;
pub use event::FleetEvent;
pub use explain::{Explanation, Subject, explain, wave_status};
pub use handle::{FleetHandle, FleetState};
pub use history::History;
pub use operator::{move_instance, plan_move};
pub use plan::{Plan, plan};
pub use policy::Policy;
pub use report::report;
pub use timeline::Timeline;
pub use view::{CompletedRequests, Demand, ListedInstances, Observations, View};
pub use wave::WaveStatus;

#[cfg(test)]
mod tests;
