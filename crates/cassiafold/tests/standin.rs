//! Runs the stand-ins as a separate process.

#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use cassiafold_platform::{
    Compare, EtcdSettings, EtcdStore, HttpInstanceList, InstanceList, Store, StoreError,
    StoreMetrics, Write as StoreWrite, WriteOutcome,
};

const TIMEOUT: Duration = Duration::from_secs(20);
const SETTINGS: &str = "backends: [{name: portal, count: 3, zones: [a, b, c], slots: 2}]";

/// A running stand-in process, killed when dropped.
struct Standin {
    child: Child,
    ready: serde_json::Value,
}

impl Standin {
    fn start(name: &str, settings: &str) -> Self {
        let directory = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let path = directory.join(format!("{name}-{}.yaml", std::process::id()));
        std::fs::write(&path, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_cassiafold"))
            .arg("standin")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        std::fs::remove_file(&path).unwrap();
        Self { child, ready: serde_json::from_str(&line).unwrap() }
    }

    fn address(&self, server: &str) -> SocketAddr {
        self.ready["platform"][server].as_str().unwrap().parse().unwrap()
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a request and returns the status line and the body of the response.
fn post(address: SocketAddr, path: &str, body: &str) -> (String, String) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(response.read_line(&mut head).unwrap() > 0, "{head}");
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    response.read_exact(&mut body).unwrap();
    (head.lines().next().unwrap().to_owned(), String::from_utf8(body).unwrap())
}

#[tokio::test]
async fn separate_processes_share_the_store_and_its_faults() {
    let standin = Standin::start("store", SETTINGS);
    let address = standin.address("store");
    let client = |name: &str| {
        let settings = EtcdSettings { timeout: TIMEOUT, ..EtcdSettings::new(vec![address], name) };
        EtcdStore::new(settings, StoreMetrics::default())
    };
    let (one, two) = (client("one"), client("two"));
    let write = StoreWrite::put("key", Compare::Absent, "value");
    assert_eq!(one.write(write.clone()).await, Ok(WriteOutcome::Written(1)));
    assert_eq!(two.write(write).await, Ok(WriteOutcome::Conflict));
    let (status, _) = post(address, "/fault", r#"{"outage":true}"#);
    assert_eq!(status, "HTTP/1.1 204 No Content");
    assert!(matches!(two.get("key").await, Err(StoreError::Unavailable(_))));
    post(address, "/fault", r#""clear""#);
    assert_eq!(&two.get("key").await.unwrap().unwrap().value[..], b"value");
}

#[tokio::test]
async fn backend_servers_are_listed_and_respond() {
    let standin = Standin::start("list", SETTINGS);
    let list = HttpInstanceList::new(standin.address("instance_list"), "entry", TIMEOUT);
    let listed = list.list().await.unwrap();
    assert_eq!(listed.len(), 3);
    for (instance, ready) in listed.iter().zip(standin.ready["backends"].as_array().unwrap()) {
        assert_eq!(ready["address"], instance.address.to_string());
        let (_, body) = post(instance.address, "/", "{}");
        assert_eq!(body, format!("served by {}\n", instance.id));
    }
}

#[test]
fn an_address_off_the_loopback_interface_is_refused() {
    let directory = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("refused-{}.yaml", std::process::id()));
    std::fs::write(&path, "store_address: 192.0.2.1:1").unwrap();
    let output =
        Command::new(env!("CARGO_BIN_EXE_cassiafold")).arg("standin").arg(&path).output().unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(4));
    assert!(output.stdout.is_empty());
}
