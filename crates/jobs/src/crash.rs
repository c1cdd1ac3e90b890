//! Decides whether a task is to blame when workers crash under it.
//!
//! A worker that crashes takes all of its runs with it, and mostly one task has caused it. Every
//! crash counts against all tasks that ran there, but two facts tell them apart: most tasks that
//! crash their worker do so soon after their start, and they do so again. A suspected task is
//! therefore started when no other suspect has just started on the worker, and after further
//! crashes when no other task at all has, or with the worker to itself. Only a crash in which no
//! other task could be to blame lets a task be given up.

use std::fmt;
use std::time::Duration;

use cassiafold_platform::Moment;

use crate::spec::RunNumber;

/// Time after its confirmed start in which a run is most likely to crash its worker, including the
/// time until the owner notices.
pub const START_WINDOW: Duration = Duration::from_millis(300);
/// Crashes soon after the start from which on a task is started apart from all others.
const APART_FROM: usize = 2;
/// Later crashes from which on a task may get a worker to itself.
const ALONE_FROM_LATE: usize = 2;
/// Weight of the crashes from which on a task with later crashes gets a worker to itself; a crash
/// soon after the start counts twice.
const ALONE_FROM_WEIGHT: usize = 4;
/// Crashes from which on a task may be given up.
const GIVEN_UP_FROM: usize = 3;
/// Crashes from which on a task is given up although its worker fell silent before it was seen to
/// have crashed, another worker was lost at the same time by chance, or earlier crashes were of
/// another kind.
const GIVEN_UP_ANYWAY_FROM: usize = 4;
/// Other workers lost at the same time from which on the cause is taken to be something that they
/// share, such as a rack or a power feed. Several deadly tasks may start at the same time, too, so
/// those on which a task had just started are left out.
const WIDESPREAD_FROM: usize = 2;
/// Losses of workers that closed their connections count as simultaneous within this time.
const CLOSED_TOGETHER: Duration = Duration::from_millis(40);
/// Losses of workers that fell silent count as simultaneous within this time: polls that are
/// pending then time out one after the other.
const SILENT_TOGETHER: Duration = Duration::from_millis(1_500);
/// Run time after which a long-running task is taken not to crash its worker.
const PROBATION: Duration = Duration::from_secs(5);
/// Run time of a long-running task after which earlier crashes no longer count.
const CRASHES_EXPIRE_AFTER: Duration = Duration::from_secs(60);

/// How contact with a worker was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContactLoss {
    /// When the first poll failed.
    pub at: Moment,
    /// When the worker may have crashed at the earliest: at that moment if its host closed or
    /// refused the connection, otherwise after its last response.
    pub crashed_from: Moment,
    /// Whether its host has closed or refused a connection since.
    pub is_closed: bool,
    /// Whether a suspected task had just started or was alone there, so that it may have crashed
    /// the worker.
    pub had_likely_cause: bool,
    /// Whether any task had just started there.
    pub had_start: bool,
}

impl ContactLoss {
    /// Whether two workers may have been lost for the same cause: at the same time, and in the same
    /// way.
    pub fn is_simultaneous(&self, other: &Self) -> bool {
        let limit = if self.is_exact() { CLOSED_TOGETHER } else { SILENT_TOGETHER };
        self.is_exact() == other.is_exact() && self.at.abs_diff(other.at) <= limit
    }

    /// Whether the time of the loss is known exactly.
    fn is_exact(&self) -> bool {
        self.crashed_from == self.at
    }
}

/// The crash of a worker, as evidence about one task that ran there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Crash {
    /// Whether the run may have been in its start window.
    pub is_soon: bool,
    /// Whether it had run well for longer than another task that is more likely to blame.
    pub is_unlikely: bool,
    /// Whether no task of another job could be to blame: beside a run in its start window, none was
    /// in its own; beside another one, none was on probation; beside one past its probation, none
    /// ran at all.
    pub was_alone: bool,
    /// Whether the worker's host closed or refused the connection; otherwise it was silent.
    pub is_closed: bool,
    /// Other workers that were lost at the same time though no suspected task may have crashed them.
    pub others_lost: usize,
    /// Those of them on which no task had just started.
    pub others_lost_without_start: usize,
}

