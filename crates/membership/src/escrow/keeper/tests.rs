mod cluster;
mod schedules;

use std::sync::atomic::Ordering;
use std::time::Duration;

use cassiafold_standin::faults::{Partition, WriteFault};
use tokio::time::{Instant, advance};

use self::cluster::{Cluster, DEADLINE_MAX, ENTRIES, SETTINGS, TEAMS};
use self::schedules::{Action, apply};

async fn run_rounds(cluster: &mut Cluster, seconds: u64) {
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        apply(cluster, Action::Round).await;
    }
}

fn start_all(cluster: &mut Cluster, entry: usize) -> u32 {
    (0..100).filter(|_| cluster.start(entry, 0, DEADLINE_MAX)).count() as u32
}

fn usable(cluster: &Cluster, entry: usize) -> u32 {
    cluster.entries[entry].escrow.usable(&TEAMS[0].into())
}

#[tokio::test(start_paused = true)]
async fn slices_move_to_the_demand() {
    let mut cluster = Cluster::new([12, 3]);
    run_rounds(&mut cluster, 15).await;
    let equal: Vec<u32> = (0..ENTRIES).map(|entry| usable(&cluster, entry)).collect();
    assert_eq!(equal, [3, 3, 3, 3]);
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    run_rounds(&mut cluster, 15).await;
    assert_eq!(usable(&cluster, 1), 12);
    assert_eq!(start_all(&mut cluster, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn partitioned_entry_serves_until_its_validity_ends_and_its_slices_are_reclaimed() {
    let mut cluster = Cluster::new([12, 3]);
    run_rounds(&mut cluster, 15).await;
    cluster.store.faults().cut_off("entry-0", Partition::Requests);
    run_rounds(&mut cluster, 40).await;
    assert!(start_all(&mut cluster, 0) > 0, "uses its slice during the partition");
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    run_rounds(&mut cluster, 20).await;
    assert_eq!(usable(&cluster, 1), 9, "the partitioned entry keeps its slice");
    run_rounds(&mut cluster, 60).await;
    assert_eq!(start_all(&mut cluster, 0), 0, "starts no work after the validity period");
    assert_eq!(usable(&cluster, 1), 12, "the slice was reclaimed");
    cluster.store.faults().reconnect("entry-0");
    run_rounds(&mut cluster, 15).await;
    assert_eq!(usable(&cluster, 0) + usable(&cluster, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn later_run_of_an_instance_shortens_the_reclaim_of_slices() {
    let mut cluster = Cluster::new([12, 3]);
    run_rounds(&mut cluster, 15).await;
    cluster.crash(0, true);
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    run_rounds(&mut cluster, 28).await;
    assert_eq!(usable(&cluster, 1), 9, "requests of the crashed run may still be running");
    run_rounds(&mut cluster, 20).await;
    assert_eq!(usable(&cluster, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn lowered_limit_blocks_new_work_and_lets_running_work_finish() {
    let mut cluster = Cluster::new([12, 3]);
    run_rounds(&mut cluster, 15).await;
    let started: u32 = (0..ENTRIES).map(|entry| start_all(&mut cluster, entry)).sum();
    assert_eq!(started, 12);
    cluster.set_limits([4, 3]);
    for index in 0..ENTRIES {
        apply(&mut cluster, Action::AdoptConfig(index)).await;
        cluster.step(index).await;
    }
    assert!((0..ENTRIES).all(|entry| !cluster.start(entry, 0, DEADLINE_MAX)));
    assert_eq!(cluster.running(0), 12);
    run_rounds(&mut cluster, 25).await;
    let started: u32 = (0..ENTRIES).map(|entry| start_all(&mut cluster, entry)).sum();
    assert_eq!(started, 4);
}

#[tokio::test(start_paused = true)]
async fn leave_releases_idle_tokens_immediately() {
    let mut cluster = Cluster::new([12, 3]);
    run_rounds(&mut cluster, 15).await;
    assert!(cluster.start(0, 0, Duration::from_secs(9)));
    cluster.entries[0].keeper.leave().await;
    assert_eq!(start_all(&mut cluster, 0), 0);
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    cluster.entries[0].paused = true;
    run_rounds(&mut cluster, 15).await;
    assert_eq!(usable(&cluster, 1), 11);
    run_rounds(&mut cluster, 35).await;
    assert_eq!(usable(&cluster, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn transfer_with_unknown_outcome_is_resolved() {
    for fault in [WriteFault::LostAnswer, WriteFault::LostRequest] {
        let mut cluster = Cluster::new([12, 3]);
        run_rounds(&mut cluster, 15).await;
        cluster.entries[1].waiting.set(TEAMS[0], 50);
        cluster.store.faults().fail_every(2, fault);
        run_rounds(&mut cluster, 30).await;
        assert_eq!(usable(&cluster, 1), 12);
        assert_eq!(cluster.entries[1].keeper.ledger().unwrap().total(&TEAMS[0].into()), 12);
    }
}

#[tokio::test(start_paused = true)]
async fn an_idle_fleet_writes_only_confirmations() {
    let mut cluster = Cluster::new([12, 3]);
    run_rounds(&mut cluster, 10).await;
    let before = cluster.store.faults().total_counts().writes;
    run_rounds(&mut cluster, 60).await;
    let writes = cluster.store.faults().total_counts().writes - before;
    let confirmations = 12 * ENTRIES as u64;
    assert!(writes <= confirmations + ENTRIES as u64, "{writes} writes");
}

async fn adopt_config(cluster: &mut Cluster, entry: usize) {
    apply(cluster, Action::AdoptConfig(entry)).await;
    cluster.step(entry).await;
}

#[tokio::test(start_paused = true)]
async fn holder_that_may_not_know_a_lowered_limit_counts_with_all_its_tokens() {
    let mut cluster = Cluster::new([12, 3]);
    run_rounds(&mut cluster, 15).await;
    cluster.store.faults().cut_off("entry-0", Partition::Requests);
    cluster.set_limits([4, 3]);
    let mut started = start_all(&mut cluster, 0);
    assert_eq!(started, 3);
    for _ in 0..20 {
        for entry in 1..ENTRIES {
            adopt_config(&mut cluster, entry).await;
            started += start_all(&mut cluster, entry);
        }
        assert!(started <= 4, "{started} run");
        advance(Duration::from_millis(500)).await;
    }
    assert_eq!(started, 4);
}

#[tokio::test(start_paused = true)]
async fn holder_with_an_older_configuration_claims_no_tokens() {
    let mut cluster = Cluster::new([12, 3]);
    run_rounds(&mut cluster, 15).await;
    cluster.set_limits([4, 3]);
    for entry in 1..ENTRIES {
        adopt_config(&mut cluster, entry).await;
    }
    cluster.entries[0].waiting.set(TEAMS[0], 50);
    run_rounds(&mut cluster, 15).await;
    assert!(cluster.entries[0].keeper.ledger().unwrap().total(&TEAMS[0].into()) <= 4);
}

#[tokio::test(start_paused = true)]
async fn limit_raised_and_lowered_during_a_partition_starts_no_work() {
    let mut cluster = Cluster::new([12, 3]);
    run_rounds(&mut cluster, 15).await;
    cluster.store.faults().cut_off("entry-0", Partition::Requests);
    for limits in [[24, 3], [12, 3]] {
        cluster.set_limits(limits);
        adopt_config(&mut cluster, 0).await;
    }
    assert_eq!(start_all(&mut cluster, 0), 0);
}

#[tokio::test(start_paused = true)]
async fn superseded_run_starts_no_work_when_it_resumes() {
    let mut cluster = Cluster::new([12, 3]);
    run_rounds(&mut cluster, 15).await;
    cluster.supersede(0);
    run_rounds(&mut cluster, 20).await;
    let superseded = cluster.superseded[0].incarnation;
    for _ in 0..5 {
        cluster.resume_superseded().await;
        advance(SETTINGS.interval).await;
    }
    assert!(cluster.requests.borrow().iter().all(|request| request.incarnation != superseded));
}

#[tokio::test(start_paused = true)]
async fn stale_read_does_not_resolve_a_transfer() {
    let mut cluster = Cluster::new([12, 3]);
    run_rounds(&mut cluster, 15).await;
    let faults = cluster.store.faults();
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    cluster.step(1).await;
    faults.set_stale_reads(Some(faults.revision()));
    faults.fail_writes(1, WriteFault::LostAnswer);
    cluster.entries[0].keeper.revision_hint().store(u64::MAX, Ordering::Relaxed);
    for _ in 0..5 {
        cluster.step(0).await;
        assert_eq!(usable(&cluster, 0), 0, "the transfer took effect");
        advance(SETTINGS.interval).await;
    }
    faults.set_stale_reads(None);
    run_rounds(&mut cluster, 10).await;
    assert_eq!(usable(&cluster, 1), 12);
}

#[tokio::test(start_paused = true)]
async fn restored_ledger_is_adopted_without_exceeding_the_limit() {
    let mut cluster = Cluster::new([12, 3]);
    run_rounds(&mut cluster, 15).await;
    let revision = cluster.store.faults().revision();
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    run_rounds(&mut cluster, 15).await;
    assert_eq!(usable(&cluster, 1), 12);
    cluster.store.faults().roll_back(revision);
    for _ in 0..80 {
        (0..ENTRIES).for_each(|entry| _ = start_all(&mut cluster, entry));
        run_rounds(&mut cluster, 2).await;
    }
    (0..ENTRIES).for_each(|entry| _ = start_all(&mut cluster, entry));
    assert!(cluster.running(0) > 0, "requests are running");
    run_rounds(&mut cluster, 60).await;
    assert_eq!(usable(&cluster, 1), 12, "tokens move again");
}

#[tokio::test(start_paused = true)]
async fn holders_wait_for_one_that_has_not_detected_a_restore() {
    let mut cluster = Cluster::new([12, 3]);
    run_rounds(&mut cluster, 15).await;
    let revision = cluster.store.faults().revision();
    cluster.entries[1].waiting.set(TEAMS[0], 50);
    run_rounds(&mut cluster, 15).await;
    cluster.store.faults().cut_off("entry-1", Partition::Requests);
    cluster.store.faults().roll_back(revision);
    cluster.crash(3, false);
    cluster.entries[3].waiting.set(TEAMS[0], 50);
    for _ in 0..100 {
        (0..2).for_each(|_| _ = cluster.start(1, 0, DEADLINE_MAX));
        for entry in [0, 2, 3] {
            start_all(&mut cluster, entry);
        }
        run_rounds(&mut cluster, 1).await;
    }
    run_rounds(&mut cluster, 120).await;
    assert_eq!(usable(&cluster, 3), 12);
}
