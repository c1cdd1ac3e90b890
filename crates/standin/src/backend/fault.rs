//! Faults that a stand-in backend server commits on command.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A fault at one point of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Resets a connection as soon as it was made.
    ResetOnAccept,
    /// Resets the connection when the first bytes of the request have come.
    ResetDuringWrite,
    /// Reads the whole request, runs it and resets the connection.
    ResetAfterRun,
    /// Runs the request and closes the connection within the head of the answer.
    CutHead,
    /// Runs the request and closes the connection within a body of declared length.
    CutBody,
    /// Runs the request and closes the connection within a chunked body.
    CutChunked,
    /// Reads the request, does not run it, and never answers.
    Silence,
    /// Runs the request and never answers.
    SilenceAfterRun,
    /// Runs the request for so long, whether the caller waits or not, then answers.
    Slow(Duration),
    /// Runs the request and answers with the id of another one.
    WrongRequestId,
    /// Runs the request and answers with a body whose end is marked by the close only.
    Unframed,
    /// Refuses the request without running it, and says so.
    RefuseNotRun,
    /// Runs the request and answers with status 500 at once.
    ServerError,
}

/// Faults to commit: first those queued, one a request, then the lasting one. Clones share one
/// state.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    state: Arc<Mutex<Plan>>,
}

#[derive(Debug, Default)]
struct Plan {
    queued: VecDeque<Fault>,
    lasting: Option<Fault>,
}

impl FaultPlan {
    /// Commits `fault` at the next request that has none yet.
    pub fn queue(&self, fault: Fault) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).queued.push_back(fault);
    }

    /// Commits `fault` at every request without a queued fault; `None` ends this.
    pub fn set(&self, fault: Option<Fault>) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).lasting = fault;
    }

    /// Takes the fault for a new connection, if the next one is [`Fault::ResetOnAccept`].
    pub(super) fn on_accept(&self) -> bool {
        let mut plan = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if plan.queued.front() == Some(&Fault::ResetOnAccept) {
            plan.queued.pop_front();
            return true;
        }
        plan.queued.is_empty() && plan.lasting == Some(Fault::ResetOnAccept)
    }

    /// Takes the fault for a request.
    pub(super) fn on_request(&self) -> Option<Fault> {
        let mut plan = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let lasting = plan.lasting;
        plan.queued.pop_front().or(lasting)
    }
}
