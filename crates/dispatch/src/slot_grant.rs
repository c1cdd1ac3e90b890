//! What a request gets when its turn has come, and gives back at its end.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::Instance;

use crate::accepted_request::AcceptedRequest;
use crate::backend::BackendIndex;
use crate::dependencies::Dependencies;
use crate::limit::LimitSource;
use crate::problem::Problem;

/// Permit type of the upper limits of `E`.
pub type PermitOf<E> = <<E as Dependencies>::Limits as LimitSource>::Permit;

/// Permission to run one request at one backend server.
#[derive(Debug)]
pub struct SlotGrant<P> {
    /// Position of the backend server in the index.
    pub index: BackendIndex,
    /// The backend server.
    pub instance: Instance,
    /// Permit under the team's upper limit.
    pub permit: Option<P>,
    /// Slot time that the team was charged, in seconds.
    pub cost_s: f64,
}

/// Outcome of a wait, for the request's task.
pub type Reply<P> = Result<SlotGrant<P>, Problem>;

/// Outcomes to deliver, each with where it goes.
pub type Replies<R, P> = Vec<(R, Arc<AcceptedRequest>, Reply<P>)>;

/// How a started request ended, for the accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// A whole answer came.
    Completed,
    /// No backend server ran it.
    NotRun,
    /// It was given up or broke off.
    Abandoned,
}

/// What a started request gives back at its end.
#[derive(Debug)]
pub struct FinishedRequest<'a> {
    /// The request.
    pub request: &'a AcceptedRequest,
    /// Position of the backend server in the index.
    pub index: BackendIndex,
    /// Slot time that the team was charged, in seconds.
    pub cost_s: f64,
    /// Time for which the slot was held.
    pub held: Duration,
    /// How the request ended.
    pub end_reason: EndReason,
}
