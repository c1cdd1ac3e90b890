//! Crowds of callers that send what no well-behaved caller sends, against `cassiafold entry` as a
//! process. See `crowds.rs` for what is checked.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "processes/caller.rs"]
mod caller;
#[allow(dead_code, reason = "each test file uses a part of it")]
mod crowd;
#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "processes/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use cassiafold_standin::BackendOptions;
use http::Method;
use tokio::sync::Mutex;

use self::crowd::{crowd, peak_mb};
use self::fleet::{Fleet, KEY};

/// Memory of the smallest machine, in MiB, which is also the bound of the peak.
const MEMORY_MB: u64 = 160;
/// Connections of a crowd.
const CROWD: usize = 800;
/// Time in which an ordinary caller must get an answer at all. No bound of the speed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Only one process and one crowd at a time.
static TURN: Mutex<()> = Mutex::const_new(());

async fn withstand(shape: &str, parts: Vec<Vec<u8>>) {
    let _turn = TURN.lock().await;
    let fleet = Fleet::start(1, 1, BackendOptions::default(), |_| {}).await;
    let entry = &fleet.entries[0];
    let callers = entry.callers;
    let connecting = tokio::task::spawn_blocking(move || crowd(callers, CROWD, &parts));
    let streams = connecting.await.expect("the crowd");
    let end = Instant::now() + ANSWER_TIMEOUT;
    while entry.call(Method::POST, "order", KEY).await.status != 200 {
        assert!(Instant::now() < end, "{shape}: an ordinary caller gets no answer");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let peak_mb = peak_mb(entry.id());
    println!("{shape}: peak {peak_mb} MiB");
    assert!(peak_mb <= MEMORY_MB, "{shape}: peak memory of {peak_mb} MiB");
    drop(streams);
}

fn head() -> String {
    format!("POST /queues/portal/order HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}")
}

macro_rules! entry_crowds {
    ($($name:ident: $parts:expr;)+) => {
        $(#[tokio::test(flavor = "multi_thread")] async fn $name() {
            withstand(stringify!($name), $parts).await;
        })+
    };
}

entry_crowds! {
    entry_heads_without_end: vec![
        head().into_bytes(), b"\r\nX:".to_vec(), vec![b'a'; 400_000],
    ];
    entry_empty_lines_without_end: vec![b"\r\n".repeat(200_000)];
    entry_bodies_that_stop_short: {
        let mut request = format!("{}\r\nContent-Length: 16000\r\n\r\n", head()).into_bytes();
        request.resize(request.len() + 15_999, b' ');
        vec![request]
    };
}
