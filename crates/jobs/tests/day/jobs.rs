//! Jobs of a day, and what is known about each of them.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cassiafold_jobs::record::{JobRecord, JobState};
use cassiafold_jobs::spec::{JobId, Schedule, StepId, StepSpec, TaskId};
use cassiafold_platform::since_boot;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::emulator::{job, ms, step};

/// Shape of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    Short,
    Steps,
    LongRunning,
    Scheduled,
    Wide,
    Slow,
}

/// What the callers know about a job.
#[derive(Debug, Clone)]
pub struct DayJob {
    pub id: JobId,
    pub shape: Shape,
    pub queue: &'static str,
    pub record: JobRecord,
    pub run_time: Option<Duration>,
    pub is_accepted: bool,
    /// Whether some attempt to submit it may have been stored.
    pub may_be_stored: bool,
    /// When a cancellation was first sent, and whether one was accepted.
    pub cancel_sent: Option<Duration>,
    pub cancel_accepted: bool,
    /// Final state that a caller was told, and when.
    pub reported_final: Option<(JobState, Duration)>,
    /// When a caller was told that no such job exists.
    pub reported_unknown: Option<Duration>,
}

impl DayJob {
    /// A job of a random shape.
    pub fn random(
        id: JobId,
        queue: &'static str,
        long_running_max: bool,
        random: &mut StdRng,
    ) -> Self {
        let tasks = random.random_range(1..=4);
        let time = ms(random.random_range(20..400));
        let (shape, steps, run_time) = match random.random_range(0..20) {
            0 if !long_running_max => {
                let step = StepSpec { long_running: true, ..step(tasks.min(3), 1, &[]) };
                (Shape::LongRunning, vec![step], None)
            }
            1 | 2 => (Shape::Scheduled, vec![step(tasks, 1, &[])], Some(time)),
            3 => (Shape::Wide, vec![step(60, 1, &[])], Some(ms(60))),
            4 | 5 => (Shape::Slow, vec![step(tasks, 1, &[])], Some(time * 10)),
            6..12 => {
                let steps = vec![step(tasks, 1, &[]), step(2, 1, &[0]), step(tasks, 1, &[0, 1])];
                (Shape::Steps, steps, Some(time / 2))
            }
            _ => (Shape::Short, vec![step(tasks, 1, &[])], Some(time)),
        };
        let mut record = job(steps);
        record.queue = queue.into();
        if shape == Shape::Scheduled {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
            let interval = ms(random.random_range(200..900));
            let first_unix = now + ms(random.random_range(0..1_500));
            record.spec.schedule = Some(Schedule { first_unix, interval, occurrences: 4 });
        }
        Self {
            id,
            shape,
            queue,
            record,
            run_time,
            is_accepted: false,
            may_be_stored: false,
            cancel_sent: None,
            cancel_accepted: false,
            reported_final: None,
            reported_unknown: None,
        }
    }

    /// All its tasks.
    pub fn tasks(&self) -> impl Iterator<Item = TaskId> {
        let job = self.id;
        let steps = &self.record.spec.steps;
        (0..self.record.spec.occurrences()).flat_map(move |occurrence| {
            (0..).zip(steps).flat_map(move |(number, step)| {
                let step_id = StepId { job, occurrence, step: number };
                (0..step.tasks).map(move |index| TaskId { step: step_id, index })
            })
        })
    }

    /// Whether the job may be unknown by now: it had ended for as long as its state must be known.
    pub fn may_be_unknown(
        &self,
        done: &BTreeMap<TaskId, Duration>,
        status_retention: Duration,
    ) -> bool {
        let done_at = self.tasks().map(|task| done.get(&task).copied()).max_by(later).flatten();
        let ended_at = match (done_at, self.cancel_sent) {
            (Some(done_at), Some(cancelled_at)) => Some(done_at.min(cancelled_at)),
            (done_at, cancelled_at) => done_at.or(cancelled_at),
        };
        ended_at.is_some_and(|at| since_boot() >= at + status_retention)
    }

    /// Why the answer to a query that was sent at `asked` is untrue, if it is. `done` are the tasks
    /// that had ended when the answer arrived.
    pub fn contradiction(
        &mut self,
        state: JobState,
        asked: Duration,
        done: &BTreeMap<TaskId, Duration>,
    ) -> Option<String> {
        // An answer on its way may be overtaken, and an instance may know a final state longer than
        // the store.
        if self.reported_unknown.is_some_and(|told_at| asked > told_at) && !state.is_final() {
            return Some(format!("{state:?} after it was unknown"));
        }
        if let Some((told, told_at)) = self.reported_final
            && told != state
            && asked > told_at
        {
            return Some(format!("{state:?} after {told:?}"));
        }
        if state.is_final() && self.reported_final.is_none() {
            self.reported_final = Some((state, since_boot()));
        }
        match state {
            JobState::Failed => Some("failed without cause".into()),
            JobState::Cancelled if self.cancel_sent.is_none() => {
                Some("cancelled without cause".into())
            }
            JobState::Completed => {
                let open = self.tasks().find(|task| !done.contains_key(task))?;
                Some(format!("completed while {open} has not ended"))
            }
            _ => None,
        }
    }
}

/// Orders the ends of tasks; a task without an end comes last.
fn later(one: &Option<Duration>, other: &Option<Duration>) -> Ordering {
    let key = |end: &Option<Duration>| end.unwrap_or(Duration::MAX);
    key(one).cmp(&key(other))
}
