//! The owner while the store takes long for each call, in real time.

mod clients;
mod emulator;
mod scripted_store;

use std::time::Duration;

use cassiafold_jobs::clients::FencingToken;
use cassiafold_jobs::owner::OwnerSettings;
use cassiafold_jobs::record::{
    INBOX_PREFIX, JobState, OWNER_KEY, StateRecord, WRITE_CHAINS, job_key, sequence_key, state_key,
};
use cassiafold_jobs::spec::JobId;
use cassiafold_platform::{Compare, Transaction, TransactionalStore};
use cassiafold_standin::Partition;
use serde_json::Value;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use self::clients::{TestClients, owner_settings, start_owner};
use self::emulator::{job, ms, step};
use self::scripted_store::{CallFault, ScriptedClients, ScriptedStore};

/// Time to live of the owner's lease while the store is fast.
const LEASE_TTL: Duration = Duration::from_millis(1_200);
/// Time after which a client of the store gives up a call.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_800);
/// Time for which a test waits.
const WAIT_MAX: Duration = Duration::from_secs(20);
/// Name of a client of the store that was given none.
const DEFAULT_CLIENT: &str = "default";
/// Time between two looks at the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A platform with a configuration and workers, whose clients leave the store time.
async fn patient_platform() -> TestClients {
    let platform = TestClients::new(4);
    platform.configure(1, &["k1"]).await;
    platform.register_workers().await;
    TestClients { store: platform.store.with_timeout(CLIENT_TIMEOUT), ..platform }
}

/// Starts an owner with a client of its own. Cancelling the returned token stops it.
fn start_instance(platform: &TestClients, instance: &str) -> CancellationToken {
    let clients = TestClients { store: platform.store.client(instance), ..platform.clone() };
    let settings = OwnerSettings { lease_ttl: LEASE_TTL, ..owner_settings(instance) };
    start_owner(clients, settings)
}

/// Accepts a job of five tasks in two steps.
async fn accept(platform: &TestClients, id: JobId) {
    let record = job(vec![step(3, 1, &[]), step(2, 1, &[0])]);
    platform.workers.add_job(id, record.clone());
    let value = record.encode().expect("record");
    let accepted = Transaction::default().expect(job_key(id), Compare::Absent);
    let accepted = accepted.put(job_key(id), value, None);
    platform.store.commit(accepted).await.expect("store");
}

fn is_completed(platform: &TestClients, id: JobId) -> bool {
    let record = platform.store.faults().peek(&state_key(id));
    let state = record.map(|record| StateRecord::try_from(&record.value[..]).expect("state"));
    state.is_some_and(|state| state.state == JobState::Completed)
}

/// Waits for something that a slow store holds up, and returns how long it took.
async fn wait_for<T>(what: &str, check: impl Fn() -> Option<T>) -> (T, Duration) {
    let began = Instant::now();
    while began.elapsed() < WAIT_MAX {
        if let Some(found) = check() {
            return (found, began.elapsed());
        }
        sleep(CHECK_INTERVAL).await;
    }
    panic!("timed out waiting for: {what}");
}

async fn wait_until_completed(platform: &TestClients, id: JobId) {
    wait_for("completed", || is_completed(platform, id).then_some(())).await;
}

fn token(platform: &TestClients) -> Option<FencingToken> {
    platform.store.faults().peek(OWNER_KEY).map(|record| record.revision)
}

/// Waits until this instance is the owner, and returns how long it took.
async fn wait_for_owner(platform: &TestClients, instance: &str) -> Duration {
    let prefix = format!("{instance} ");
    let is_owner = || {
        let record = platform.store.faults().peek(OWNER_KEY)?;
        record.value.starts_with(prefix.as_bytes()).then_some(())
    };
    wait_for(instance, is_owner).await.1
}

/// Starts an owner and another instance, and waits until a job has been completed.
async fn working_platform() -> (TestClients, [CancellationToken; 2]) {
    let platform = patient_platform().await;
    let owner = start_instance(&platform, "one");
    let _ = wait_for_owner(&platform, "one").await;
    let other = start_instance(&platform, "two");
    accept(&platform, 1).await;
    wait_until_completed(&platform, 1).await;
    (platform, [owner, other])
}

