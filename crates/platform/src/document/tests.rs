use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::{Document, DocumentError, Envelope, WRITE_IDS_MAX, WriteLog, Writer};

#[derive(Debug, Clone, PartialEq)]
struct Even(u32);

impl TryFrom<u32> for Even {
    type Error = &'static str;

    fn try_from(raw: u32) -> Result<Self, Self::Error> {
        raw.is_multiple_of(2).then_some(Self(raw)).ok_or("odd")
    }
}

impl From<Even> for u32 {
    fn from(even: Even) -> Self {
        even.0
    }
}

impl Document for Even {
    type Wire = u32;
}

#[test]
fn an_envelope_round_trips_through_its_encoding() {
    let writes = WriteLog::default().followed_by(Writer::new("entry-1").next_id());
    let envelope = Envelope { value: Even(4), writes };
    assert_eq!(Envelope::decode(&envelope.encode().unwrap()), Ok(envelope));
}

#[test]
fn a_value_that_fails_its_validation_is_refused() {
    let stored = br#"{"writes":{"count":0,"recent":[]},"value":3}"#;
    assert_eq!(Envelope::<Even>::decode(stored), Err(DocumentError::Invalid("odd".into())));
}

#[test]
fn ids_differ_between_writes_and_incarnations() {
    let (one, two) = (Writer::new("entry-1"), Writer::new("entry-1"));
    assert_ne!(one.next_id(), one.next_id());
    assert_ne!(one.next_id(), two.next_id());
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() })]

    #[test]
    fn the_log_covers_exactly_the_last_writes(count in 0..100u64) {
        let mut log = WriteLog::default();
        for number in 1..=count {
            log = log.followed_by(number.to_string().into());
        }
        for number in 0..=count + 1 {
            let recent = number >= 1 && number <= count && number + WRITE_IDS_MAX as u64 > count;
            prop_assert_eq!(log.covers(number), recent);
            prop_assert_eq!(log.contains(&number.to_string()), recent);
        }
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) {
        let _ = Envelope::<Even>::decode(&bytes);
    }
}