/// Runs of a task under which the worker crashed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashHistory {
    /// Runs in their start window.
    pub soon: Vec<RunNumber>,
    /// Other runs.
    pub late: Vec<RunNumber>,
    /// Runs on workers that were lost just after the start and were not seen to have crashed, since
    /// the owner changed or the worker never came back.
    pub presumed: Vec<RunNumber>,
}

impl CrashHistory {
    /// Whether no crash is counted.
    pub fn is_empty(&self) -> bool {
        self.count() == 0
    }

    /// Number of crashes.
    pub fn count(&self) -> usize {
        self.seen() + self.presumed.len()
    }

    /// Number of crashes that were seen.
    fn seen(&self) -> usize {
        self.soon.len() + self.late.len()
    }

    /// Whether a crash under a run is counted.
    pub fn contains(&self, run: RunNumber) -> bool {
        self.soon.contains(&run) || self.late.contains(&run) || self.presumed.contains(&run)
    }

    /// Counts a crash under a run.
    pub fn record(&mut self, run: RunNumber, crash: &Crash) {
        let runs = if crash.is_soon { &mut self.soon } else { &mut self.late };
        runs.push(run);
    }

    /// How far the task is suspected.
    pub fn suspicion(&self) -> Suspicion {
        let (soon, late) = (self.soon.len(), self.late.len());
        if late >= ALONE_FROM_LATE && 2 * soon + late >= ALONE_FROM_WEIGHT {
            return Suspicion::Alone;
        }
        match (soon, late) {
            (APART_FROM.., _) => Suspicion::Apart,
            (1.., _) | (_, ALONE_FROM_LATE..) => Suspicion::Suspected,
            _ if !self.presumed.is_empty() => Suspicion::Suspected,
            _ => Suspicion::None,
        }
    }
}

/// How far a task is suspected to crash its workers, and so how it is started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// Like any other task.
    #[default]
    None,
    /// Where no other suspect is in its start window.
    Suspected,
    /// Where no other task is in its start window, and none is started until its own is over.
    Apart,
    /// On a worker of its own, beside long-running tasks past their probation at most.
    Alone,
}

impl Suspicion {
    /// Whether other tasks must keep away while it starts or runs.
    pub fn is_separated(self) -> bool {
        matches!(self, Self::Apart | Self::Alone)
    }
}

/// What a crash means for a task that ran on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Something that several workers share has failed; the crash does not count.
    Widespread,
    /// Another task is more likely to blame; the crash does not count.
    Unlikely,
    /// The crash counts, and the task is started again.
    Counted,
    /// The task is to blame and is not started again.
    GivenUp,
}

impl fmt::Display for Verdict {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Widespread => "widespread",
            Self::Unlikely => "unlikely",
            Self::Counted => "counted",
            Self::GivenUp => "given_up",
        })
    }
}

/// Judges a task by a crash, after earlier ones.
pub fn judge(earlier: &CrashHistory, crash: &Crash) -> Verdict {
    if crash.others_lost_without_start >= WIDESPREAD_FROM {
        return Verdict::Widespread;
    }
    if crash.is_unlikely {
        return Verdict::Unlikely;
    }
    let (seen, count) = (earlier.seen() + 1, earlier.count() + 1);
    // A task that crashes its worker does so in the same way each time.
    let is_consistent = match crash.is_soon {
        true => earlier.late.is_empty(),
        false => earlier.suspicion() == Suspicion::Alone,
    };
    let is_certain = crash.is_closed && crash.others_lost == 0 && is_consistent;
    let needed = if is_certain { GIVEN_UP_FROM } else { GIVEN_UP_ANYWAY_FROM };
    match crash.was_alone && (seen >= needed || count >= GIVEN_UP_ANYWAY_FROM) {
        true => Verdict::GivenUp,
        false => Verdict::Counted,
    }
}

/// Whether a run that has lasted for `elapsed` is taken not to crash its worker.
pub fn is_past_probation(is_long_running: bool, elapsed: Duration) -> bool {
    is_long_running && elapsed >= PROBATION
}

/// Whether crashes before a run that has lasted for `elapsed` no longer count.
pub fn clears_earlier_crashes(is_long_running: bool, elapsed: Duration) -> bool {
    is_long_running && elapsed >= CRASHES_EXPIRE_AFTER
}