/// Longest time from the acceptance of a job until its end is stored: three writes, one after the
/// other, store its start and the ends of both steps.
fn job_time_max(delay: Duration) -> Duration {
    delay * 3 + ms(800)
}

/// Jobs accepted during a play, one each second.
const JOBS: u64 = 6;

/// What happened while each call to the store took the same time.
#[derive(Debug, Default, PartialEq, Eq)]
struct Play {
    owner_changes: usize,
    /// Jobs whose end was stored too late or not at all, with the time taken.
    late: Vec<(JobId, Option<Duration>)>,
}

/// Accepts jobs while each call to the store takes `delay`.
async fn play(delay: Duration) -> Play {
    let (platform, _owners) = working_platform().await;
    platform.store.faults().set_delay(delay);
    let mut ends = Vec::new();
    for id in 2..2 + JOBS {
        let platform = platform.clone();
        ends.push(tokio::spawn(async move {
            sleep(ms(1_000) * u32::try_from(id).expect("few jobs")).await;
            accept(&platform, id).await;
            let accepted = Instant::now();
            while accepted.elapsed() < job_time_max(delay) + ms(2_000) {
                if is_completed(&platform, id) {
                    return (id, Some(accepted.elapsed()));
                }
                sleep(CHECK_INTERVAL).await;
            }
            (id, None)
        }));
    }
    let mut play = Play::default();
    let mut last_token = token(&platform);
    while !ends.iter().all(|end| end.is_finished()) {
        play.owner_changes += usize::from(token(&platform) != last_token);
        last_token = token(&platform);
        sleep(CHECK_INTERVAL).await;
    }
    for end in ends {
        let (id, taken) = end.await.expect("job");
        println!("job {id} took {taken:?}");
        if taken.is_none_or(|taken| taken > job_time_max(delay)) {
            play.late.push((id, taken));
        }
    }
    play
}

macro_rules! jobs_start_and_end_under_one_owner_although_each_store_call_takes {
    ($($case:ident: $delay_ms:literal;)+) => {
        $(#[tokio::test]
        async fn $case() {
            assert_eq!(play(ms($delay_ms)).await, Play::default());
        })+
    };
}

jobs_start_and_end_under_one_owner_although_each_store_call_takes! {
    jobs_start_and_end_under_one_owner_although_each_store_call_takes_300_ms: 300;
    jobs_start_and_end_under_one_owner_although_each_store_call_takes_500_ms: 500;
    jobs_start_and_end_under_one_owner_although_each_store_call_takes_800_ms: 800;
    jobs_start_and_end_under_one_owner_although_each_store_call_takes_1000_ms: 1_000;
}

/// Transactions that an instance has sent, and writes of the owner that the store has committed.
fn sent_and_committed(platform: &TestClients, instance: &str) -> (u64, u64) {
    let faults = platform.store.faults();
    let number = |chain| {
        let record = faults.peek(&sequence_key(chain)).expect("sequence");
        let sequence: Value = serde_json::from_slice(&record.value).expect("sequence");
        sequence["number"].as_u64().expect("number")
    };
    (faults.counts(instance).writes, (0..WRITE_CHAINS).map(number).sum())
}

/// Number of jobs of a round in which transactions are counted.
const ROUND_JOBS: u64 = 3;
/// Rounds of which one must pass: a write is rightly sent again when this process stands still for
/// half of a call's time.
const ROUNDS: u64 = 3;

/// Completes a few jobs, and returns the transactions that were sent and the writes committed.
async fn count_round(platform: &TestClients, first: JobId) -> (u64, u64) {
    let (sent_before, committed_before) = sent_and_committed(platform, "one");
    for id in first..first + ROUND_JOBS {
        accept(platform, id).await;
        wait_until_completed(platform, id).await;
    }
    let (sent, committed) = sent_and_committed(platform, "one");
    (sent - sent_before, committed - committed_before)
}

