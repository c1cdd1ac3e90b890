//! Grant of a slot to a request, and its return when the request ends.

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

/// Grant of one slot of a backend server to a request.
#[derive(Debug)]
pub struct SlotGrant<P> {
    /// Key of the backend server in the index.
    pub index: BackendIndex,
    /// The backend server.
    pub instance: Instance,
    /// Permit under the team's upper limit; `None` if no limit applies.
    pub permit: Option<P>,
    /// Slot time charged to the team, in seconds.
    pub cost_s: f64,
}

/// Result of waiting in a queue.
pub type Reply<P> = Result<SlotGrant<P>, Problem>;

/// Results to deliver, each with its receiver and request.
pub type Replies<R, P> = Vec<(R, Arc<AcceptedRequest>, Reply<P>)>;

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The response was complete.
    Completed,
    /// The request was not run.
    NotRun,
    /// The request was abandoned or its response ended early.
    Abandoned,
}

/// A started request that has ended.
#[derive(Debug)]
pub struct FinishedRequest<'a> {
    /// The request.
    pub request: &'a AcceptedRequest,
    /// Key of the backend server in the index.
    pub index: BackendIndex,
    /// Slot time charged to the team, in seconds.
    pub cost_s: f64,
    /// Time for which the request held its slot.
    pub held: Duration,
    /// How the request ended.
    pub end_reason: EndReason,
}
