//! A small deployment: the store, the machines' control, the placement policy, minions, and
//! processes of the project as the deploy file starts them.

use std::collections::HashSet;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::{parse, quote};
use crate::minion::{Fleet, Minion, ticket};
use crate::record::Record;
use crate::store::Store;

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that were started. One that has ended is removed.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends this process and all that it started when a case takes too long.
pub fn limit_time(time: Duration) {
    thread::spawn(move || {
        thread::sleep(time);
        for pid in STARTED.lock().expect("started").iter() {
            // SAFETY: the process was started by this one and has not been waited for.
            unsafe { kill(*pid, SIGKILL) };
        }
        std::process::exit(2);
    });
}

/// Waits for a process that is about to end.
fn wait_for(child: &mut Child) {
    let _ = child.wait();
    STARTED.lock().expect("started").retain(|pid| *pid != child.id() as i32);
}

/// A queue of the configuration.
#[derive(Clone)]
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub is_public: bool,
    pub has_policy: bool,
}

/// A process of the project.
struct Node {
    name: String,
    front: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
    memory_kills: u32,
    /// When it is started again.
    start_at: Option<Instant>,
}

pub struct Cluster {
    pub store: Store,
    pub record: Record,
    pub fleet: Arc<Fleet>,
    nodes: Vec<Node>,
    folder: PathBuf,
    command: Vec<String>,
    /// Whether processes are started with the limit of descriptors that their settings name.
    pub limits_descriptors: bool,
}

pub const HOST: &str = "shop.example";
/// Keys of the two tenants.
pub const KEYS: [&str; 2] = ["key-of-tenant-one", "key-of-tenant-two"];
/// Memory of each machine.
const MEMORY_MB: u64 = 260;
/// Descriptors of each process.
const DESCRIPTORS: u32 = 4_100;
/// Time after which a process that was killed is started again.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Connections that the platform's services accept.
const CONNECTIONS_MAX: usize = 400;
/// Bytes of a body that the record keeps: its end, with the steps.
const BODY_BYTES_KEPT: usize = 200;
const START_TIMEOUT: Duration = Duration::from_secs(20);

fn listen(ip: Ipv4Addr) -> TcpListener {
    TcpListener::bind((ip, 0)).expect("a free port")
}

fn free_port(ip: Ipv4Addr) -> SocketAddr {
    listen(ip).local_addr().expect("address")
}