/// Guards against transactions that only a slow store gets.
#[tokio::test]
async fn a_write_is_sent_once_after_the_first_ones_have_shown_how_slow_the_store_is() {
    let (platform, _owners) = working_platform().await;
    platform.store.faults().set_delay(ms(500));
    accept(&platform, 2).await;
    wait_until_completed(&platform, 2).await;
    let mut counts = Vec::new();
    for round in 0..ROUNDS {
        let (sent, committed) = count_round(&platform, 3 + round * ROUND_JOBS).await;
        counts.push((sent, committed));
        // One more may be on its way.
        if committed >= ROUND_JOBS * 2 && sent <= committed + 1 {
            return;
        }
    }
    panic!("transactions and writes of each round: {counts:?}");
}

#[tokio::test]
async fn a_write_on_a_silent_connection_is_sent_again_soon() {
    let platform = ScriptedClients::with_workers(1).await;
    platform.clients.register_workers().await;
    let _owner = platform.start_owner("one");
    accept(&platform.clients, 1).await;
    wait_until_completed(&platform.clients, 1).await;
    platform.store.plan(&[CallFault::Silent], CallFault::None);
    let began = Instant::now();
    accept(&platform.clients, 2).await;
    wait_until_completed(&platform.clients, 2).await;
    assert!(began.elapsed() < ms(900), "completed after {:?}", began.elapsed());
}

#[tokio::test]
async fn a_silent_store_gets_few_attempts_of_a_write() {
    let (platform, _owners) = working_platform().await;
    accept(&platform, 2).await;
    platform.store.faults().cut_off("one", Partition::Requests);
    let before = platform.store.faults().counts("one").writes;
    sleep(CLIENT_TIMEOUT * 2).await;
    let attempts = platform.store.faults().counts("one").writes - before;
    assert!((3..=12).contains(&attempts), "{attempts} attempts");
}

macro_rules! an_ownership_is_claimed_although_each_store_call_takes {
    ($($case:ident: $delay_ms:literal;)+) => {
        $(#[tokio::test]
        async fn $case() {
            let platform = patient_platform().await;
            platform.store.faults().set_delay(ms($delay_ms));
            let _owners = [start_instance(&platform, "one"), start_instance(&platform, "two")];
            accept(&platform, 1).await;
            let (claimed, taken) = wait_for("an owner", || token(&platform)).await;
            println!("claimed {taken:?} after the first job was accepted");
            wait_until_completed(&platform, 1).await;
            assert_eq!(token(&platform), Some(claimed), "the first owner holds the ownership");
        })+
    };
}

an_ownership_is_claimed_although_each_store_call_takes! {
    an_ownership_is_claimed_although_each_store_call_takes_300_ms: 300;
    an_ownership_is_claimed_although_each_store_call_takes_500_ms: 500;
    an_ownership_is_claimed_although_each_store_call_takes_800_ms: 800;
    an_ownership_is_claimed_although_each_store_call_takes_1000_ms: 1_000;
    an_ownership_is_claimed_although_each_store_call_takes_1500_ms: 1_500;
}

/// Longest time until a lost owner is replaced while the store is fast.
const REPLACED_AFTER_MAX: Duration = Duration::from_millis(1_350);

/// Guards against a lease that is longer than it has to be while the store is fast.
#[tokio::test]
async fn a_lost_owner_is_replaced_within_its_lease_while_the_store_is_fast() {
    let (platform, _owners) = working_platform().await;
    platform.store.faults().cut_off("one", Partition::Requests);
    let taken = wait_for_owner(&platform, "two").await;
    assert!(taken <= REPLACED_AFTER_MAX, "replaced after {taken:?}");
}

/// Guards against a long lease of a whole term that one slow call causes.
#[tokio::test]
async fn a_lost_owner_whose_lease_was_granted_slowly_once_is_replaced_in_the_usual_time() {
    let platform = ScriptedClients::with_workers(1).await;
    platform.store.plan_grant(CallFault::Slow(ms(900)));
    let settings = OwnerSettings { lease_ttl: LEASE_TTL, ..owner_settings("one") };
    let _owner = start_owner(platform.clone(), settings);
    let _ = wait_for_owner(&platform.clients, "one").await;
    let _other = start_instance(&platform.clients, "two");
    sleep(ms(500)).await;
    platform.clients.store.faults().cut_off(DEFAULT_CLIENT, Partition::Requests);
    let taken = wait_for_owner(&platform.clients, "two").await;
    assert!(taken <= REPLACED_AFTER_MAX, "replaced after {taken:?}");
}

