//! Regression tests of the scheduler: what a new owner does in the first moments of its term.

mod emulator;
mod harness;

use cassiafold_jobs::cluster::{Machine, MachineState};
use cassiafold_jobs::record::{JobState, StateRecord, WorkerRecord};
use cassiafold_jobs::scheduler::{OwnerTerm, Scheduler};
use cassiafold_jobs::spec::{Resources, StepId, StepSpec, TaskId};

use self::emulator::worker::EmulatedWorker;
use self::emulator::{LEASE_MAX, config, cores, job, ms, settings, step};
use self::harness::{SchedulerHarness, state_from_previous_owner, worker_record};

/// Jobs that callers hand in as soon as the store is back.
const WAITING_JOBS: u64 = 40;

/// Capacity of each worker.
fn capacity() -> Resources {
    Resources { memory_bytes: 64 << 30, ..cores(16) }
}

/// Records of workers to which previous owners assigned tasks.
fn records(workers: usize) -> Vec<WorkerRecord> {
    let entry = |number| EmulatedWorker::new(number, capacity()).entry();
    (0..workers).map(|number| worker_record(entry(number))).collect()
}

/// Machines of the service, each with the worker of the same number.
fn machines(workers: usize) -> Vec<Machine> {
    let machines = SchedulerHarness::machines(workers, MachineState::Up);
    machines.into_iter().map(|machine| Machine { capacity: capacity(), ..machine }).collect()
}

/// A new owner whose known workers are all missing in the store's list, with jobs that wait.
fn harness_with_missing_entries(workers: usize) -> SchedulerHarness {
    let term = OwnerTerm { known_workers: records(workers), ..OwnerTerm::default() };
    let mut harness = SchedulerHarness::at_term_start(0, term);
    for id in 0..WAITING_JOBS {
        harness.submit(id, vec![step(1, 1, &[])]);
    }
    harness
}

/// Happens after an outage of the store: the workers' entries have expired, and come back within two
/// seconds. Callers send at once what was refused meanwhile.
#[test]
fn a_new_owner_starts_tasks_on_workers_whose_entries_an_outage_of_the_store_removed() {
    let mut harness = harness_with_missing_entries(3);
    harness.set_machines(machines(3));
    harness.run_for(ms(200));
    assert_eq!(harness.running(), WAITING_JOBS as usize, "48 cores are free");
}

#[test]
fn a_worker_whose_entry_stays_missing_gets_no_tasks_after_two_seconds() {
    let term = OwnerTerm { known_workers: records(1), ..OwnerTerm::default() };
    let mut harness = SchedulerHarness::at_term_start(0, term);
    harness.set_machines(machines(1));
    harness.run_for(ms(2_300));
    harness.submit(1, vec![step(1, 1, &[])]);
    harness.set_machines(machines(1));
    harness.run_for(ms(200));
    assert_eq!(harness.running(), 0);
}

macro_rules! unvouched {
    ($($name:ident: $change:expr;)+) => {
        $(#[test] fn $name() {
            let mut harness = harness_with_missing_entries(1);
            let mut machines = machines(1);
            $change(&mut machines[0]);
            harness.set_machines(machines);
            harness.run_for(ms(200));
            assert_eq!(harness.running(), 0);
        })+
    };
}

unvouched! {
    a_worker_without_entry_gets_no_tasks_while_its_machine_is_not_listed_as_up:
        |machine: &mut Machine| machine.state = MachineState::Moving;
    a_worker_without_entry_gets_no_tasks_while_its_machine_belongs_to_another_service:
        |machine: &mut Machine| machine.service = "spare".into();
    a_worker_without_entry_gets_no_tasks_while_its_machine_runs_another_worker:
        |machine: &mut Machine| machine.worker = Some("w9".into());
}

/// Happens when callers send at once what was refused while the store was away.
#[test]
fn a_new_owner_moves_machines_in_as_soon_as_it_knows_them() {
    let mut harness = SchedulerHarness::at_term_start(1, OwnerTerm::default());
    for id in 0..WAITING_JOBS {
        harness.submit(id, vec![step(4, 2, &[])]);
    }
    harness.run_for(ms(10));
    let mut machines = SchedulerHarness::machines(6, MachineState::Up);
    for machine in &mut machines[1..] {
        machine.service = "spare".into();
        machine.worker = None;
    }
    harness.set_machines(machines);
    harness.run_for(ms(100));
    assert_eq!(harness.machine_commands.len(), 5);
}

