//! Random fault schedules against the scheduler, on the emulator.

mod emulator;

use cassiafold_jobs::record::JobState;
use cassiafold_jobs::spec::{JobId, Resources, StepSpec};

use self::emulator::faults::Faults;
use self::emulator::{Emulator, cores, job, ms, step};

const JOBS: JobId = 40;

fn submit_all(emulator: &mut Emulator) {
    for id in 1..=JOBS {
        let width = u32::try_from(id % 7 + 1).expect("small");
        emulator.submit(id, job(vec![step(width, 2, &[]), step(width, 3, &[0])]));
    }
}

fn check(emulator: &Emulator, may_fail: bool) {
    assert_eq!(emulator.violations, Vec::<String>::new());
    for id in 1..=JOBS {
        let state = emulator.state(id);
        let is_expected = state == JobState::Completed || (may_fail && state == JobState::Failed);
        assert!(is_expected, "job {id} is {state:?}");
    }
}

macro_rules! schedules {
    ($($(#[$meta:meta])* $name:ident: $seeds:expr, $faults:expr, $inject:expr;)+) => {
        $($(#[$meta])* #[test] fn $name() {
            for seed in $seeds {
                let limit = Resources { processors_milli: 60_000, ..Resources::default() };
                let mut emulator = Emulator::new(seed, 6, limit, $faults);
                submit_all(&mut emulator);
                let inject: fn(&mut Emulator, u64) = $inject;
                inject(&mut emulator, seed);
                emulator.run(ms(120_000));
                check(&emulator, $faults.run_failed > 0.0);
            }
        })+
    };
}

schedules! {
    all_jobs_end_without_faults: 0..3, Faults::none(), |_, _| {};
    lost_and_late_calls_violate_no_invariant: 0..12, Faults::all(), |_, _| {};
    lost_and_late_calls_with_long_running_tasks_violate_no_invariant: 0..12, Faults::all(),
        |emulator, seed| {
            let long_running = StepSpec { long_running: true, ..step(5, 1, &[]) };
            for id in JOBS + 1..=JOBS + 6 {
                emulator.submit(id, job(vec![long_running.clone()]));
            }
            for worker in 0..4 {
                emulator.crash(worker, ms(3_000 + 2_500 * worker as u64 + seed * 37), ms(900));
            }
        };
    worker_crashes_violate_no_invariant: 0..12, Faults::all(), |emulator, seed| {
        for worker in 0..4 {
            emulator.crash(worker, ms(500 + 700 * worker as u64 + seed * 37), ms(900));
        }
    };
    owner_changes_violate_no_invariant: 0..12, Faults::all(), |emulator, seed| {
        for round in 0..6 {
            emulator.replace_owner(ms(400 + 1_300 * round + seed * 53), ms(700));
        }
    };
    worker_crashes_and_owner_changes_violate_no_invariant: 0..24, Faults::all(), |emulator, seed| {
        for round in 0..5 {
            emulator.replace_owner(ms(300 + 1_700 * round + seed * 71), ms(600));
            let worker = usize::try_from((round + seed) % 6).expect("small");
            emulator.crash(worker, ms(200 + 1_100 * round + seed * 29), ms(100 + 300 * round));
        }
    };
}

#[test]
fn a_team_without_limit_uses_all_workers() {
    let mut emulator = Emulator::new(1, 4, Resources::default(), Faults::none());
    emulator.submit(1, job(vec![step(16, 4, &[])]));
    emulator.run(ms(100));
    let full = cores(16).processors_milli;
    let used = emulator.workers.iter().filter(|one| one.reserved().processors_milli == full);
    assert_eq!(used.count(), 4);
}
