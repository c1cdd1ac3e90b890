mod cluster;
mod schedules;

use std::sync::atomic::Ordering;
use std::time::Duration;

use cassiafold_standin::faults::{Partition, WriteFault};
use tokio::time::{Instant, advance};

use self::cluster::{Cluster, DEADLINE_MAX, ENTRIES, SETTINGS, TEAMS};
use self::schedules::{Action, act};

async fn rounds(cluster: &mut Cluster, seconds: u64) {
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        act(cluster, Action::Round).await;
    }
}

fn fill(cluster: &mut Cluster, entry: usize) -> u32 {
    (0..100).filter(|_| cluster.start(entry, 0, DEADLINE_MAX)).count() as u32
}

fn usable(cluster: &Cluster, entry: usize) -> u32 {
    cluster.entries[entry].escrow.usable(&TEAMS[0].into())
}

#[tokio::test(start_paused = true)]
async fn slices_follow_the_demand() {
    let mut cluster = Cluster::new([12, 3]);
    rounds(&mut cluster, 15).await;
    let even: Vec<u32> = (0..ENTRIES).map(|entry| usable(&cluster, entry)).collect();
    assert_eq!(even, [3, 3, 3, 3]);
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    rounds(&mut cluster, 15).await;
    assert_eq!(usable(&cluster, 1), 12);
    assert_eq!(fill(&mut cluster, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_cut_off_entry_goes_on_and_its_slices_return_after_hold_and_deadline() {
    let mut cluster = Cluster::new([12, 3]);
    rounds(&mut cluster, 15).await;
    cluster.store.faults().cut_off("entry-0", Partition::Requests);
    rounds(&mut cluster, 40).await;
    assert!(fill(&mut cluster, 0) > 0, "serves its slice while cut off");
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    rounds(&mut cluster, 20).await;
    assert_eq!(usable(&cluster, 1), 9, "the slice of the cut off entry stays with it");
    rounds(&mut cluster, 60).await;
    assert_eq!(fill(&mut cluster, 0), 0, "stops when its hold has passed");
    assert_eq!(usable(&cluster, 1), 12, "the slice has returned");
    cluster.store.faults().reconnect("entry-0");
    rounds(&mut cluster, 15).await;
    assert_eq!(usable(&cluster, 0) + usable(&cluster, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_later_run_of_an_instance_frees_the_slices_sooner() {
    let mut cluster = Cluster::new([12, 3]);
    rounds(&mut cluster, 15).await;
    cluster.crash(0, true);
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    rounds(&mut cluster, 28).await;
    assert_eq!(usable(&cluster, 1), 9, "work of the crashed run may still run");
    rounds(&mut cluster, 20).await;
    assert_eq!(usable(&cluster, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_lowered_limit_stops_starts_at_once_and_cuts_nothing() {
    let mut cluster = Cluster::new([12, 3]);
    rounds(&mut cluster, 15).await;
    let started: u32 = (0..ENTRIES).map(|entry| fill(&mut cluster, entry)).sum();
    assert_eq!(started, 12);
    cluster.set_limits([4, 3]);
    for index in 0..ENTRIES {
        act(&mut cluster, Action::Learn(index)).await;
        cluster.step(index).await;
    }
    assert!((0..ENTRIES).all(|entry| !cluster.start(entry, 0, DEADLINE_MAX)));
    assert_eq!(cluster.running(0), 12);
    rounds(&mut cluster, 25).await;
    let started: u32 = (0..ENTRIES).map(|entry| fill(&mut cluster, entry)).sum();
    assert_eq!(started, 4);
}

#[tokio::test(start_paused = true)]
async fn a_clean_leave_gives_idle_tokens_back_at_once() {
    let mut cluster = Cluster::new([12, 3]);
    rounds(&mut cluster, 15).await;
    assert!(cluster.start(0, 0, Duration::from_secs(9)));
    cluster.entries[0].keeper.leave().await;
    assert_eq!(fill(&mut cluster, 0), 0);
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    cluster.entries[0].paused = true;
    rounds(&mut cluster, 15).await;
    assert_eq!(usable(&cluster, 1), 11);
    rounds(&mut cluster, 35).await;
    assert_eq!(usable(&cluster, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_to_a_transfer_is_settled() {
    for fault in [WriteFault::LostAnswer, WriteFault::LostRequest] {
        let mut cluster = Cluster::new([12, 3]);
        rounds(&mut cluster, 15).await;
        cluster.entries[1].waiting.set(TEAMS[0], 50);
        cluster.store.faults().fail_every(2, fault);
        rounds(&mut cluster, 30).await;
        assert_eq!(usable(&cluster, 1), 12);
        assert_eq!(cluster.entries[1].keeper.ledger().unwrap().total(&TEAMS[0].into()), 12);
    }
}

#[tokio::test(start_paused = true)]
async fn an_idle_fleet_writes_only_confirmations() {
    let mut cluster = Cluster::new([12, 3]);
    rounds(&mut cluster, 10).await;
    let before = cluster.store.faults().total_counts().writes;
    rounds(&mut cluster, 60).await;
    let writes = cluster.store.faults().total_counts().writes - before;
    let confirmations = 12 * ENTRIES as u64;
    assert!(writes <= confirmations + ENTRIES as u64, "{writes} writes");
}

async fn learn(cluster: &mut Cluster, entry: usize) {
    act(cluster, Action::Learn(entry)).await;
    cluster.step(entry).await;
}

#[tokio::test(start_paused = true)]
async fn tokens_of_a_holder_that_may_not_know_a_lowered_limit_count_in_full() {
    let mut cluster = Cluster::new([12, 3]);
    rounds(&mut cluster, 15).await;
    cluster.store.faults().cut_off("entry-0", Partition::Requests);
    cluster.set_limits([4, 3]);
    let mut started = fill(&mut cluster, 0);
    assert_eq!(started, 3);
    for _ in 0..20 {
        for entry in 1..ENTRIES {
            learn(&mut cluster, entry).await;
            started += fill(&mut cluster, entry);
        }
        assert!(started <= 4, "{started} run");
        advance(Duration::from_millis(500)).await;
    }
    assert_eq!(started, 4);
}

#[tokio::test(start_paused = true)]
async fn an_old_configuration_claims_nothing() {
    let mut cluster = Cluster::new([12, 3]);
    rounds(&mut cluster, 15).await;
    cluster.set_limits([4, 3]);
    for entry in 1..ENTRIES {
        learn(&mut cluster, entry).await;
    }
    cluster.entries[0].waiting.set(TEAMS[0], 50);
    rounds(&mut cluster, 15).await;
    assert!(cluster.entries[0].keeper.ledger().unwrap().total(&TEAMS[0].into()) <= 4);
}

#[tokio::test(start_paused = true)]
async fn a_limit_raised_and_lowered_out_of_sight_of_the_ledger_starts_nothing() {
    let mut cluster = Cluster::new([12, 3]);
    rounds(&mut cluster, 15).await;
    cluster.store.faults().cut_off("entry-0", Partition::Requests);
    for limits in [[24, 3], [12, 3]] {
        cluster.set_limits(limits);
        learn(&mut cluster, 0).await;
    }
    assert_eq!(fill(&mut cluster, 0), 0);
}

#[tokio::test(start_paused = true)]
async fn a_superseded_run_starts_nothing_when_it_wakes() {
    let mut cluster = Cluster::new([12, 3]);
    rounds(&mut cluster, 15).await;
    cluster.supersede(0);
    rounds(&mut cluster, 20).await;
    let superseded = cluster.superseded[0].run;
    for _ in 0..5 {
        cluster.wake().await;
        advance(SETTINGS.interval).await;
    }
    assert!(cluster.work.borrow().iter().all(|work| work.run != superseded));
}

#[tokio::test(start_paused = true)]
async fn a_stale_read_does_not_settle_a_transfer() {
    let mut cluster = Cluster::new([12, 3]);
    rounds(&mut cluster, 15).await;
    let faults = cluster.store.faults();
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    cluster.step(1).await;
    faults.set_stale_reads(Some(faults.revision()));
    faults.fail_writes(1, WriteFault::LostAnswer);
    cluster.entries[0].keeper.hint().store(u64::MAX, Ordering::Relaxed);
    for _ in 0..5 {
        cluster.step(0).await;
        assert_eq!(usable(&cluster, 0), 0, "the transfer took effect");
        advance(SETTINGS.interval).await;
    }
    faults.set_stale_reads(None);
    rounds(&mut cluster, 10).await;
    assert_eq!(usable(&cluster, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn a_restored_ledger_is_taken_over_without_exceeding_the_limit() {
    let mut cluster = Cluster::new([12, 3]);
    rounds(&mut cluster, 15).await;
    let revision = cluster.store.faults().revision();
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    rounds(&mut cluster, 15).await;
    assert_eq!(usable(&cluster, 1), 12);
    cluster.store.faults().roll_back(revision);
    for _ in 0..80 {
        (0..ENTRIES).for_each(|entry| _ = fill(&mut cluster, entry));
        rounds(&mut cluster, 2).await;
    }
    (0..ENTRIES).for_each(|entry| _ = fill(&mut cluster, entry));
    assert!(cluster.running(0) > 0, "work goes on");
    rounds(&mut cluster, 60).await;
    assert_eq!(usable(&cluster, 1), 12, "tokens move again");
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_misses_the_restore_of_the_ledger_is_waited_for() {
    let mut cluster = Cluster::new([12, 3]);
    rounds(&mut cluster, 15).await;
    let revision = cluster.store.faults().revision();
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    rounds(&mut cluster, 15).await;
    cluster.store.faults().cut_off("entry-1", Partition::Requests);
    cluster.store.faults().roll_back(revision);
    cluster.crash(3, false);
    cluster.entries[3].waiting.set(TEAMS[0], 50);
    for _ in 0..100 {
        (0..2).for_each(|_| _ = cluster.start(1, 0, DEADLINE_MAX));
        for entry in [0, 2, 3] {
            fill(&mut cluster, entry);
        }
        rounds(&mut cluster, 1).await;
    }
    rounds(&mut cluster, 120).await;
    assert_eq!(usable(&cluster, 3), 12);
}
