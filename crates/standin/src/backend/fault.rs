//! Fault injection for a stand-in backend server.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A fault at one point of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Resets a connection as soon as it is accepted.
    ResetOnAccept,
    /// Resets the connection when the first bytes of the request have arrived.
    ResetDuringWrite,
    /// Reads the whole request, runs it and resets the connection.
    ResetAfterRun,
    /// Runs the request and closes the connection within the head of the response.
    CutHead,
    /// Runs the request and closes the connection within a body with a content length.
    CutBody,
    /// Runs the request and closes the connection within a chunked body.
    CutChunked,
    /// Reads the request, does not run it, and never responds.
    Silence,
    /// Runs the request and never responds.
    SilenceAfterRun,
    /// Runs the request for this time, whether or not the client still waits, then responds.
    Slow(Duration),
    /// Runs the request and responds with the id of another request.
    WrongRequestId,
    /// Runs the request and responds with a body that is delimited only by closing the connection.
    Unframed,
    /// Rejects the request and reports that it was not run.
    RefuseNotRun,
    /// Runs the request and responds with status 500.
    ServerError,
}

/// Faults to inject: first the queued faults, one per request, then the continuous one. Clones
/// share one state.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    state: Arc<Mutex<Plan>>,
}

#[derive(Debug, Default)]
struct Plan {
    queued: VecDeque<Fault>,
    continuous: Option<Fault>,
}

impl FaultPlan {
    /// Queues `fault` for the next request without a queued fault.
    pub fn queue(&self, fault: Fault) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).queued.push_back(fault);
    }

    /// Injects `fault` into every request without a queued fault; `None` ends the fault.
    pub fn set(&self, fault: Option<Fault>) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).continuous = fault;
    }

    /// Returns whether to reset a new connection: whether its fault is [`Fault::ResetOnAccept`].
    /// Removes that fault if it is queued.
    pub(super) fn on_accept(&self) -> bool {
        let mut plan = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if plan.queued.front() == Some(&Fault::ResetOnAccept) {
            plan.queued.pop_front();
            return true;
        }
        plan.queued.is_empty() && plan.continuous == Some(Fault::ResetOnAccept)
    }

    /// Returns the fault of a request, if any, and removes it if it is queued.
    pub(super) fn on_request(&self) -> Option<Fault> {
        let mut plan = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let continuous = plan.continuous;
        plan.queued.pop_front().or(continuous)
    }
}
