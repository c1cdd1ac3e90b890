//! Runs `cassiafold serve` on loopback, where the platform is unreachable.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Port of the metrics endpoint, as in `deploy/system.toml`.
const METRICS_PORT: u16 = 7_001;

/// Bytes that a pipe holds.
const PIPE_BYTES: usize = 64 * 1024;

struct Instance {
    process: Child,
    ip: Ipv4Addr,
    callers_port: u16,
    ready_port: u16,
}

fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("bind");
    listener.local_addr().expect("address").port()
}

impl Instance {
    fn start(ip: Ipv4Addr) -> Self {
        Self::start_with_output(ip, Stdio::piped())
    }

    fn start_with_output(ip: Ipv4Addr, output: Stdio) -> Self {
        let (callers_port, ready_port, store) = (free_port(ip), free_port(ip), free_port(ip));
        let settings = format!(
            "Node: n\nZone: z\nListen:\n  Front: \"{ip}:{callers_port}\"\n  Ready: \"{ip}:{ready_port}\"\n\
             platform:\n  Addr: \"{ip}:{store}\"\nCloud:\n  Addr: \"{ip}:{store}\"\nBounds: {{}}\n"
        );
        let path = std::env::temp_dir().join(format!("cassiafold-serve-{ip}.yaml"));
        std::fs::write(&path, settings).expect("settings");
        let variable = ["CASSIAFOLD", "CONFIG"].join("_");
        let process = Command::new(env!("CARGO_BIN_EXE_cassiafold"))
            .args(["--log-format", "json", "serve"])
            .env(variable, path)
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .expect("process");
        Self { process, ip, callers_port, ready_port }
    }

    fn get(&self, port: u16, path: &str) -> String {
        let end = Instant::now() + Duration::from_secs(10);
        let address = SocketAddr::from((self.ip, port));
        loop {
            match TcpStream::connect(address) {
                Ok(stream) => return exchange(stream, path),
                Err(error) if Instant::now() > end => panic!("{address}: {error}"),
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.process.id()).expect("pid");
        kill(Pid::from_raw(pid), signal).expect("signal");
    }
}

fn exchange(mut stream: TcpStream, path: &str) -> String {
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout");
    let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("request");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("answer");
    response
}

#[test]
fn an_instance_without_a_store_is_not_ready_rejects_requests_and_stops_on_sigterm() {
    let mut instance = Instance::start(Ipv4Addr::new(127, 77, 1, 1));
    let readiness = instance.get(instance.ready_port, "/ready");
    assert!(readiness.starts_with("HTTP/1.1 503"), "{readiness}");
    let started = Instant::now();
    let rejected = instance.get(instance.callers_port, "/q/0000000000000001");
    assert!(rejected.starts_with("HTTP/1.1 503"), "{rejected}");
    assert!(rejected.contains("retry-after: 1"), "{rejected}");
    assert!(started.elapsed() < Duration::from_secs(1));
    instance.signal(Signal::SIGHUP);
    let metrics = instance.get(METRICS_PORT, "/metrics");
    assert!(metrics.contains("cassiafold_tenures_total 0"), "{metrics}");
    instance.signal(Signal::SIGTERM);
    let status = instance.process.wait().expect("status");
    assert!(status.success(), "{status}");
    let mut log = String::new();
    let output = instance.process.stdout.as_mut().expect("output");
    output.read_to_string(&mut log).expect("log");
    for message in ["instance started", "settings read again", "instance stopped"] {
        assert!(log.contains(message), "{message} in {log}");
    }
}

#[test]
fn malformed_settings_end_the_process_with_code_4() {
    let path = std::env::temp_dir().join("cassiafold-serve-malformed.yaml");
    std::fs::write(&path, "Node: n\n").expect("settings");
    let variable = ["CASSIAFOLD", "CONFIG"].join("_");
    let status = Command::new(env!("CARGO_BIN_EXE_cassiafold"))
        .arg("serve")
        .env(variable, path)
        .stderr(Stdio::null())
        .status()
        .expect("process");
    assert_eq!(status.code(), Some(4));
}

/// Guards against a process that stands still while nobody reads its log.
#[test]
fn an_instance_whose_log_nobody_reads_responds_and_stops_on_sigterm() {
    let (mut reader, mut output) = std::io::pipe().expect("pipe");
    output.write_all(&vec![b'\n'; PIPE_BYTES]).expect("a full pipe");
    let mut instance = Instance::start_with_output(Ipv4Addr::new(127, 77, 1, 2), output.into());
    for _ in 0..20 {
        let rejected = instance.get(instance.callers_port, "/q/0000000000000001");
        assert!(rejected.starts_with("HTTP/1.1 503"), "{rejected}");
    }
    let metrics = instance.get(METRICS_PORT, "/metrics");
    assert!(metrics.contains("cassiafold_log_lines_dropped_total 0"), "{metrics}");
    instance.signal(Signal::SIGTERM);
    let status = instance.process.wait().expect("status");
    assert!(status.success(), "{status}");
    let mut log = String::new();
    reader.read_to_string(&mut log).expect("log");
    assert!(log.starts_with('\n'));
}
