//! Which losses of workers count as crashes, and when a task is to blame for them.

mod emulator;
mod harness;

use std::time::Duration;

use cassiafold_jobs::clients::PollError;
use cassiafold_jobs::cluster::{Machine, MachineState, WorkerEntry};
use cassiafold_jobs::crash::{Crash, CrashHistory, Suspicion, Verdict, judge};
use cassiafold_jobs::record::{JobState, StateRecord, TaskRecord};
use cassiafold_jobs::scheduler::{Command, OwnerTerm};

use self::emulator::worker::EmulatedWorker;
use self::emulator::{cores, ms, step};
use self::harness::{SchedulerHarness, state_from_previous_owner};

/// Time from the start of a run to the loss of its worker.
const SOON: Duration = Duration::from_millis(60);
/// More losses than a deadly task survives, soon or late.
const LOSSES: usize = 6;

/// The entry of a worker, with room for one task.
fn entry(number: usize) -> WorkerEntry {
    EmulatedWorker::new(number, cores(1)).entry()
}

/// The only machine, with the worker of this number.
fn machine(number: usize) -> Machine {
    let mut machines = SchedulerHarness::machines(1, MachineState::Up);
    Machine { worker: Some(format!("w{number}").into()), ..machines.remove(0) }
}

/// Loses the worker of a task again and again; each worker is on the same machine, and the list of
/// machines shows it as `change` leaves it. Returns the state of the job and the number of losses.
fn lose_workers(error: &PollError, change: fn(&mut Machine)) -> (JobState, usize) {
    let mut harness = SchedulerHarness::at_term_start(0, OwnerTerm::default());
    harness.run_for(ms(7_000));
    harness.submit(1, vec![step(1, 1, &[])]);
    for number in 0..LOSSES {
        start_and_lose_worker(&mut harness, number, error, change);
        let state = harness.scheduler.job(1).expect("a job").state;
        if state.is_final() {
            return (state, number + 1);
        }
    }
    (harness.scheduler.job(1).expect("a job").state, LOSSES)
}

/// Lists the worker of this number, and loses it soon after it has started a task.
fn start_and_lose_worker(
    harness: &mut SchedulerHarness,
    number: usize,
    error: &PollError,
    change: fn(&mut Machine),
) {
    harness.scheduler.set_workers(vec![entry(number)], harness.now);
    harness.run_for(ms(40));
    harness.set_machines(vec![machine(number)]);
    harness.run_for(SOON);
    for _ in 0..2 {
        harness.scheduler.handle_poll_failure(number, false, error, harness.now);
        harness.now += ms(1);
    }
    let mut machine = machine(number);
    change(&mut machine);
    harness.set_machines(vec![machine]);
    harness.scheduler.set_workers(Vec::new(), harness.now);
}

fn closed() -> PollError {
    PollError::Closed("connection reset".into())
}

fn silent() -> PollError {
    PollError::NoAnswer("timeout".into())
}

macro_rules! causes {
    ($($name:ident: $error:expr, $change:expr => $expected:expr;)+) => {
        $(#[test] fn $name() {
            assert_eq!(lose_workers(&$error, $change), $expected);
        })+
    };
}

causes! {
    a_task_whose_workers_end_alone_with_it_is_given_up_after_the_third:
        closed(), |machine| machine.state = MachineState::Down => (JobState::Failed, 3);
    a_task_whose_workers_fall_silent_alone_with_it_is_given_up_after_the_fourth:
        silent(), |machine| machine.state = MachineState::Down => (JobState::Failed, 4);
    a_task_whose_machine_runs_another_worker_each_time_is_given_up:
        closed(), |machine| machine.worker = Some("other".into()) => (JobState::Failed, 3);
    a_task_whose_machine_moves_is_not_given_up:
        closed(), |machine| machine.state = MachineState::Moving => (JobState::Running, LOSSES);
    a_task_whose_machine_is_maintained_is_not_given_up:
        closed(), |machine| machine.state = MachineState::Maintenance => (JobState::Running, LOSSES);
    a_task_whose_machine_went_to_another_service_is_not_given_up:
        closed(), |machine| {
            machine.service = "other".into();
            machine.worker = None;
        } => (JobState::Running, LOSSES);
    a_task_whose_machine_is_taken_away_is_not_given_up:
        closed(), |machine| machine.id = "another".into() => (JobState::Running, LOSSES);
}

