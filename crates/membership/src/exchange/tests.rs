use std::collections::BTreeMap;
use std::sync::Arc;

use cassiafold_config::InstanceId;
use cassiafold_wire::{EntryReport, QueueUsage, Report};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::{CHANGE_DIVISOR, ReportDecoder, ReportEncoder};
use crate::roster::Heartbeat;
use crate::usage::{QueueId, Symptom, TeamUsage, Usage};

fn heartbeat(entry: usize, incarnation: u64, sequence: u64, usage: Usage) -> Heartbeat {
    Heartbeat {
        id: format!("entry-{entry}").into(),
        zone: "a".into(),
        incarnation,
        sequence,
        config_version: 1,
        ready: true,
        usage: Arc::new(usage),
    }
}

fn usage() -> impl Strategy<Value = Usage> {
    let queue = (0usize..3, 0usize..5, 0u32..40, 0u32..90_000);
    let instances = prop::collection::btree_map(0usize..6, 1u32..9, 0..6);
    let draining = prop::collection::btree_map(0usize..6, 1u32..9, 0..3);
    let symptom =
        prop::sample::select(vec![Symptom::Unreachable, Symptom::Hanging, Symptom::FailingAll]);
    let symptoms = prop::collection::btree_map(0usize..6, symptom, 0..3);
    let queues = prop::collection::vec(queue, 0..12);
    let parts = (queues, instances, draining, symptoms, any::<u64>());
    parts.prop_map(|(queues, instances, draining, symptoms, fleet_number)| {
        let queues = queues.into_iter().filter(|queue| queue.2 + queue.3 > 0);
        let queues = queues.map(|(service, team, running, waiting)| {
            let (service, team) = (format!("s{service}").into(), format!("t{team}").into());
            (QueueId { service, team }, TeamUsage { running, waiting })
        });
        Usage {
            queues: queues.collect(),
            instances: by_id(instances),
            fleet_number,
            draining: by_id(draining),
            symptoms: by_id(symptoms),
            store_reachable: fleet_number % 2 == 0,
        }
    })
}

fn by_id<T>(values: BTreeMap<usize, T>) -> BTreeMap<InstanceId, T> {
    values.into_iter().map(|(id, value)| (format!("i{id}").into(), value)).collect()
}

/// Returns whether the received count is within the change that is not sent, after saturation.
fn is_close(expected: u32, actual: u32) -> bool {
    let expected = expected.min(u32::from(u16::MAX));
    (expected == 0) == (actual == 0) && expected.abs_diff(actual) <= actual / CHANGE_DIVISOR + 1
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn receiver_state_follows_sender_state(
        rounds in prop::collection::vec((0usize..3, 1u64..3, usage()), 1..20),
    ) {
        let (mut encoder, mut decoder) = (ReportEncoder::default(), ReportDecoder::default());
        for (number, (entry, incarnation, usage)) in rounds.into_iter().enumerate() {
            let sent = heartbeat(entry, incarnation, number as u64, usage);
            let report = encoder.encode(std::slice::from_ref(&sent), true, 0).unwrap();
            let received = decoder.decode(report).unwrap();
            prop_assert_eq!(received.len(), 1);
            let (expected, actual) = (&sent.usage, &received[0].usage);
            prop_assert_eq!(&received[0].id, &sent.id);
            prop_assert_eq!(&expected.instances, &actual.instances);
            prop_assert_eq!(expected.fleet_number, actual.fleet_number);
            prop_assert_eq!(expected.store_reachable, actual.store_reachable);
            prop_assert_eq!(&expected.draining, &actual.draining);
            prop_assert_eq!(&expected.symptoms, &actual.symptoms);
            prop_assert!(expected.queues.keys().eq(actual.queues.keys()));
            for (queue, expected) in &expected.queues {
                let actual = actual.queues[queue];
                prop_assert!(
                    is_close(expected.running, actual.running)
                        && is_close(expected.waiting, actual.waiting)
                );
            }
        }
    }
}

#[test]
fn unchanged_usage_is_not_sent_again() {
    let queue = QueueId { service: "portal".into(), team: "parishes".into() };
    let mut usage = Usage::default();
    usage.queues.insert(queue, TeamUsage { running: 3, waiting: 4 });
    let mut encoder = ReportEncoder::default();
    let first = encoder.encode(&[heartbeat(0, 1, 1, usage.clone())], true, 0).unwrap();
    assert_eq!((first.names.len(), first.entries[0].queues.len()), (4, 1));
    let second = encoder.encode(&[heartbeat(0, 1, 2, usage)], true, 0).unwrap();
    assert!(second.names.is_empty() && second.entries[0].queues.is_empty());
}

#[test]
fn position_outside_the_table_is_rejected() {
    let queue = QueueUsage { service: 9, team: 0, running: 1, waiting: 0 };
    let entry = EntryReport {
        entry: 0,
        zone: 0,
        incarnation: 1,
        heartbeat: 1,
        config_version: 1,
        ready: true,
        queues: vec![queue],
        instances: vec![],
        fleet_number: 0,
        draining: vec![],
        symptoms: vec![],
        store_reachable: false,
    };
    let report = Report { names: vec!["a".into()], ledger_revision: 0, entries: vec![entry] };
    assert!(ReportDecoder::default().decode(report).is_err());
}
