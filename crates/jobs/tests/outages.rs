//! Log lines about outages of the store that an owner meets.

mod clients;
mod emulator;
mod log_lines;
mod scripted_store;

use cassiafold_jobs::event::JobsEvent;
use cassiafold_jobs::record::{OWNER_KEY, SEQUENCE_KEY};

use self::emulator::ms;
use self::emulator::worker::EmulatedWorker;
use self::log_lines::{capture, lines};
use self::scripted_store::{CallFault, ScriptedClients};

/// Lines of an event that name this user of the store.
fn lines_of(event: JobsEvent, user: &str) -> usize {
    lines(event.row().number).iter().filter(|line| line["user"] == user).count()
}

/// Waits up to 5 s for the line that says that a user's outage is over.
async fn check_outage_ends_in_the_log(user: &str) {
    for _ in 0..500 {
        if lines_of(JobsEvent::StoreRegained, user) > 0 {
            break;
        }
        tokio::time::sleep(ms(10)).await;
    }
    let ends = lines_of(JobsEvent::StoreRegained, user);
    assert_eq!((lines_of(JobsEvent::StoreLost, user), ends), (1, 1), "lines of start and end");
}

#[tokio::test]
async fn an_outage_while_an_owner_loads_ends_in_the_log() {
    capture();
    let platform = ScriptedClients::new().await;
    platform.store.plan_read(SEQUENCE_KEY, CallFault::Refused);
    let _owner = platform.start_owner("one");
    check_outage_ends_in_the_log("load").await;
}

#[tokio::test]
async fn an_outage_while_an_owner_reads_the_owner_key_ends_in_the_log() {
    capture();
    let platform = ScriptedClients::with_workers(1).await;
    platform.clients.register_workers().await;
    platform.clients.workers.with("w0", EmulatedWorker::refuse_owners);
    platform.store.plan_read(OWNER_KEY, CallFault::Refused);
    let _owner = platform.start_owner("one");
    check_outage_ends_in_the_log("owner's token").await;
}
