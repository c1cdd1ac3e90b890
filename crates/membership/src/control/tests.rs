use std::time::Duration;

use cassiafold_standin::MemoryStore;
use cassiafold_standin::faults::{Partition, WriteFault};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::ControlLease;
use crate::identity::Identity;

const TTL: Duration = Duration::from_secs(10);
const ENTRIES: usize = 3;

fn identity(index: usize) -> Identity {
    Identity {
        id: format!("a{index}").into(),
        zone: "a".into(),
        region: "north".into(),
        address: "127.0.0.1:7000".parse().unwrap(),
        incarnation: 1,
    }
}

fn start(store: &MemoryStore, index: usize) -> (ControlLease, CancellationToken) {
    let (control, stop) = (ControlLease::default(), CancellationToken::new());
    let client = store.client(format!("a{index}"));
    tokio::spawn(control.clone().run(client, identity(index), TTL, stop.clone()));
    (control, stop)
}

#[derive(Debug, Clone)]
enum Action {
    Wait(u64),
    CutOff(usize, bool),
    Reconnect(usize),
    Outage(bool),
    Fault(bool),
    Restart(usize),
}

fn action() -> impl Strategy<Value = Action> {
    let entry = 0..ENTRIES;
    prop_oneof![
        6 => (1u64..9_000).prop_map(Action::Wait),
        2 => (entry.clone(), any::<bool>())
            .prop_map(|(entry, direction)| Action::CutOff(entry, direction)),
        2 => entry.clone().prop_map(Action::Reconnect),
        2 => any::<bool>().prop_map(Action::Outage),
        2 => any::<bool>().prop_map(Action::Fault),
        1 => entry.prop_map(Action::Restart),
    ]
}

async fn run(actions: Vec<Action>) {
    let store = MemoryStore::default();
    let faults = store.faults();
    let mut entries: Vec<_> = (0..ENTRIES).map(|index| start(&store, index)).collect();
    let mut last_revision = 0;
    for action in actions {
        match action {
            Action::Wait(time_ms) => sleep(Duration::from_millis(time_ms)).await,
            Action::CutOff(entry, requests) => {
                let direction = if requests { Partition::Requests } else { Partition::Answers };
                faults.cut_off(format!("a{entry}"), direction);
            }
            Action::Reconnect(entry) => faults.reconnect(&format!("a{entry}")),
            Action::Outage(outage) => faults.set_outage(outage),
            Action::Fault(true) => faults.fail_writes(1, WriteFault::LostAnswer),
            Action::Fault(false) => faults.fail_writes(1, WriteFault::Late(TTL / 3)),
            Action::Restart(entry) => {
                entries[entry].1.cancel();
                entries[entry] = start(&store, entry);
            }
        }
        let held: Vec<_> = entries.iter().filter_map(|(control, _)| control.held()).collect();
        assert!(held.len() <= 1, "{} entries hold the control role", held.len());
        if let Some(term) = held.first() {
            assert!(term.revision >= last_revision, "revisions of the terms do not rise");
            last_revision = term.revision;
        }
    }
    faults.clear();
    sleep(6 * TTL).await;
    let held = entries.iter().filter(|(control, _)| control.held().is_some()).count();
    assert_eq!(held, 1, "one entry holds the role after the faults");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn at_most_one_entry_holds_the_control_role(actions in prop::collection::vec(action(), 1..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(run(actions));
    }
}

#[tokio::test(start_paused = true)]
async fn term_ends_while_its_holder_is_paused() {
    let store = MemoryStore::default();
    let (control, _stop) = start(&store, 0);
    sleep(TTL).await;
    let term = control.held().unwrap();
    tokio::time::advance(TTL).await;
    assert!(!term.is_valid());
    assert!(control.held().is_none());
}

#[tokio::test(start_paused = true)]
async fn stale_reads_do_not_elect_a_second_holder() {
    let store = MemoryStore::default();
    let before = store.faults().revision();
    let (first, _stop) = start(&store, 0);
    sleep(TTL).await;
    store.faults().set_stale_reads(Some(before));
    let (second, _other) = start(&store, 1);
    for _ in 0..20 {
        sleep(TTL / 4).await;
        assert!(first.held().is_some() && second.held().is_none());
    }
}
