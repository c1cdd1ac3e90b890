use expect_test::expect;
use http::StatusCode;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::convert::{granted_lease, prefix_end, renewed_ttl, revision};
use super::message::{
    Base64, ErrorBody, LeaseResponse, RangeResponse, StreamMessage, TxnRequest, TxnResponse,
    WatchRequest, WatchResponse,
};
use super::{Answer, CallError, Failure, grpc, read_error, write_error};
use crate::store::{Change, Compare, Operation, Record, StoreError, Write, WriteOutcome};

fn json(message: &impl Serialize) -> String {
    serde_json::to_string(message).unwrap()
}

fn parse<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).unwrap()
}

#[test]
fn writes_are_encoded_as_transactions() {
    let put = Write {
        key: "foo".into(),
        compare: Compare::Absent,
        operation: Operation::Put { value: "bar".into(), lease: Some(7) },
    };
    expect![[r#"{"compare":[{"key":"Zm9v","target":"CREATE","result":"EQUAL","create_revision":"0"}],"success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"7"}}]}"#]]
        .assert_eq(&json(&TxnRequest::from(&put)));
    let compare = Compare::Revision(5);
    let delete = Write { key: "foo".into(), compare, operation: Operation::Delete };
    expect![[r#"{"compare":[{"key":"Zm9v","target":"MOD","result":"EQUAL","mod_revision":"5"}],"success":[{"request_delete_range":{"key":"Zm9v"}}]}"#]]
        .assert_eq(&json(&TxnRequest::from(&delete)));
}

const HEADER: &str = r#"{"cluster_id":"14841639068965178418","member_id":"10276657743932975437","revision":"9","raft_term":"2"}"#;

#[test]
fn a_range_response_is_parsed() {
    let text = format!(
        r#"{{"header":{HEADER},"kvs":[{{"key":"Zm9v","create_revision":"2","mod_revision":"6","version":"3","value":"YmFy"}}],"count":"1"}}"#
    );
    let response: RangeResponse = parse(&text);
    assert_eq!(revision(&response.header), Ok(9));
    let record = Record { key: "foo".into(), value: "bar".into(), revision: 6 };
    assert_eq!(Vec::<Record>::try_from(response), Ok(vec![record]));
}

#[test]
fn a_transaction_response_is_parsed() {
    let succeeded = format!(r#"{{"header":{HEADER},"succeeded":true,"responses":[]}}"#);
    assert_eq!(parse::<TxnResponse>(&succeeded).try_into(), Ok(WriteOutcome::Written(9)));
    let conflict = format!(r#"{{"header":{HEADER}}}"#);
    assert_eq!(parse::<TxnResponse>(&conflict).try_into(), Ok(WriteOutcome::Conflict));
    assert!(WriteOutcome::try_from(parse::<TxnResponse>("{}")).is_err());
}

#[test]
fn lease_responses_are_parsed() {
    let text = format!(r#"{{"header":{HEADER},"ID":"7587848943239472601","TTL":"10"}}"#);
    let response: LeaseResponse = parse(&text);
    assert_eq!(granted_lease(&response), Ok(7_587_848_943_239_472_601));
    assert_eq!(renewed_ttl(&response), Ok(Some(std::time::Duration::from_secs(10))));
    let expired = format!(r#"{{"result":{{"header":{HEADER},"ID":"7"}}}}"#);
    let StreamMessage::Result(expired) = parse::<StreamMessage<LeaseResponse>>(&expired) else {
        panic!("not a result")
    };
    assert_eq!(renewed_ttl(&expired), Ok(None));
}

#[test]
fn watch_messages_are_parsed() {
    let text = format!(
        r#"{{"result":{{"header":{HEADER},"events":[{{"kv":{{"key":"Zm9v","mod_revision":"8","value":"YmFy"}}}},{{"type":"DELETE","kv":{{"key":"Zm9v","mod_revision":"9"}}}}]}}}}"#
    );
    let StreamMessage::Result(response) = parse::<StreamMessage<WatchResponse>>(&text) else {
        panic!("not a result")
    };
    let changes: Result<Vec<Change>, _> =
        response.events.into_iter().map(Change::try_from).collect();
    let record = Record { key: "foo".into(), value: "bar".into(), revision: 8 };
    let put = Change { key: "foo".into(), record: Some(record), revision: 8 };
    let delete = Change { key: "foo".into(), record: None, revision: 9 };
    assert_eq!(changes, Ok(vec![put, delete]));
}

#[test]
fn a_range_ends_after_the_last_key_with_its_prefix() {
    let cases = [("a", &b"b"[..]), ("entries/", b"entries0"), ("", b"\0"), ("\u{7f}", b"\x80")];
    for (prefix, end) in cases {
        assert_eq!(prefix_end(prefix), Base64(bytes::Bytes::copy_from_slice(end)), "{prefix}");
    }
}

fn status(code: i32, message: &str) -> Failure {
    let body = json(&ErrorBody { code, message: message.into() });
    Failure::Status(Answer { status: StatusCode::BAD_REQUEST, etag: None, body: body.into() })
}

fn no_response() -> Failure {
    let reason = "timeout".into();
    Failure::Call(CallError::Unanswered { reason, stale_connection: false })
}

macro_rules! write_failures {
    ($($name:ident: $failure:expr => $error:pat,)+) => {$(
        #[test]
        fn $name() {
            let error = write_error($failure);
            assert!(matches!(error, $error), "{error:?}");
        }
    )+};
}

write_failures! {
    an_unsent_write_had_no_effect:
        Failure::Call(CallError::NotSent("refused".into())) => StoreError::Unavailable(_),
    a_write_without_response_is_unknown: no_response() => StoreError::OutcomeUnknown(_),
    a_malformed_response_is_unknown:
        Failure::Malformed("".into()) => StoreError::OutcomeUnknown(_),
    an_oversized_response_is_unknown:
        Failure::Call(CallError::TooLarge { max_bytes: 1 }) => StoreError::OutcomeUnknown(_),
    a_server_timeout_is_unknown: status(grpc::UNAVAILABLE, "etcdserver: request timed out")
        => StoreError::OutcomeUnknown(_),
    no_leader_had_no_effect:
        status(grpc::UNAVAILABLE, super::NO_LEADER) => StoreError::Unavailable(_),
    too_many_requests_had_no_effect:
        status(grpc::RESOURCE_EXHAUSTED, "") => StoreError::Unavailable(_),
    an_unknown_lease_is_expired: status(grpc::NOT_FOUND, "") => StoreError::LeaseExpired,
    an_internal_error_is_unknown: status(13, "") => StoreError::OutcomeUnknown(_),
    a_status_without_a_code_is_unknown:
        Failure::Status(Answer { status: StatusCode::NOT_FOUND, etag: None, body: "no such page".into() })
        => StoreError::OutcomeUnknown(_),
}

#[test]
fn a_compacted_read_has_its_own_error() {
    assert_eq!(read_error(status(grpc::OUT_OF_RANGE, "")), StoreError::Compacted);
    assert!(matches!(read_error(no_response()), StoreError::Unavailable(_)));
}

fn parse_all(bytes: &[u8]) {
    if let Ok(response) = serde_json::from_slice::<RangeResponse>(bytes) {
        let _ = revision(&response.header);
        let _ = Vec::<Record>::try_from(response);
    }
    if let Ok(response) = serde_json::from_slice::<TxnResponse>(bytes) {
        let _ = WriteOutcome::try_from(response);
    }
    if let Ok(request) = serde_json::from_slice::<TxnRequest>(bytes) {
        let _ = Write::try_from(request);
    }
    if let Ok(response) = serde_json::from_slice::<LeaseResponse>(bytes) {
        let _ = (granted_lease(&response), renewed_ttl(&response));
    }
    if let Ok(StreamMessage::Result(response)) =
        serde_json::from_slice::<StreamMessage<WatchResponse>>(bytes)
    {
        for event in response.events {
            let _ = Change::try_from(event);
        }
    }
    let _ = serde_json::from_slice::<WatchRequest>(bytes);
}

const SAMPLES: [&str; 4] = [
    r#"{"header":{"revision":"9"},"kvs":[{"key":"Zm9v","mod_revision":"6","value":"YmFy"}]}"#,
    r#"{"result":{"header":{"revision":"9"},"events":[{"type":"DELETE","kv":{"key":"Zm9v"}}]}}"#,
    r#"{"header":{"revision":-9},"ID":"7587848943239472601","TTL":"99999999999999999999"}"#,
    r#"{"compare":[{"key":"/w==","target":"MOD","mod_revision":"-1"}],"success":[{"request_put":{"key":"/w=="}}]}"#,
];

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) {
        parse_all(&bytes);
    }

    #[test]
    fn damaged_messages_never_panic(
        sample in 0..SAMPLES.len(),
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
    ) {
        let mut bytes = SAMPLES[sample].as_bytes().to_vec();
        for (position, byte) in damage {
            let position = position.index(bytes.len());
            bytes[position] = byte;
        }
        parse_all(&bytes);
    }

    #[test]
    fn writes_round_trip_through_the_gateway(
        key: String,
        at: Option<u32>,
        value: Option<Vec<u8>>,
        lease in prop::option::of(1..i64::MAX),
    ) {
        let compare = at.map_or(Compare::Absent, |revision| Compare::Revision(revision.into()));
        let operation = value.map_or(Operation::Delete, |value| {
            Operation::Put { value: value.into(), lease }
        });
        let write = Write { key: key.into(), compare, operation };
        let request: TxnRequest = parse(&json(&TxnRequest::from(&write)));
        prop_assert_eq!(Write::try_from(request), Ok(write));
    }
}