/// A busy owner takes in the confirmation of a start half a second late, and with it the lost worker.
#[test]
fn a_deadly_task_is_given_up_after_the_third_crash_although_the_owner_is_late() {
    let mut harness = SchedulerHarness::at_term_start(0, OwnerTerm::default());
    harness.run_for(ms(7_000));
    harness.submit(1, vec![step(1, 1, &[])]);
    for number in 0..3 {
        harness.scheduler.set_workers(vec![entry(number)], harness.now);
        harness.set_machines(vec![machine(number)]);
        let start = loop {
            let commands = harness.scheduler.plan(Duration::ZERO, harness.now);
            let is_start = |command: &Command| matches!(command, Command::Start { .. });
            let (starts, others) = commands.into_iter().partition::<Vec<_>, _>(is_start);
            others.into_iter().for_each(|command| harness.execute(command));
            harness.commit_writes();
            harness.now += ms(10);
            if let Some(start) = starts.into_iter().next() {
                break start;
            }
        };
        harness.now += ms(500);
        harness.execute(start);
        for _ in 0..2 {
            harness.scheduler.handle_poll_failure(number, false, &closed(), harness.now);
            harness.now += ms(1);
        }
        harness.set_machines(vec![Machine { state: MachineState::Down, ..machine(number) }]);
        harness.scheduler.set_workers(Vec::new(), harness.now);
    }
    assert_eq!(harness.scheduler.job(1).expect("a job").state, JobState::Failed);
}

/// The machines of cut-off workers stay up, their connections are reset, and the leases of their runs
/// expire.
#[test]
fn a_task_whose_workers_are_cut_off_one_after_the_other_is_not_given_up() {
    let mut harness = SchedulerHarness::at_term_start(0, OwnerTerm::default());
    harness.run_for(ms(7_000));
    harness.submit(1, vec![step(1, 1, &[])]);
    for number in 0..LOSSES {
        harness.scheduler.set_workers(vec![entry(number)], harness.now);
        harness.run_for(ms(40));
        harness.set_machines(SchedulerHarness::machines(LOSSES, MachineState::Up));
        harness.run_for(SOON);
        harness.scheduler.set_workers(Vec::new(), harness.now);
        harness.scheduler.handle_poll_failure(number, false, &closed(), harness.now);
        harness.run_without_responses(ms(8_000));
        harness.set_machines(SchedulerHarness::machines(LOSSES, MachineState::Up));
    }
    let record = harness.scheduler.job(1).expect("a job").to_state_record();
    assert_eq!(record.state, JobState::Running);
    assert_eq!(record.tasks[0].crashes_presumed, [0; 0]);
}

/// A crash with a task alone on a worker that closed its connections.
const ALONE: Crash = Crash {
    is_soon: true,
    is_unlikely: false,
    was_alone: true,
    is_closed: true,
    others_lost: 0,
    others_lost_without_start: 0,
};

fn history(soon: u32, late: u32, presumed: u32) -> CrashHistory {
    CrashHistory {
        soon: (0..soon).collect(),
        late: (10..10 + late).collect(),
        presumed: (20..20 + presumed).collect(),
    }
}

macro_rules! verdicts {
    ($($name:ident: $history:expr, $crash:expr => $expected:ident;)+) => {
        $(#[test] fn $name() {
            assert_eq!(judge(&$history, &$crash), Verdict::$expected);
        })+
    };
}

