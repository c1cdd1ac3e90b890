//! Regression tests: tasks that crash each worker that starts them.

mod emulator;

use std::time::Duration;

use cassiafold_jobs::record::JobState;
use cassiafold_jobs::spec::{JobId, Resources, StepId, StepSpec, TaskId};

use self::emulator::crashes::Return;
use self::emulator::faults::Faults;
use self::emulator::{Emulator, job, ms, step};

/// Time after which a task crashes its worker.
const SOON: Duration = Duration::from_millis(10);
/// Number of workers, each with room for 16 tasks of [`small_job`].
const WORKERS: usize = 12;

/// The first task of a job.
fn first_task(job: JobId) -> TaskId {
    TaskId { step: StepId { job, occurrence: 0, step: 0 }, index: 0 }
}

/// Two steps of six tasks of one core.
fn small_job() -> Vec<StepSpec> {
    vec![step(6, 1, &[]), step(6, 1, &[0])]
}

/// A day on which a job arrives every 200 ms, and the first task of some jobs is deadly.
struct Day {
    returns: Return,
    /// Each job whose number is a multiple of it is deadly.
    deadly_every: JobId,
    crash_after: Duration,
    steps: fn() -> Vec<StepSpec>,
    faults: Faults,
    /// When the owner is replaced, in milliseconds.
    takeovers_ms: &'static [u64],
}

impl Day {
    const fn plain(returns: Return) -> Self {
        let faults = Faults {
            command_lost: 0.0,
            command_late: 0.0,
            command_unanswered: 0.0,
            poll_lost: 0.0,
            run_failed: 0.0,
        };
        Self {
            returns,
            deadly_every: 20,
            crash_after: SOON,
            steps: small_job,
            faults,
            takeovers_ms: &[],
        }
    }

    fn is_deadly(&self, id: JobId) -> bool {
        id.is_multiple_of(self.deadly_every)
    }

    /// Plays 60 jobs, and time for all of them to end.
    fn play(&self, seed: u64) -> Emulator {
        let mut emulator = Emulator::new(seed, WORKERS, Resources::default(), self.faults);
        emulator.crashes.returns = self.returns;
        emulator.run(ms(3_000));
        for at in self.takeovers_ms {
            emulator.replace_owner(ms(*at), ms(700));
        }
        for id in 1..=JOBS {
            if self.is_deadly(id) {
                emulator.make_deadly(first_task(id), self.crash_after);
            }
            emulator.submit(id, job((self.steps)()));
            emulator.run(ms(200));
        }
        emulator.run(ms(40_000));
        emulator
    }

    /// Checks that the deadly jobs have failed, and that all others are complete.
    fn check(&self, seed: u64) {
        let emulator = self.play(seed);
        assert!(emulator.violations.is_empty(), "seed {seed}: {:#?}", emulator.violations);
        let mut unexpected = Vec::new();
        for id in 1..=JOBS {
            let (state, crashes) = (emulator.state(id), emulator.crashes_under(first_task(id)));
            let expected = match self.is_deadly(id) {
                true => crashes >= 2 && state == JobState::Failed,
                false => state == JobState::Completed,
            };
            if !expected {
                unexpected.push((id, state, crashes));
            }
        }
        assert!(unexpected.is_empty(), "seed {seed}: {unexpected:?}");
    }
}

/// Number of jobs of a day.
const JOBS: JobId = 60;
/// Seeds that each day is played with.
const SEEDS: u64 = 4;

macro_rules! days {
    ($($name:ident: $day:expr;)+) => {
        $(#[test] fn $name() {
            for seed in 1..=SEEDS {
                $day.check(seed);
            }
        })+
    };
}

days! {
    a_task_that_crashes_each_worker_is_given_up_and_the_tasks_beside_it_complete:
        Day::plain(Return::OtherId);
    a_task_whose_workers_restart_under_their_ids_is_given_up:
        Day::plain(Return::SameId);
}
