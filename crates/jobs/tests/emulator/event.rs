//! Events of the emulation, ordered by time.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::clients::{
    CommandOutcome, PollError, PollRequest, PollResponse, StartRequest,
};
use cassiafold_jobs::scheduler::WriteBatch;
use cassiafold_jobs::spec::{RunNumber, TaskId};

/// Incarnation of a worker to which a command was sent. A delayed command is dropped if the worker
/// has restarted since.
#[derive(Debug, Clone, Copy)]
pub struct Incarnation {
    pub worker: usize,
    pub started_at: Duration,
}

/// A poll request in flight to a worker.
pub struct SentPoll {
    pub owner: u64,
    pub slot: usize,
    pub is_out_of_band: bool,
    pub worker: usize,
    pub worker_id: Arc<str>,
    pub request: PollRequest,
    pub sent: Duration,
}

/// An event of the emulation.
pub enum Event {
    Poll(SentPoll),
    PollDone {
        owner: u64,
        slot: usize,
        is_out_of_band: bool,
        sent: Duration,
        result: Result<PollResponse, PollError>,
    },
    Start {
        owner: u64,
        slot: usize,
        target: Incarnation,
        request: StartRequest,
        responds: bool,
    },
    StartDone {
        owner: u64,
        slot: usize,
        task: TaskId,
        run: RunNumber,
        outcome: CommandOutcome,
    },
    Stop {
        owner: u64,
        slot: usize,
        target: Incarnation,
        task: TaskId,
        run: RunNumber,
        responds: bool,
    },
    StopDone {
        owner: u64,
        slot: usize,
        task: TaskId,
        run: RunNumber,
        outcome: CommandOutcome,
    },
    WriteCommitted {
        owner: u64,
        batch: WriteBatch,
    },
    RunFinished {
        worker: usize,
        task: TaskId,
        run: RunNumber,
    },
    Crash {
        worker: usize,
    },
    Restart {
        worker: usize,
    },
    OwnerCrash,
    OwnerStart,
    Tick,
}

/// An event with its time and sequence number, which order the queue with the earliest first.
pub struct Scheduled(pub Reverse<(Duration, u64)>, pub Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}
