mod schedules;
mod world;

use std::sync::atomic::Ordering;
use std::time::Duration;

use cassiafold_standin::faults::{Partition, WriteFault};
use tokio::time::{Instant, advance};

use self::schedules::{Action, act};
use self::world::{DEADLINE_MAX, ENTRIES, SETTINGS, TEAMS, World};

async fn rounds(world: &mut World, seconds: u64) {
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        act(world, Action::Round).await;
    }
}

fn fill(world: &mut World, entry: usize) -> u32 {
    (0..100).filter(|_| world.start(entry, 0, DEADLINE_MAX)).count() as u32
}

fn usable(world: &World, entry: usize) -> u32 {
    world.entries[entry].escrow.usable(&TEAMS[0].into())
}

#[tokio::test(start_paused = true)]
async fn slices_follow_the_demand() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    let even: Vec<u32> = (0..ENTRIES).map(|entry| usable(&world, entry)).collect();
    assert_eq!(even, [3, 3, 3, 3]);
    world.entries[1].waiting.set(TEAMS[0], 50);
    rounds(&mut world, 15).await;
    assert_eq!(usable(&world, 1), 12);
    assert_eq!(fill(&mut world, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_cut_off_entry_goes_on_and_its_slices_return_after_hold_and_deadline() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    world.store.faults().cut_off("entry-0", Partition::Requests);
    rounds(&mut world, 40).await;
    assert!(fill(&mut world, 0) > 0, "serves its slice while cut off");
    world.entries[1].waiting.set(TEAMS[0], 50);
    rounds(&mut world, 20).await;
    assert_eq!(usable(&world, 1), 9, "the slice of the cut off entry stays with it");
    rounds(&mut world, 60).await;
    assert_eq!(fill(&mut world, 0), 0, "stops when its hold has passed");
    assert_eq!(usable(&world, 1), 12, "the slice has returned");
    world.store.faults().reconnect("entry-0");
    rounds(&mut world, 15).await;
    assert_eq!(usable(&world, 0) + usable(&world, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_later_run_of_an_instance_frees_the_slices_sooner() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    world.crash(0, true);
    world.entries[1].waiting.set(TEAMS[0], 50);
    rounds(&mut world, 28).await;
    assert_eq!(usable(&world, 1), 9, "work of the crashed run may still run");
    rounds(&mut world, 20).await;
    assert_eq!(usable(&world, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_lowered_limit_stops_starts_at_once_and_cuts_nothing() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    let started: u32 = (0..ENTRIES).map(|entry| fill(&mut world, entry)).sum();
    assert_eq!(started, 12);
    world.set_limits([4, 3]);
    for index in 0..ENTRIES {
        act(&mut world, Action::Learn(index)).await;
        world.step(index).await;
    }
    assert!((0..ENTRIES).all(|entry| !world.start(entry, 0, DEADLINE_MAX)));
    assert_eq!(world.running(0), 12);
    rounds(&mut world, 25).await;
    let started: u32 = (0..ENTRIES).map(|entry| fill(&mut world, entry)).sum();
    assert_eq!(started, 4);
}

#[tokio::test(start_paused = true)]
async fn a_clean_leave_gives_idle_tokens_back_at_once() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    assert!(world.start(0, 0, Duration::from_secs(9)));
    world.entries[0].keeper.leave().await;
    assert_eq!(fill(&mut world, 0), 0);
    world.entries[1].waiting.set(TEAMS[0], 50);
    world.entries[0].paused = true;
    rounds(&mut world, 15).await;
    assert_eq!(usable(&world, 1), 11);
    rounds(&mut world, 35).await;
    assert_eq!(usable(&world, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_to_a_transfer_is_settled() {
    for fault in [WriteFault::LostAnswer, WriteFault::LostRequest] {
        let mut world = World::new([12, 3]);
        rounds(&mut world, 15).await;
        world.entries[1].waiting.set(TEAMS[0], 50);
        world.store.faults().fail_every(2, fault);
        rounds(&mut world, 30).await;
        assert_eq!(usable(&world, 1), 12);
        assert_eq!(world.entries[1].keeper.ledger().unwrap().total(&TEAMS[0].into()), 12);
    }
}

#[tokio::test(start_paused = true)]
async fn an_idle_fleet_writes_only_confirmations() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 10).await;
    let before = world.store.faults().total_counts().writes;
    rounds(&mut world, 60).await;
    let writes = world.store.faults().total_counts().writes - before;
    let confirmations = 12 * ENTRIES as u64;
    assert!(writes <= confirmations + ENTRIES as u64, "{writes} writes");
}

async fn learn(world: &mut World, entry: usize) {
    act(world, Action::Learn(entry)).await;
    world.step(entry).await;
}

#[tokio::test(start_paused = true)]
async fn tokens_of_a_holder_that_may_not_know_a_lowered_limit_count_in_full() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    world.store.faults().cut_off("entry-0", Partition::Requests);
    world.set_limits([4, 3]);
    let mut started = fill(&mut world, 0);
    assert_eq!(started, 3);
    for _ in 0..20 {
        for entry in 1..ENTRIES {
            learn(&mut world, entry).await;
            started += fill(&mut world, entry);
        }
        assert!(started <= 4, "{started} run");
        advance(Duration::from_millis(500)).await;
    }
    assert_eq!(started, 4);
}

#[tokio::test(start_paused = true)]
async fn an_old_configuration_claims_nothing() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    world.set_limits([4, 3]);
    for entry in 1..ENTRIES {
        learn(&mut world, entry).await;
    }
    world.entries[0].waiting.set(TEAMS[0], 50);
    rounds(&mut world, 15).await;
    assert!(world.entries[0].keeper.ledger().unwrap().total(&TEAMS[0].into()) <= 4);
}

#[tokio::test(start_paused = true)]
async fn a_limit_raised_and_lowered_out_of_sight_of_the_ledger_starts_nothing() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    world.store.faults().cut_off("entry-0", Partition::Requests);
    for limits in [[24, 3], [12, 3]] {
        world.set_limits(limits);
        learn(&mut world, 0).await;
    }
    assert_eq!(fill(&mut world, 0), 0);
}

#[tokio::test(start_paused = true)]
async fn a_superseded_run_starts_nothing_when_it_wakes() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    world.supersede(0);
    rounds(&mut world, 20).await;
    let former = world.former[0].run;
    for _ in 0..5 {
        world.wake().await;
        advance(SETTINGS.interval).await;
    }
    assert!(world.work.borrow().iter().all(|work| work.run != former));
}

#[tokio::test(start_paused = true)]
async fn a_stale_read_does_not_settle_a_transfer() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    let faults = world.store.faults();
    world.entries[1].waiting.set(TEAMS[0], 50);
    world.step(1).await;
    faults.set_stale_reads(Some(faults.revision()));
    faults.fail_writes(1, WriteFault::LostAnswer);
    world.entries[0].keeper.hint().store(u64::MAX, Ordering::Relaxed);
    for _ in 0..5 {
        world.step(0).await;
        assert_eq!(usable(&world, 0), 0, "the transfer took effect");
        advance(SETTINGS.interval).await;
    }
    faults.set_stale_reads(None);
    rounds(&mut world, 10).await;
    assert_eq!(usable(&world, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_restored_ledger_is_taken_over_without_exceeding_the_limit() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    let revision = world.store.faults().revision();
    world.entries[1].waiting.set(TEAMS[0], 50);
    rounds(&mut world, 15).await;
    assert_eq!(usable(&world, 1), 12);
    world.store.faults().roll_back(revision);
    for _ in 0..80 {
        (0..ENTRIES).for_each(|entry| _ = fill(&mut world, entry));
        rounds(&mut world, 2).await;
    }
    (0..ENTRIES).for_each(|entry| _ = fill(&mut world, entry));
    assert!(world.running(0) > 0, "work goes on");
    rounds(&mut world, 60).await;
    assert_eq!(usable(&world, 1), 12, "tokens move again");
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_misses_the_restore_of_the_ledger_is_waited_for() {
    let mut world = World::new([12, 3]);
    rounds(&mut world, 15).await;
    let revision = world.store.faults().revision();
    world.entries[1].waiting.set(TEAMS[0], 50);
    rounds(&mut world, 15).await;
    world.store.faults().cut_off("entry-1", Partition::Requests);
    world.store.faults().roll_back(revision);
    world.crash(3, false);
    world.entries[3].waiting.set(TEAMS[0], 50);
    for _ in 0..100 {
        (0..2).for_each(|_| _ = world.start(1, 0, DEADLINE_MAX));
        for entry in [0, 2, 3] {
            fill(&mut world, entry);
        }
        rounds(&mut world, 1).await;
    }
    rounds(&mut world, 120).await;
    assert_eq!(usable(&world, 3), 12);
}
