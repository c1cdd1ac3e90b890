//! Crowds of callers that send what no well-behaved caller sends, against `cassiafold serve` as a
//! process on loopback addresses, with lowered limits.
//!
//! Each test checks what does not depend on the machine's speed: the process lives, its peak memory
//! and its open descriptors stay under the limits of its settings, and while the crowd stays
//! connected, an ordinary caller hands in a job, reads its state and cancels it.

mod crowd;
#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use cassiafold_platform::{Transaction, TransactionOutcome, TransactionalStore};

use self::crowd::{crowd, open_descriptors, peak_mb};

/// Memory of the process by its settings, in MiB; also the bound of its peak.
const MEMORY_MB: u64 = 64;
/// Descriptors of the process by its settings; also the bound of those that it has open.
const DESCRIPTORS: usize = 300;
/// Connections of a crowd.
const CROWD: usize = 300;
/// Largest body by the configuration, in bytes.
const BODY_BYTES: usize = 262_144;
/// Largest head by the configuration, in bytes.
const HEAD_BYTES: usize = 16_384;
/// Time in which an ordinary caller must get an answer at all. No bound of the speed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Key of the only team.
const KEY: &str = "sjnbanfqasnmgkcuyj8p";

/// Only one process and one crowd at a time.
static TURN: Mutex<()> = Mutex::new(());

/// A process of `cassiafold serve` with a stand-in of the store.
struct Instance {
    process: Child,
    callers: SocketAddr,
    _runtime: tokio::runtime::Runtime,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("bind");
    listener.local_addr().expect("address").port()
}

fn config() -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r","Host":"h","Prefix":"/q/","Kind":"unsafe","TimeoutMs":3000,"SloMs":600,"Priority":0,"Service":"s","Attempts":3,"Stretch":1.6,"Public":false}}],"Services":[{{"Name":"s","HealthPath":"/health","MaxConns":64,"Proto":"h1","RejectsOverload":true,"Spare":false}}],"Limits":{{"MaxHeaderBytes":{HEAD_BYTES},"MaxBodyBytes":{BODY_BYTES}}},"Tenants":[{{"Name":"t","ApiKeys":["{KEY}"],"Priority":1,"Weight":67,"Cap":{{"Cpu":0,"MemMb":0,"Gpu":0}}}}]}}"#
    )
}