/// Gives the team a quota of 12 cores, and a job of this many tasks of one core that a previous owner
/// has started.
fn with_quota_and_inherited_job(mut harness: SchedulerHarness, tasks: u32) -> SchedulerHarness {
    harness
        .scheduler
        .set_config(config(Resources { processors_milli: 12_000, ..Resources::default() }));
    let (inherited, state) =
        (job(vec![step(tasks, 1, &[])]), state_from_previous_owner(Vec::new()));
    harness.scheduler.add_job(1, inherited, 40, Some(&state), harness.now);
    harness
}

/// A new owner of a team with a quota; the last of `workers` responds to no poll.
fn harness_with_a_silent_worker(workers: usize, inherited_tasks: u32) -> SchedulerHarness {
    let term = OwnerTerm { token: 50, known_workers: records(workers), ..OwnerTerm::default() };
    let harness = SchedulerHarness::at_term_start(workers, term);
    let mut harness = with_quota_and_inherited_job(harness, inherited_tasks);
    harness.silent.insert(workers - 1);
    harness
}

/// Number of tasks of a job that waits for the quota that start within a second.
fn starts_beside_unknown_runs(inherited_tasks: u32) -> usize {
    let mut harness = harness_with_a_silent_worker(3, inherited_tasks);
    harness.submit(2, vec![step(20, 1, &[])]);
    harness.run_for(ms(1_000));
    harness.running()
}

/// Guards against a team that exceeds its quota after a takeover: its tasks go on running on workers
/// that the new owner can't reach.
#[test]
fn runs_on_a_worker_that_does_not_respond_count_against_the_quota() {
    assert_eq!(starts_beside_unknown_runs(12), 0);
}

#[test]
fn a_team_starts_tasks_beside_unknown_runs_up_to_its_quota() {
    assert_eq!(starts_beside_unknown_runs(4), 8);
}

#[test]
fn the_quota_is_free_once_the_leases_of_unknown_runs_have_expired() {
    let mut harness = harness_with_a_silent_worker(3, 12);
    harness.submit(2, vec![step(20, 1, &[])]);
    harness.run_for(LEASE_MAX * 103 / 100 + ms(500));
    assert_eq!(harness.running(), 12);
}

#[test]
fn unknown_runs_count_no_more_than_the_workers_that_do_not_respond_have_room_for() {
    let mut known_workers = records(3);
    known_workers[2].capacity = Some(cores(4).into());
    let term = OwnerTerm { token: 50, known_workers, ..OwnerTerm::default() };
    let mut harness = with_quota_and_inherited_job(SchedulerHarness::at_term_start(0, term), 12);
    harness.set_machines(machines(3));
    harness.silent.insert(2);
    harness.submit(2, vec![step(20, 1, &[])]);
    harness.run_for(ms(1_000));
    assert_eq!(harness.running(), 8);
}

/// How a job that a previous owner has started ends around a takeover.
#[derive(Debug, Clone, Copy)]
enum EarlyEnd {
    /// It was cancelled before the owner read it.
    CancelledBefore,
    /// It is cancelled once the owner has polled the other workers.
    CancelledAfter,
    /// A previous owner has stored that it was cancelled.
    StoredAsCancelled,
    /// A previous owner has stored that it failed.
    StoredAsFailed,
    /// A previous owner has stored that it is completed; its tasks may have speculative runs.
    StoredAsCompletedWithSpeculativeRuns,
}

