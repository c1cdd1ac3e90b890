use capnp::message::Builder;
use capnp::serialize;
use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::{
    ConfigDocument, EntryReport, Hello, InstanceSymptom, InstanceUsage, Leave, QueueUsage, Report,
    Symptom,
};
use crate::limits::{CONFIG_BYTES_MAX, ID_BYTES_MAX, reader_options};
use crate::peer_capnp::{config_document, hello, leave, report};

/// Writes a message, reads it back and returns the result and its length in bytes.
macro_rules! round_trip {
    ($message:expr, $module:ident, $type:ty) => {{
        let mut builder = Builder::new_default();
        $message.write(builder.init_root::<$module::Builder<'_>>());
        let bytes = serialize::write_message_to_words(&builder);
        let reader = serialize::read_message(&bytes[..], reader_options()).unwrap();
        let read = <$type>::try_from(reader.get_root::<$module::Reader<'_>>().unwrap());
        (read, bytes.len())
    }};
}

fn entry(index: u16, queues: usize, instances: usize) -> EntryReport {
    let queue = QueueUsage { service: 1, team: 2, running: 3, waiting: u16::MAX };
    EntryReport {
        entry: index,
        zone: 1,
        incarnation: u64::MAX,
        heartbeat: 5,
        config_version: 6,
        ready: true,
        queues: vec![queue; queues],
        instances: vec![InstanceUsage { instance: 7, running: 8 }; instances],
        fleet_number: 9,
        draining: vec![],
        symptoms: vec![],
        store_reachable: true,
    }
}

fn draining_entry() -> EntryReport {
    EntryReport {
        draining: vec![InstanceUsage { instance: 10, running: 11 }],
        symptoms: vec![InstanceSymptom { instance: 12, symptom: Symptom::Hanging }],
        ..entry(0, 0, 0)
    }
}

fn hello_message() -> Hello {
    Hello {
        id: "entry-a1".into(),
        zone: "a".into(),
        region: "north".into(),
        config_version: 3,
        incarnation: 4,
        address: "127.0.0.1:7000".parse().unwrap(),
    }
}

#[test]
fn messages_survive_a_round_trip() {
    let (read, _) = round_trip!(hello_message(), hello, Hello);
    assert_eq!(read.unwrap(), hello_message());
    let message = Leave { id: "entry-a1".into(), incarnation: 9 };
    let (read, _) = round_trip!(message, leave, Leave);
    assert_eq!(read.unwrap(), message);
    let message = ConfigDocument { version: 7, document: b"{}".to_vec() };
    let (read, _) = round_trip!(message, config_document, ConfigDocument);
    assert_eq!(read.unwrap(), message);
}

#[test]
fn oversized_messages_are_rejected() {
    let long = Leave { id: "x".repeat(ID_BYTES_MAX + 1).into(), incarnation: 9 };
    assert!(round_trip!(long, leave, Leave).0.is_err());
    let document = vec![b' '; CONFIG_BYTES_MAX + 1];
    let long = ConfigDocument { version: 7, document };
    assert!(round_trip!(long, config_document, ConfigDocument).0.is_err());
}

#[test]
fn bytes_of_each_message() {
    let name: std::sync::Arc<str> = "team-000".into();
    let empty = Report { names: vec![], ledger_revision: 1, entries: vec![entry(0, 0, 0)] };
    let queue = Report { entries: vec![entry(0, 1, 0)], ..empty.clone() };
    let instance = Report { entries: vec![entry(0, 0, 1)], ..empty.clone() };
    let relayed = Report { entries: vec![entry(0, 0, 0); 2], ..empty.clone() };
    let named = Report { names: vec![name], ..empty.clone() };
    let draining = Report { entries: vec![draining_entry()], ..empty.clone() };
    let sizes = [&empty, &queue, &instance, &relayed, &named, &draining]
        .map(|message| round_trip!(message, report, Report).1);
    let hello = round_trip!(hello_message(), hello, Hello).1;
    expect![[r#"
        heartbeat 120
        first queue 136, first backend server 136
        first draining and failing instance 152
        further entry 72
        first name 144
        hello 120
    "#]]
    .assert_eq(&format!(
        "heartbeat {}\nfirst queue {}, first backend server {}\n\
         first draining and failing instance {}\nfurther entry {}\n\
         first name {}\nhello {hello}\n",
        sizes[0],
        sizes[1],
        sizes[2],
        sizes[5],
        sizes[3] - sizes[0],
        sizes[4],
    ));
    let many = Report { entries: vec![entry(0, 101, 51)], ..empty };
    assert_eq!(round_trip!(many, report, Report).1, 120 + 16 + 8 * 100 + 16 + 8 * 50);
}

fn read_all(bytes: &[u8]) {
    let Ok(reader) = serialize::read_message(bytes, reader_options()) else { return };
    let _ = reader.get_root::<hello::Reader<'_>>().map(Hello::try_from);
    let _ = reader.get_root::<report::Reader<'_>>().map(Report::try_from);
    let _ = reader.get_root::<leave::Reader<'_>>().map(Leave::try_from);
    let _ = reader.get_root::<config_document::Reader<'_>>().map(ConfigDocument::try_from);
}

fn with_segment_header(mut words: Vec<u8>) -> Vec<u8> {
    words.truncate(words.len() / 8 * 8);
    let mut bytes = vec![0; 4];
    bytes.extend(((words.len() / 8) as u32).to_le_bytes());
    bytes.extend(words);
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        read_all(&bytes);
        read_all(&with_segment_header(bytes));
    }

    #[test]
    fn damaged_messages_never_panic(
        flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let message = Report {
            names: vec!["portal".into(), "parishes".into()],
            ledger_revision: 1,
            entries: vec![entry(0, 3, 2), entry(1, 1, 0), draining_entry()],
        };
        let mut builder = Builder::new_default();
        message.write(builder.init_root::<report::Builder<'_>>());
        let mut bytes = serialize::write_message_to_words(&builder);
        for (index, value) in flips {
            let position = index.index(bytes.len());
            bytes[position] = value;
        }
        read_all(&bytes);
    }

    #[test]
    fn reports_survive_a_round_trip(
        queues in 0usize..40,
        instances in 0usize..40,
        names in prop::collection::vec("[a-zé]{1,20}", 0..20),
    ) {
        let names = names.into_iter().map(Into::into).collect();
        let entries = vec![entry(3, queues, instances), entry(4, 0, 1)];
        let message = Report { names, ledger_revision: 2, entries };
        prop_assert_eq!(round_trip!(message, report, Report).0.unwrap(), message);
    }
}