impl Instance {
    fn start(ip: Ipv4Addr) -> Self {
        let runtime = tokio::runtime::Runtime::new().expect("runtime");
        let store_address = runtime.block_on(async {
            let (store, _, address) = standin::StandIn::start_with_address().await;
            let write = Transaction::default().put("op/config", config().into_bytes(), None);
            let outcome = store.commit(write).await.expect("store");
            assert!(matches!(outcome, TransactionOutcome::Written(_)));
            address
        });
        let (callers_port, ready_port) = (free_port(ip), free_port(ip));
        let settings = format!(
            "Node: n\nZone: z\nListen:\n  Front: \"{ip}:{callers_port}\"\n  Ready: \"{ip}:{ready_port}\"\n\
             platform:\n  Addr: \"{store_address}\"\nCloud:\n  Addr: \"{ip}:{ready_port}\"\nBounds: {{}}\n\
             Limits:\n  MemoryMb: {MEMORY_MB}\n  MaxFds: {DESCRIPTORS}\n"
        );
        let path = std::env::temp_dir().join(format!("cassiafold-crowds-{ip}.yaml"));
        std::fs::write(&path, settings).expect("settings");
        let variable = ["CASSIAFOLD", "CONFIG"].join("_");
        let process = Command::new(env!("CARGO_BIN_EXE_cassiafold"))
            .args(["--log-format", "json", "serve"])
            .env(variable, path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("process");
        let callers = SocketAddr::from((ip, callers_port));
        let instance = Self { process, callers, _runtime: runtime };
        // Ready once it has read the configuration: an unknown job is then known not to exist.
        let is_ready =
            || instance.call("GET", 1, "").is_some_and(|answer| answer.contains(" 410 "));
        let end = Instant::now() + ANSWER_TIMEOUT;
        while !is_ready() {
            assert!(Instant::now() < end, "the instance does not become ready");
            std::thread::sleep(Duration::from_millis(20));
        }
        instance
    }

    /// An ordinary call about a job; `None` if it gets no answer.
    fn call(&self, method: &str, job: u64, body: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.callers).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        let length = body.len();
        let request = format!(
            "{}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}",
            head(method, job)
        );
        stream.write_all(request.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        (!answer.is_empty()).then_some(answer)
    }

    /// Makes a call until it is answered with `status`. A refusal says when to come back.
    fn expect(&self, method: &str, job: u64, body: &str, status: &str) {
        let end = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let answer = self.call(method, job, body);
            if answer.as_ref().is_some_and(|answer| answer.contains(status)) {
                return;
            }
            assert!(Instant::now() < end, "{method}: {answer:?}");
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Checks the process while a crowd is connected.
    fn check(&mut self, shape: &str) {
        let open = open_descriptors(self.process.id());
        self.expect("POST", 7, JOB, " 200 ");
        self.expect("GET", 7, "", "queued");
        self.expect("DELETE", 7, "", " 200 ");
        assert!(self.process.try_wait().expect("status").is_none(), "{shape}: it has ended");
        let peak_mb = peak_mb(self.process.id());
        println!("{shape}: peak {peak_mb} MiB, {open} descriptors");
        assert!(peak_mb <= MEMORY_MB, "{shape}: peak memory of {peak_mb} MiB");
        assert!(open <= DESCRIPTORS, "{shape}: {open} open descriptors");
    }
}

const JOB: &str = r#"{"Spec":"work","Steps":[{"Count":1,"Cpu":100,"MemMb":1,"EstMs":10}]}"#;

fn head(method: &str, job: u64) -> String {
    format!("{method} /q/{job:016x} HTTP/1.1\r\nHost: h\r\nApi-Key: {KEY}")
}

/// A body of this many bytes that stops one byte short, behind its head.
fn short_body(bytes: usize) -> Vec<u8> {
    let mut request =
        format!("{}\r\nContent-Length: {bytes}\r\n\r\n", head("POST", 9)).into_bytes();
    request.resize(request.len() + bytes - 1, b' ');
    request
}

/// A chunked body of chunks of this size, whose last chunk never comes.
fn chunks(chunk_bytes: usize, bytes: usize) -> Vec<u8> {
    let mut request =
        format!("{}\r\nTransfer-Encoding: chunked\r\n\r\n", head("POST", 9)).into_bytes();
    for _ in 0..bytes / chunk_bytes {
        request.extend_from_slice(format!("{chunk_bytes:x}\r\n").as_bytes());
        request.resize(request.len() + chunk_bytes, b' ');
        request.extend_from_slice(b"\r\n");
    }
    request
}

fn pieces(request: &[u8], count: usize) -> Vec<Vec<u8>> {
    request.chunks(request.len().div_ceil(count)).map(<[u8]>::to_vec).collect()
}

macro_rules! crowds {
    ($($name:ident: $address:expr, $parts:expr;)+) => {
        $(#[test] fn $name() {
            let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
            let mut instance = Instance::start(Ipv4Addr::new(127, 78, 1, $address));
            let streams = crowd(instance.callers, CROWD, &$parts);
            instance.check(stringify!($name));
            drop(streams);
        })+
    };
}

crowds! {
    heads_without_end: 1, [
        head("GET", 9).into_bytes(), vec![b'\r', b'\n', b'X', b':'], vec![b'a'; 400_000],
    ];
    heads_of_many_fields: 2, [
        head("GET", 9).into_bytes(), "\r\nX: a".repeat(60_000).into_bytes(),
    ];
    empty_lines_without_end: 3, [b"\r\n".repeat(200_000)];
    large_bodies_that_stop_short: 4, [short_body(BODY_BYTES)];
    large_bodies_piece_by_piece: 5, pieces(&short_body(BODY_BYTES), 16);
    large_chunks_that_stop_short: 6, pieces(&chunks(60_000, 240_000), 8);
    very_small_chunks_that_stop_short: 7, pieces(&chunks(1, 40_000), 8);
    answers_that_nobody_reads: 8, [
        format!("{}\r\n\r\n", head("GET", 9)).repeat(2_000).into_bytes(),
    ];
    connections_that_say_nothing: 9, [Vec::new()];
    whole_bodies_at_once: 10, [{
        let mut request = short_body(BODY_BYTES);
        request.push(b' ');
        request
    }];
}

/// No caller inside the limits of the configuration meets a limit in calm.
#[test]
fn the_largest_head_and_body_are_served_in_calm() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut instance = Instance::start(Ipv4Addr::new(127, 78, 1, 11));
    let largest_body = format!("{JOB}{}", " ".repeat(BODY_BYTES - JOB.len()));
    instance.expect("POST", 8, &largest_body, " 200 ");
    let mut request = head("GET", 8);
    request.push_str("\r\nConnection: close\r\nX: ");
    request.push_str(&"a".repeat(HEAD_BYTES - request.len() - 4));
    request.push_str("\r\n\r\n");
    assert_eq!(request.len(), HEAD_BYTES);
    let mut stream = TcpStream::connect(instance.callers).expect("connection");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("timeout");
    stream.write_all(request.as_bytes()).expect("request");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("answer");
    assert!(answer.contains("queued"), "{answer}");
    instance.check("calm");
}