/// Guards against an instance that takes the ownership again and again and can't read the jobs.
#[tokio::test]
async fn a_failed_owner_does_not_claim_again_before_its_lease_of_a_slow_store_has_ended() {
    let platform = patient_platform().await;
    platform.store.faults().fail_lists("blind", INBOX_PREFIX);
    platform.store.faults().lose_revocations("blind");
    platform.store.faults().set_delay(ms(800));
    let _blind = start_instance(&platform, "blind");
    let _ = wait_for_owner(&platform, "blind").await;
    let failed = token(&platform);
    platform.store.faults().set_delay(ms(0));
    let _other = start_instance(&platform, "other");
    let next = || token(&platform).filter(|token| Some(*token) != failed);
    let _ = wait_for("the next owner", next).await;
    let owner = platform.store.faults().peek(OWNER_KEY).expect("owner");
    assert!(owner.value.starts_with(b"other "), "{:?}", owner.value);
}

/// Guards against an owner that keeps the ownership for ever and starts nothing.
#[tokio::test]
async fn jobs_end_although_the_calls_have_come_to_take_longer_than_the_lease_of_the_owner() {
    let (platform, _owners) = working_platform().await;
    platform.store.faults().set_delay(ms(1_500));
    accept(&platform, 2).await;
    wait_until_completed(&platform, 2).await;
}

/// Starts an owner whose store leaves one call without a response, and returns how long it took to
/// claim the ownership.
async fn claim_time(plan: impl FnOnce(&ScriptedStore)) -> Duration {
    let platform = ScriptedClients::new().await;
    plan(&platform.store);
    let settings = OwnerSettings { lease_ttl: LEASE_TTL, ..owner_settings("one") };
    let _owner = start_owner(platform.clone(), settings);
    wait_for_owner(&platform.clients, "one").await
}

#[tokio::test]
async fn an_ownership_is_claimed_soon_although_the_request_for_the_lease_gets_no_response() {
    let taken = claim_time(|store| store.plan_grant(CallFault::Silent)).await;
    assert!(taken < ms(700), "claimed after {taken:?}");
}

#[tokio::test]
async fn an_ownership_is_claimed_soon_although_the_claim_gets_no_response() {
    let taken = claim_time(|store| store.plan(&[CallFault::Silent], CallFault::None)).await;
    assert!(taken < ms(700), "claimed after {taken:?}");
}

/// Guards against a second claim by an instance whose first one was committed.
#[tokio::test]
async fn a_claim_that_was_sent_twice_is_one_claim() {
    let platform = ScriptedClients::with_workers(1).await;
    platform.clients.register_workers().await;
    platform.store.plan(&[CallFault::SlowResponse(ms(900))], CallFault::None);
    let _owner = platform.start_owner("one");
    let _ = wait_for_owner(&platform.clients, "one").await;
    let claimed = token(&platform.clients);
    accept(&platform.clients, 1).await;
    wait_until_completed(&platform.clients, 1).await;
    assert_eq!(token(&platform.clients), claimed);
}

/// Guards against owners that give the ownership up one after the other while responses to writes
/// are lost, because none of them gets one to the write with which its term begins.
#[tokio::test]
async fn a_job_is_started_soon_although_the_response_to_the_first_write_of_a_term_is_lost() {
    let platform = ScriptedClients::with_workers(1).await;
    platform.clients.register_workers().await;
    accept(&platform.clients, 1).await;
    let (claim, reads_of_the_state) = (1, 4);
    let mut calls = vec![CallFault::None; claim + reads_of_the_state];
    calls.push(CallFault::SlowResponse(ms(4_000)));
    platform.store.plan(&calls, CallFault::None);
    let began = Instant::now();
    let _owner = platform.start_owner("one");
    wait_until_completed(&platform.clients, 1).await;
    assert!(began.elapsed() < ms(2_000), "completed after {:?}", began.elapsed());
}
