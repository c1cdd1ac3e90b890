//! A small fleet: stand-ins in this process, entry instances in separate processes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cassiafold_config::raw::CURRENT_KEY;
use cassiafold_config::{InstanceState, KeyHash};
use cassiafold_platform::{Compare, ListedInstance, Store, Write};
use cassiafold_standin::platform::FREE_PORT;
use cassiafold_standin::{Backend, BackendCounts, BackendOptions, Platform, PlatformAddresses};
use http::Method;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::caller::{CallerOutcome, call};

/// Key of the team `parishes`.
pub const KEY: &str = "the-key";
/// Key of the team `seminaries`, which has the same share.
pub const OTHER_KEY: &str = "the-other-key";
const CREDENTIAL: &str = "the-credential";
const ZONES: [&str; 3] = ["a", "b", "c"];
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls until `condition` holds or `limit` has passed and returns whether it holds.
pub async fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    condition()
}

/// Returns the seconds since the Unix epoch.
pub fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs())
}

/// An entry instance process, killed when dropped.
pub struct EntryProcess {
    /// Address for callers.
    pub callers: SocketAddr,
    operators: SocketAddr,
    settings: std::path::PathBuf,
    child: Child,
}

impl EntryProcess {
    fn start(platform: PlatformAddresses, index: usize) -> Self {
        let zone = ZONES[index % ZONES.len()];
        let [callers, operators, peers] = [(); 3].map(|()| free_address());
        let settings = json!({
            "instance_id": format!("entry-{zone}{index}"),
            "zone": zone,
            "region": "north",
            "callers_address": callers,
            "operators_address": operators,
            "peers_address": peers,
            "store_addresses": [platform.store],
            "instance_list_address": platform.instance_list,
            "instance_control_address": platform.instance_control,
            "operators_key_hash": KeyHash::of(CREDENTIAL).to_hex(),
            "stop_wait_ms": 200,
        });
        let directory = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let path = directory.join(format!("entry-{}.yaml", callers.port()));
        std::fs::write(&path, settings.to_string()).expect("the settings are written");
        Self { callers, operators, child: spawn(&path), settings: path }
    }

    /// Sends one request with a unique id.
    pub fn call(
        &self,
        method: Method,
        path: &str,
        key: &str,
    ) -> impl Future<Output = CallerOutcome> + Send + 'static {
        call(self.callers, method, format!("/queues/portal/{path}"), key.to_owned(), new_id())
    }

    /// Requests the metrics page.
    pub async fn metrics(&self) -> String {
        let path = "/metrics".to_owned();
        let outcome =
            call(self.operators, Method::GET, path, CREDENTIAL.to_owned(), new_id()).await;
        outcome.body
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.id() as i32), signal).expect("the process is alive");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is alive");
        self.child.wait().expect("the process ends");
    }

    /// Waits for the process to exit and returns its exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let mut code = None;
        let ended = || {
            code = self.child.try_wait().expect("a child").and_then(|status| status.code());
            code.is_some()
        };
        wait_until(READY_TIMEOUT, ended).await;
        code
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Held while a process is started and while a port is tried. A process that is being started has
/// a copy of each listener until it executes its program, and would keep a tried port in use.
static STARTING: Mutex<()> = Mutex::new(());

fn start_process(command: &mut Command) -> Child {
    let _starting = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("the program starts")
}

fn spawn(settings: &std::path::Path) -> Child {
    let level = std::env::var("RUST_LOG").unwrap_or_else(|_| "error".to_owned());
    let mut command = Command::new(env!("CARGO_BIN_EXE_cassiafold"));
    command.args(["entry", "--settings"]).arg(settings).env("RUST_LOG", level);
    start_process(command.stdout(Stdio::null()))
}

/// First port of the range for listeners. The range lies below the ephemeral ports, which the
/// system assigns to outgoing connections.
const PORT_FIRST: u16 = 10_000;
const PORT_COUNT: u32 = 20_000;

fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset = std::process::id().wrapping_mul(64) + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORT_FIRST + (offset % PORT_COUNT) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let _starting = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn new_id() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    format!("request-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The stand-ins and the entry instances.
pub struct Fleet {
    pub platform: Platform,
    pub backends: Vec<Backend>,
    pub counts: BackendCounts,
    pub entries: Vec<EntryProcess>,
}

impl Fleet {
    /// Starts `entries` entry instances and `backends` backend servers, distributed over the zones,
    /// and waits until requests succeed.
    pub async fn start(
        entries: usize,
        backends: usize,
        options: BackendOptions,
        edit: impl FnOnce(&mut Value),
    ) -> Self {
        let addresses = PlatformAddresses {
            store: FREE_PORT,
            instance_list: FREE_PORT,
            instance_control: FREE_PORT,
        };
        let platform = Platform::start(addresses).await.expect("the platform starts");
        let counts = BackendCounts::default();
        let zones = &ZONES[..entries.min(ZONES.len())];
        let backends = start_backends(&platform, zones, backends, &counts, options).await;
        let mut config = config();
        edit(&mut config);
        let write = Write::put(CURRENT_KEY, Compare::Absent, config.to_string());
        platform.store.write(write).await.expect("the configuration is stored");
        let addresses = platform.addresses();
        let entries = (0..entries).map(|index| EntryProcess::start(addresses, index)).collect();
        let fleet = Self { platform, backends, counts, entries };
        fleet.wait_ready().await;
        fleet
    }

    async fn wait_ready(&self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        for entry in &self.entries {
            while entry.call(Method::HEAD, "ready", KEY).await.status != 200 {
                assert!(Instant::now() < deadline, "an entry instance did not become ready");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Restarts a killed entry instance with the same settings.
    pub async fn restart(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.child = spawn(&entry.settings);
        let callers = entry.callers;
        let listens = || std::net::TcpStream::connect(callers).is_ok();
        assert!(wait_until(READY_TIMEOUT, listens).await, "the entry instance does not listen");
    }

    /// Runs an operator command against the entry instances.
    pub fn run_operator_command(&self, arguments: &[&str]) -> Output {
        self.run_operator_command_at(&self.entries.iter().collect::<Vec<_>>(), arguments)
    }

    fn run_operator_command_at(&self, entries: &[&EntryProcess], arguments: &[&str]) -> Output {
        let addresses = entries.iter().map(|entry| entry.operators.to_string());
        let mut command = Command::new(env!("CARGO_BIN_EXE_cassiafold"));
        command
            .args(arguments)
            .env("CASSIAFOLD_ADDRESS", addresses.collect::<Vec<_>>().join(","))
            .env("CASSIAFOLD_CREDENTIAL", CREDENTIAL)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        start_process(&mut command).wait_with_output().expect("the program's output")
    }

    /// Returns the configuration version in force at an entry instance, or zero if unknown.
    pub fn version_at(&self, index: usize) -> u64 {
        let output =
            self.run_operator_command_at(&[&self.entries[index]], &["status", "--output", "json"]);
        let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        status["version"].as_u64().unwrap_or(0)
    }

    /// Sends requests to every entry instance for `time`, with `concurrency` concurrent callers each.
    pub fn load(
        &self,
        method: Method,
        concurrency: usize,
        time: Duration,
    ) -> JoinHandle<Vec<CallerOutcome>> {
        let callers = self.entries.iter().flat_map(|entry| vec![entry.callers; concurrency]);
        load(callers.collect(), &method, KEY, time)
    }

    /// Sends requests with `key` to one entry instance for `time`, with `concurrency` concurrent
    /// callers.
    pub fn load_at(
        &self,
        index: usize,
        key: &'static str,
        concurrency: usize,
        time: Duration,
    ) -> JoinHandle<Vec<CallerOutcome>> {
        load(vec![self.entries[index].callers; concurrency], &Method::POST, key, time)
    }
}

fn load(
    callers: Vec<SocketAddr>,
    method: &Method,
    key: &'static str,
    time: Duration,
) -> JoinHandle<Vec<CallerOutcome>> {
    let end = Instant::now() + time;
    let repeated = |address| tokio::spawn(send_until(address, method.clone(), key, end));
    let callers: Vec<_> = callers.into_iter().map(repeated).collect();
    tokio::spawn(async move {
        let mut outcomes = Vec::new();
        for caller in callers {
            outcomes.extend(caller.await.expect("the caller ends"));
        }
        outcomes
    })
}

async fn send_until(
    address: SocketAddr,
    method: Method,
    key: &'static str,
    end: Instant,
) -> Vec<CallerOutcome> {
    let mut outcomes = Vec::new();
    while Instant::now() < end {
        let path = "/queues/portal/order".to_owned();
        let outcome = call(address, method.clone(), path, key.to_owned(), new_id()).await;
        if outcome.status != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        outcomes.push(outcome);
    }
    outcomes
}

async fn start_backends(
    platform: &Platform,
    zones: &[&str],
    count: usize,
    counts: &BackendCounts,
    options: BackendOptions,
) -> Vec<Backend> {
    let mut backends = Vec::new();
    for index in 0..count {
        let id: Arc<str> = format!("portal-{index}").into();
        let started = Backend::start_with(id.clone(), counts.clone(), options.clone()).await;
        let backend = started.expect("the backend server starts");
        platform.instances.put(ListedInstance {
            id,
            address: backend.address,
            zone: zones[index % zones.len()].into(),
            rack: format!("rack-{index}").into(),
            state: InstanceState::Live,
        });
        backends.push(backend);
    }
    backends
}

fn config() -> Value {
    json!({
        "version": 1,
        "zones": {"a": {"region": "n"}, "b": {"region": "n"}, "c": {"region": "n"}},
        "services": {"portal": {"floor_share": 0.5}},
        "pools": {"portal": {"service": "portal"}, "spare": {}},
        "teams": {"parishes": {
            "share": 1, "upper_limit": 400, "key_hashes": [KeyHash::of(KEY).to_hex()],
        }, "seminaries": {
            "share": 1, "upper_limit": 400, "key_hashes": [KeyHash::of(OTHER_KEY).to_hex()],
        }},
    })
}
