use std::time::{Duration, UNIX_EPOCH};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::{WireError, WireShard};
use crate::record::{Claim, Outcome, Resources, Task, TaskState};
use crate::shard::Shard;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..Config::default() }
}

fn state() -> impl Strategy<Value = TaskState> {
    let time = (0_u64..4_000_000_000_000).prop_map(|ms| UNIX_EPOCH + Duration::from_millis(ms));
    let outcome = prop_oneof![
        "[a-z]{0,9}".prop_map(|output| Outcome::Succeeded { output: output.into() }),
        "[a-z]{0,9}".prop_map(|reason| Outcome::Failed { reason: reason.into() }),
        Just(Outcome::Unknown),
        Just(Outcome::Cancelled),
        Just(Outcome::Unschedulable),
    ];
    prop_oneof![
        time.clone().prop_map(|not_before| TaskState::Waiting { not_before }),
        ("[a-z]{1,5}", "[a-z]{1,5}", time.clone()).prop_map(|(id, worker, start_before)| {
            TaskState::Claimed(Claim { id: id.into(), worker: worker.into(), start_before })
        }),
        (outcome, time).prop_map(|(outcome, at)| TaskState::Finished { outcome, at }),
    ]
}

fn task() -> impl Strategy<Value = Task> {
    let ids = ("[a-z]{1,4}", "[a-z]{1,4}", "[a-z]{1,4}");
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    let sizes = (any::<u32>(), any::<u64>(), any::<u32>(), 0_u64..1 << 40);
    let failed_on = prop::collection::vec("[a-z]{1,4}", 0..3);
    (ids, flags, sizes, failed_on, state()).prop_map(|(ids, flags, sizes, failed_on, state)| Task {
        id: ids.0.as_str().into(),
        team: ids.1.as_str().into(),
        kind: ids.2.as_str().into(),
        idempotent: flags.0,
        urgent: flags.1,
        cancel_requested: flags.2,
        declared: Resources {
            processors_milli: sizes.0,
            memory_bytes: sizes.1,
            accelerators: sizes.2,
        },
        declared_run_time: Duration::from_millis(sizes.3),
        submission: ids.1.as_str().into(),
        last_ended_claim: flags.0.then(|| ids.2.as_str().into()),
        failed_on: failed_on.into_iter().map(Into::into).collect(),
        state,
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_shard_round_trips_through_its_stored_form(tasks in prop::collection::vec(task(), 0..8)) {
        let mut shard = Shard::default();
        for task in tasks {
            shard.submit(task);
        }
        let wire = WireShard::from(&shard);
        let bytes = serde_json::to_vec(&wire).unwrap();
        let read = Shard::try_from(WireShard::parse(&bytes).unwrap()).unwrap();
        prop_assert_eq!(read, shard);
    }

    #[test]
    fn arbitrary_bytes_are_refused_without_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        if let Ok(wire) = WireShard::parse(&bytes) {
            let _ = Shard::try_from(wire);
        }
    }
}

#[test]
fn an_unknown_format_is_refused() {
    let wire = WireShard::parse(br#"{"format":2,"tasks":[]}"#).unwrap();
    assert_eq!(Shard::try_from(wire), Err(WireError::UnknownFormat(2)));
}