impl Cluster {
    /// Starts the platform's stand-ins and `minions` minions of each service; no process yet.
    pub fn start(record: Record, services: &[&str], minions: usize) -> Self {
        let fleet = Arc::new(Fleet {
            record: record.clone(),
            jobs_with_policy: Mutex::default(),
            starts: Mutex::default(),
            done: Mutex::default(),
        });
        let store = Store::new();
        let folder =
            std::env::temp_dir().join(format!("cassiafold-review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("temporary folder");
        let command = deploy_command();
        let store_listener = listen(Ipv4Addr::LOCALHOST);
        let control = listen(Ipv4Addr::LOCALHOST);
        let policy = listen(Ipv4Addr::LOCALHOST);
        let addresses =
            [&store_listener, &control, &policy].map(|one| one.local_addr().expect("address"));
        let served = store.clone();
        http::serve(store_listener, CONNECTIONS_MAX, move |request| served.handle(request));
        let mut all = Vec::new();
        for service in services {
            for number in 0..minions {
                let id = format!("i-{service}-{number}");
                let listener = listen(Ipv4Addr::LOCALHOST);
                all.push(Minion::start(&id, service, listener, store.clone(), fleet.clone()));
            }
        }
        let machines: Vec<String> = all.iter().map(Minion::machine).collect();
        let list = format!("{{\"Machines\":[{}],\"NextToken\":null}}", machines.join(","));
        http::serve(control, CONNECTIONS_MAX, move |request| match &*request.path {
            "/machines" => Response::new(200, list.clone()),
            _ => Response::new(400, "{}"),
        });
        let policy_record = record.clone();
        http::serve(policy, CONNECTIONS_MAX, move |request| advise(request, &policy_record));
        let mut cluster = Self {
            store,
            record,
            fleet,
            nodes: Vec::new(),
            folder,
            command,
            limits_descriptors: false,
        };
        for number in 1..=3 {
            cluster.add_node(number, addresses);
        }
        cluster
    }

    fn add_node(&mut self, number: u8, [store, control, policy]: [SocketAddr; 3]) {
        let pid = std::process::id();
        let ip = Ipv4Addr::new(127, 64 + (pid >> 8) as u8 % 64, (pid & 255) as u8, number);
        let name = format!("front-zone-a-{number}");
        let (front, ready) = (free_port(ip), free_port(ip));
        let settings = self.folder.join(format!("{name}.yaml"));
        let text = format!(
            "Node: {name}\nRole: entry\nClass: front\nServes:\n  - front\nIp: \"{ip}\"\nZone: zone-a\n\
             Region: region-a\nZones:\n  zone-a: region-a\nListen:\n  Front: \"{front}\"\n  Ready: \
             \"{ready}\"\nPortRange:\n  - 7000\n  - 7015\nBootstrap: true\nLimits:\n  CpuShare: 0.25\n  \
             Cores: 1\n  MemoryMb: {MEMORY_MB}\n  MaxFds: {DESCRIPTORS}\n  LinkMbps: 1000.0\n  DiskMb: 0\n\
             HeartbeatMs: 1500\nBounds:\n  StableMs: 3000\n  AckMs: 4000\n  DrainMs: 2000\n  GraceS: 6\n  \
             ConfigMs: 2000\n  StrictRevoke: false\n  RevokeMs: 5000\n  HoldMaxMs: 6000\n  StopMs: 200\n  \
             GangMs: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  \
             status_s: 120\n  SaveS: 2\n  MoveS: 1.5\n  UpkeepS: 2\n  RequireFence: true\n  LeaseMs: 3000\n\
             Orders: call\nAdvice: \"{policy}\"\nplatform:\n  Addr: \"{store}\"\n  form: kv\n  \
             WritesPerS: 400\n  ReadsPerS: 2000\n  HistoryS: 20\n  ValueBytes: 1048576\n  TtlMinMs: 1000\n\
             Cloud:\n  Addr: \"{control}\"\n  RatePerS: 64.0\n  Duties: []\n  DutyPerS: 64.0\n"
        );
        fs::write(&settings, text).expect("settings");
        self.nodes.push(Node {
            name,
            front,
            settings,
            child: None,
            memory_kills: 0,
            start_at: None,
        });
    }

    /// Writes a configuration.
    pub fn configure(&self, version: u64, routes: &[Route], services: &[&str]) {
        let routes = routes.iter().map(|route| {
            let advice = match route.has_policy {
                true => ",\"Advice\":{\"DecideMs\":20,\"EachMs\":2,\"ValidMs\":3000}",
                false => "",
            };
            format!(
                "{{\"Name\":\"{}\",\"Host\":\"{HOST}\",\"Prefix\":\"{}\",\"Kind\":\"unsafe\",\
                 \"TimeoutMs\":3000,\"SloMs\":600,\"Priority\":0,\"Service\":\"{}\",\"Attempts\":2,\
                 \"Stretch\":1.6,\"Public\":{}{advice}}}",
                route.name, route.prefix, route.service, route.is_public
            )
        });
        let services = services.iter().map(|name| {
            format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":64,\"RejectsOverload\":false}}")
        });
        let tenants = ["one", "two"].into_iter().zip(KEYS).map(|(name, key)| {
            format!("{{\"Name\":\"tenant-{name}\",\"ApiKeys\":[\"{key}\"],\"Weight\":40,\"Cap\":{{\"Cpu\":1000000,\"MemMb\":2000000}}}}")
        });
        let config = format!(
            "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxBodyBytes\":\
             262144}},\"Tenants\":[{}]}}",
            routes.collect::<Vec<_>>().join(","),
            services.collect::<Vec<_>>().join(","),
            tenants.collect::<Vec<_>>().join(",")
        );
        self.store.put("op/config", &config);
        self.record.line(format!("operator: configuration {version} is acknowledged: {config}"));
    }

    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Starts a process with the command of the deploy file.
    pub fn start_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let path = self.folder.join(format!("{}.log", node.name));
        let log = fs::File::options().create(true).append(true).open(path).expect("log");
        // The platform limits the descriptors of each process.
        let mut command = match self.limits_descriptors {
            true => Command::new("/bin/sh"),
            false => Command::new(&self.command[0]),
        };
        if self.limits_descriptors {
            let script = format!("ulimit -n {DESCRIPTORS} 2>/dev/null; exec \"$@\"");
            command.args(["-c", &script, "sh", &self.command[0]]);
        }
        command.args(&self.command[1..]).env_clear().env("CASSIAFOLD_CONFIG", &node.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let errors = log.try_clone().expect("log");
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        node.child = command.spawn().ok();
        if let Some(child) = &node.child {
            STARTED.lock().expect("started").push(child.id() as i32);
        }
        self.record.line(format!("{} is started", node.name));
    }

    /// Waits until all processes answer a call; returns whether they do.
    pub fn wait_until_ready(&self, route: &Route) -> bool {
        let until = Instant::now() + START_TIMEOUT;
        (0..self.nodes.len()).all(|number| {
            loop {
                let answer = send(self.nodes[number].front, "GET", route.prefix, Some(KEYS[0]), "");
                if answer.is_some_and(|answer| answer.status == 200) {
                    return true;
                }
                if Instant::now() > until {
                    self.record.line(format!("{} does not serve", self.nodes[number].name));
                    return false;
                }
                thread::sleep(Duration::from_millis(100));
            }
        })
    }

    /// Stops a process with SIGTERM, waits until it has ended, and starts it again.
    pub fn restart_gracefully(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        if let Some(mut child) = node.child.take() {
            self.record.line(format!("{}: SIGTERM", node.name));
            // SAFETY: the process was started by this one and has not been waited for.
            unsafe { kill(child.id() as i32, SIGTERM) };
            let until = Instant::now() + Duration::from_secs(6);
            while child.try_wait().ok().flatten().is_none() {
                if Instant::now() > until {
                    self.record.line(format!("{}: SIGKILL after GraceS", node.name));
                    let _ = child.kill();
                    break;
                }
                thread::sleep(Duration::from_millis(20));
            }
            wait_for(&mut child);
            self.record.line(format!("{} has ended", node.name));
        }
        self.start_node(number);
    }

    /// Clients of the processes.
    pub fn clients(&self) -> Clients {
        let nodes = self.nodes.iter().map(|node| (node.name.clone(), node.front));
        Clients { nodes: nodes.collect(), record: self.record.clone() }
    }

    /// Sends a client's call to a process and records it with its answer.
    pub fn client(
        &self,
        number: usize,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> (u16, String) {
        self.clients().call(number, method, path, key, body)
    }

    /// Kills the processes that use more memory than their machines have, and starts those again
    /// that were killed some time ago, as the platform does.
    pub fn enforce_memory(&mut self) {
        for number in 0..self.nodes.len() {
            let node = &mut self.nodes[number];
            let memory_mb = node.child.as_ref().map_or(0, memory_mb);
            if memory_mb > MEMORY_MB {
                let name = &node.name;
                self.record
                    .line(format!("{name} uses {memory_mb} MB of {MEMORY_MB}; it is killed"));
                if let Some(mut child) = node.child.take() {
                    let _ = child.kill();
                    wait_for(&mut child);
                }
                node.memory_kills += 1;
                node.start_at = Some(Instant::now() + RESTART_DELAY);
            }
            if node.start_at.is_some_and(|at| Instant::now() >= at) {
                node.start_at = None;
                self.start_node(number);
            }
        }
    }

    /// How often each process was killed because of its memory.
    pub fn memory_kills(&self) -> Vec<u32> {
        self.nodes.iter().map(|node| node.memory_kills).collect()
    }

    /// The tasks that were begun, with their `Spec`.
    pub fn begun(&self) -> Vec<(String, String)> {
        let starts = self.fleet.starts.lock().expect("starts");
        let begun = starts.iter().filter(|start| start.is_begun);
        begun.map(|start| (start.task.clone(), start.spec.clone())).collect()
    }

    /// All orders to start a task, with their `Spec`.
    pub fn ordered(&self) -> Vec<(String, String)> {
        let starts = self.fleet.starts.lock().expect("starts");
        starts.iter().map(|start| (start.task.clone(), start.spec.clone())).collect()
    }

    pub fn is_done(&self, task: &str) -> bool {
        self.fleet.done.lock().expect("done").contains(task)
    }

    /// Names of the jobs of which an order to start a task came.
    pub fn jobs_ordered(&self) -> HashSet<String> {
        let ordered = self.ordered();
        ordered.iter().filter_map(|(task, _)| Some(task.split('.').next()?.to_string())).collect()
    }
}

/// Clients, which may call from a thread of their own.
pub struct Clients {
    nodes: Vec<(String, SocketAddr)>,
    record: Record,
}

impl Clients {
    /// Sends a call to a process and records it with its answer: the status, 0 if there is none, and
    /// the body.
    pub fn call(
        &self,
        number: usize,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> (u16, String) {
        let (name, address) = &self.nodes[number];
        let answer = send(*address, method, path, key, body);
        let (status, text) = answer.map_or((0, "no answer".into()), |one| (one.status, one.body));
        let with = key.map_or("without a key".into(), |key| format!("with {key}"));
        let body = match body.len() > BODY_BYTES_KEPT {
            true => format!("{}... ({} bytes)", &body[body.len() - BODY_BYTES_KEPT..], body.len()),
            false => body.into(),
        };
        self.record
            .line(format!("client {with}: {method} {path} {body} at {name} -> {status} {text}"));
        (status, text)
    }
}

fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Option<Response> {
    let mut headers = vec![("Host", HOST), ("X-Deadline-Ms", "3000")];
    headers.extend(key.map(|key| ("Api-Key", key)));
    http::call(address, method, path, &headers, body, Duration::from_secs(3))
}

impl Drop for Cluster {
    /// Ends all processes, and removes the temporary folder unless `KEEP` is set.
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                wait_for(&mut child);
            }
        }
        self.record.close();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Resident memory of a process, in MiB.
fn memory_mb(child: &Child) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) / 1_024
}

/// The command of the role in the deploy file.
fn deploy_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").unwrap_or_default();
    let run = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    run.unwrap_or_default().split(' ').map(String::from).collect()
}

/// Answers a query to the placement policy: all minions may run every step.
fn advise(request: &Request, record: &Record) -> Response {
    let body = parse(&request.body);
    let step = body.get("Step").text();
    let workers = body.get("Workers").list();
    thread::sleep(Duration::from_millis(20 + 2 * workers.len() as u64));
    record.repeated(format!("policy: advice on {step}"));
    let rows = workers.iter().map(|worker| {
        let id = worker.text();
        format!("[{},{}]", quote(id), quote(&ticket(id, step)))
    });
    Response::new(
        200,
        format!("{{\"Good\":[{}],\"ValidMs\":3000}}", rows.collect::<Vec<_>>().join(",")),
    )
}
