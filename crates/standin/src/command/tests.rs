use cassiafold_platform::{Compare, Store, StoreError, Write};

use super::FaultCommand;
use crate::MemoryStore;

fn command(text: &str) -> FaultCommand {
    serde_json::from_str(text).unwrap()
}

macro_rules! round_trips {
    ($($name:ident: $text:literal;)+) => {$(
        #[test]
        fn $name() {
            let command = command($text);
            assert_eq!(serde_json::to_string(&command).unwrap(), $text);
        }
    )+};
}

round_trips! {
    outage: r#"{"outage":true}"#;
    delay: r#"{"delay_ms":20}"#;
    next_writes: r#"{"fail_writes":{"count":2,"fault":"lost_answer"}}"#;
    periodic_writes: r#"{"fail_every":{"interval":3,"fault":{"late_ms":50}}}"#;
    stale_reads: r#"{"stale_reads":7}"#;
    fresh_reads: r#"{"stale_reads":null}"#;
    silent_watches: r#"{"silent_watches":true}"#;
    silence_open_watches: r#""silence_open_watches""#;
    compact: r#""compact""#;
    roll_back: r#"{"roll_back":5}"#;
    cut_off: r#"{"cut_off":{"client":"entry-1","partition":"answers"}}"#;
    reconnect: r#"{"reconnect":"entry-1"}"#;
    clear: r#""clear""#;
}

#[tokio::test(start_paused = true)]
async fn commands_take_effect() {
    let store = MemoryStore::default();
    let faults = store.faults();
    let put = |key: &str| store.write(Write::put(key, Compare::Absent, "value"));
    let lost = r#"{"fail_writes":{"count":1,"fault":"lost_request"}}"#;
    assert!(command(lost).apply(&faults));
    assert!(matches!(put("a").await, Err(StoreError::OutcomeUnknown(_))));
    assert_eq!(faults.peek("a"), None);
    put("a").await.unwrap();
    assert!(command(r#"{"cut_off":{"client":"default","partition":"answers"}}"#).apply(&faults));
    assert!(matches!(put("b").await, Err(StoreError::OutcomeUnknown(_))));
    assert!(faults.peek("b").is_some());
    assert!(!command(r#"{"roll_back":9}"#).apply(&faults));
    assert!(command(r#"{"roll_back":1}"#).apply(&faults));
    assert_eq!((faults.peek("b"), faults.revision()), (None, 1));
}