/// A new owner of two workers, the second of which responds to no poll. A team with a quota of 12
/// cores has had a job of 12 tasks of one core, and it has another job that waits for its quota.
fn harness_with_an_ended_job(end: EarlyEnd) -> SchedulerHarness {
    let term = OwnerTerm { token: 50, known_workers: records(2), ..OwnerTerm::default() };
    let mut harness = SchedulerHarness::at_term_start(2, term);
    harness.silent.insert(1);
    let quota = Resources { processors_milli: 12_000, ..Resources::default() };
    harness.scheduler.set_config(config(quota));
    let state = match end {
        EarlyEnd::CancelledBefore | EarlyEnd::CancelledAfter => JobState::Running,
        EarlyEnd::StoredAsCancelled => JobState::Cancelled,
        EarlyEnd::StoredAsFailed => JobState::Failed,
        EarlyEnd::StoredAsCompletedWithSpeculativeRuns => JobState::Completed,
    };
    let state = StateRecord { state, ..state_from_previous_owner(Vec::new()) };
    let speculative = matches!(end, EarlyEnd::StoredAsCompletedWithSpeculativeRuns);
    if matches!(end, EarlyEnd::CancelledBefore) {
        harness.scheduler.cancel(1, harness.now);
    }
    let inherited = job(vec![StepSpec { speculative, ..step(12, 1, &[]) }]);
    harness.scheduler.add_job(1, inherited, 40, Some(&state), harness.now);
    if matches!(end, EarlyEnd::CancelledAfter) {
        harness.run_for(ms(50));
        harness.scheduler.cancel(1, harness.now);
    }
    harness.submit(2, vec![step(20, 1, &[])]);
    harness
}

/// Guards against a team that exceeds its quota after a takeover: a job of it ended just before or
/// after, and its runs go on on a worker that the new owner can't reach (beside review/8).
macro_rules! ended_jobs_count {
    ($($name:ident: $end:expr;)+) => {
        $(#[test] fn $name() {
            let mut harness = harness_with_an_ended_job($end);
            harness.run_for(ms(1_000));
            assert_eq!(harness.running(), 0);
            harness.run_for(LEASE_MAX * 103 / 100);
            assert_eq!(harness.running(), 12, "the leases of these runs have expired");
        })+
    };
}

ended_jobs_count! {
    unknown_runs_of_a_job_cancelled_before_it_was_read_count: EarlyEnd::CancelledBefore;
    unknown_runs_of_a_job_cancelled_after_a_takeover_count: EarlyEnd::CancelledAfter;
    unknown_runs_of_a_job_that_was_cancelled_count: EarlyEnd::StoredAsCancelled;
    unknown_runs_of_a_job_that_failed_count: EarlyEnd::StoredAsFailed;
    unknown_speculative_runs_of_a_completed_job_count:
        EarlyEnd::StoredAsCompletedWithSpeculativeRuns;
}

/// Guards against runs that count twice, as unknown ones and as those that a worker has listed.
#[test]
fn listed_runs_of_a_cancelled_job_count_once() {
    let mut harness = harness_with_an_ended_job(EarlyEnd::CancelledBefore);
    let step_id = StepId { job: 1, occurrence: 0, step: 0 };
    let listed = (0..8).map(|index| (TaskId { step: step_id, index }, 1)).collect();
    harness.running.insert(0, listed);
    harness.run_for(ms(1_000));
    let of_waiting_job = harness.running[&0].iter().filter(|(task, _)| task.step.job == 2).count();
    // The runs on the first worker have been stopped, those of four tasks are not known.
    assert_eq!(of_waiting_job, 8);
}

/// A job that ended as completed has no runs but speculative ones.
#[test]
fn a_completed_job_without_speculative_runs_counts_nothing() {
    let mut harness = harness_with_a_silent_worker(3, 0);
    let state = StateRecord { state: JobState::Completed, ..state_from_previous_owner(Vec::new()) };
    harness.scheduler.add_job(3, job(vec![step(12, 1, &[])]), 40, Some(&state), harness.now);
    harness.submit(2, vec![step(20, 1, &[])]);
    harness.run_for(ms(1_000));
    assert_eq!(harness.running(), 12);
}

/// Guards against a team that exceeds its quota since the owner places tasks before it knows the
/// configuration: the list of machines shows workers whose entries are missing.
#[test]
fn nothing_starts_before_the_configuration_is_known() {
    let term = OwnerTerm { token: 50, known_workers: records(1), ..OwnerTerm::default() };
    let now = ms(100_000);
    let scheduler = Scheduler::new(settings(), term, now);
    let mut harness = SchedulerHarness::from_scheduler(scheduler, now);
    harness.set_machines(machines(1));
    harness.submit(2, vec![step(14, 1, &[])]);
    harness.run_for(ms(500));
    assert_eq!(harness.running(), 0);
    let quota = Resources { processors_milli: 12_000, ..Resources::default() };
    harness.scheduler.set_config(config(quota));
    harness.set_machines(machines(1));
    harness.run_for(ms(500));
    assert_eq!(harness.running(), 12);
}