verdicts! {
    a_second_crash_alone_is_not_enough: history(1, 0, 0), ALONE => Counted;
    a_third_crash_alone_is_enough: history(2, 0, 0), ALONE => GivenUp;
    no_number_of_crashes_beside_others_is_enough:
        history(9, 0, 0), Crash { was_alone: false, ..ALONE } => Counted;
    a_third_crash_beside_another_lost_worker_is_not_enough:
        history(2, 0, 0), Crash { others_lost: 1, ..ALONE } => Counted;
    a_fourth_crash_beside_another_lost_worker_is_enough:
        history(3, 0, 0), Crash { others_lost: 1, ..ALONE } => GivenUp;
    a_crash_with_several_workers_counts_for_no_task:
        history(9, 0, 0), Crash { others_lost: 2, others_lost_without_start: 2, ..ALONE } => Widespread;
    a_crash_that_another_task_explains_counts_for_no_other:
        history(9, 0, 0), Crash { is_unlikely: true, ..ALONE } => Unlikely;
    crashes_of_two_kinds_need_one_more: history(1, 1, 0), ALONE => Counted;
    a_presumed_crash_does_not_stand_for_one_that_was_seen: history(1, 0, 1), ALONE => Counted;
    two_presumed_crashes_stand_for_one_that_was_seen: history(1, 0, 2), ALONE => GivenUp;
}

macro_rules! suspicions {
    ($($name:ident: $history:expr => $expected:ident;)+) => {
        $(#[test] fn $name() {
            assert_eq!($history.suspicion(), Suspicion::$expected);
        })+
    };
}

suspicions! {
    a_task_without_crashes_is_not_suspected: history(0, 0, 0) => None;
    one_crash_late_in_a_run_makes_no_suspect: history(0, 1, 0) => None;
    one_crash_soon_after_the_start_makes_a_suspect: history(1, 0, 0) => Suspected;
    two_crashes_soon_after_the_start_set_a_task_apart: history(2, 0, 0) => Apart;
    many_late_crashes_give_a_task_a_worker_of_its_own: history(0, 4, 0) => Alone;
    a_presumed_crash_makes_a_suspect: history(0, 0, 1) => Suspected;
}

#[test]
fn crashes_are_stored_with_the_state_and_read_by_the_next_owner() {
    let row = TaskRecord {
        last_run: 9,
        crashed_soon: vec![3, 5],
        crashed_late: vec![7],
        crashes_presumed: vec![8],
        unsettled_run: Some(9),
        ..TaskRecord::default()
    };
    let state = state_from_previous_owner(vec![row.clone()]);
    let bytes = state.encode().expect("a record");
    assert_eq!(StateRecord::try_from(&bytes[..]).expect("a state"), state);

    let mut harness = SchedulerHarness::at_term_start(0, OwnerTerm::default());
    let record = emulator::job(vec![step(1, 1, &[])]);
    harness.scheduler.add_job(1, record, 1, Some(&state), harness.now);
    let job = harness.scheduler.job(1).expect("a job");
    assert_eq!(job.to_state_record().tasks, [row]);
}

/// Guards against a job that crashes each worker and is first in line for the next one, while jobs
/// that were accepted later have nothing running.
#[test]
fn a_late_job_under_which_a_worker_crashed_goes_behind_late_jobs_that_wait() {
    let mut harness = SchedulerHarness::at_term_start(0, OwnerTerm::default());
    harness.run_for(ms(7_000));
    for job in 1..=2 {
        harness.submit(job, vec![step(1, 1, &[])]);
        harness.run_for(ms(1_000));
    }
    let started = |harness: &SchedulerHarness, number| {
        let runs = harness.running.get(&number).into_iter().flatten();
        runs.map(|(task, _)| task.step.job).collect::<Vec<_>>()
    };
    let is_down = |machine: &mut Machine| machine.state = MachineState::Down;
    start_and_lose_worker(&mut harness, 0, &closed(), is_down);
    assert_eq!(started(&harness, 0), [1]);
    start_and_lose_worker(&mut harness, 1, &closed(), is_down);
    assert_eq!(started(&harness, 1), [2]);
    start_and_lose_worker(&mut harness, 2, &closed(), is_down);
    assert_eq!(started(&harness, 2), [1]);
}
