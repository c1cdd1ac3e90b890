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

/// A gang of four tasks.
fn gang() -> Vec<StepSpec> {
    vec![StepSpec { gang: true, ..step(4, 2, &[]) }]
}

/// A day on which a job arrives every 200 ms, and the first task of some jobs is deadly.
#[derive(Clone, Copy)]
struct Day {
    returns: Return,
    /// Each job whose number is a multiple of it is deadly.
    deadly_every: JobId,
    crash_after: Duration,
    steps: fn() -> Vec<StepSpec>,
    faults: Faults,
    /// When the owner is replaced, in milliseconds after the first job.
    takeovers_ms: &'static [u64],
    /// When workers crash by themselves, in milliseconds, and how many at once.
    crashes_ms: &'static [(u64, usize)],
}

const PLAIN: Day = Day {
    returns: Return::OtherId,
    deadly_every: 20,
    crash_after: SOON,
    steps: small_job,
    faults: Faults::none(),
    takeovers_ms: &[],
    crashes_ms: &[],
};
/// No job is deadly.
const HARMLESS: Day = Day { deadly_every: JobId::MAX, ..PLAIN };

impl Day {
    fn is_deadly(&self, id: JobId) -> bool {
        id.is_multiple_of(self.deadly_every)
    }

    /// Plays all jobs, and time for them to end.
    fn play(&self, seed: u64) -> Emulator {
        let mut emulator = Emulator::new(seed, WORKERS, Resources::default(), self.faults);
        emulator.crashes.returns = self.returns;
        emulator.run(ms(3_000));
        for at in self.takeovers_ms {
            emulator.replace_owner(ms(*at), ms(700));
        }
        for (at, workers) in self.crashes_ms {
            for worker in 0..*workers {
                emulator.crash(worker, ms(*at), ms(2_000));
            }
        }
        for id in 1..=JOBS {
            if self.is_deadly(id) {
                emulator.make_deadly(first_task(id), self.crash_after);
            }
            emulator.submit(id, job((self.steps)()));
            emulator.run(ms(200));
        }
        emulator.run(ms(60_000));
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
    a_task_that_crashes_each_worker_is_given_up_and_the_tasks_beside_it_complete: PLAIN;
    the_day_deadly_task_gives_up_its_deadly_tasks_alone:
        Day { deadly_every: 10, takeovers_ms: &[7_000], ..PLAIN };
    a_task_whose_workers_restart_under_their_ids_is_given_up:
        Day { returns: Return::SameId, ..PLAIN };
    a_deadly_task_is_given_up_although_the_owner_is_replaced_between_its_crashes:
        Day { takeovers_ms: &[4_300, 5_500, 9_000], ..PLAIN };
    a_deadly_task_is_given_up_although_each_owner_ends_soon:
        Day {
            returns: Return::SameId,
            takeovers_ms: &[4_050, 6_000, 8_100, 10_000, 12_050],
            ..PLAIN
        };
    a_task_that_crashes_its_workers_late_in_its_run_is_given_up:
        Day { crash_after: ms(700), ..PLAIN };
    many_deadly_tasks_are_given_up_and_the_others_complete: Day { deadly_every: 5, ..PLAIN };
    a_gang_with_a_deadly_member_is_given_up: Day { steps: gang, ..PLAIN };
    a_deadly_task_is_given_up_beside_workers_that_crash_by_themselves:
        Day { crashes_ms: &[(2_000, 4), (6_000, 1), (9_000, 5)], ..PLAIN };
    a_deadly_task_is_given_up_although_commands_and_polls_are_lost:
        Day { faults: Faults { run_failed: 0.0, ..FAULTY }, ..PLAIN };
    no_task_is_given_up_when_workers_lose_power_together:
        Day {
            crashes_ms: &[(1_000, 6), (4_000, 6), (7_000, 6), (10_000, 6), (11_500, 6)],
            ..HARMLESS
        };
    no_task_is_given_up_when_all_workers_restart_together:
        Day {
            returns: Return::SameId,
            crashes_ms: &[(1_000, 12), (4_000, 12), (7_000, 12), (10_000, 12)],
            ..HARMLESS
        };
    no_task_is_given_up_when_one_worker_crashes_again_and_again:
        Day {
            returns: Return::SameId,
            crashes_ms: &[(1_000, 1), (4_000, 1), (7_000, 1), (10_000, 1), (13_000, 1)],
            ..HARMLESS
        };
    no_task_is_given_up_for_lost_polls_and_commands:
        Day { faults: Faults { run_failed: 0.0, ..FAULTY }, takeovers_ms: &[5_000], ..HARMLESS };
}

/// A network that loses and delays calls.
const FAULTY: Faults = Faults {
    command_lost: 0.02,
    command_late: 0.02,
    command_unanswered: 0.03,
    poll_lost: 0.05,
    run_failed: 0.0,
};
