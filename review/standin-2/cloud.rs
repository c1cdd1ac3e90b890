//! The platform's control of machines.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::Duration;

use crate::http::{Request, Response, free_port};
use crate::json::{Json, number, object, text};
use crate::store::Store;
use crate::worker::{Worker, WorkerFacts, room};
use crate::world::{Cut, Judge};

/// Time that a move takes.
const MOVE_TIME: Duration = Duration::from_millis(1_500);
/// Time that a maintenance takes.
const UPKEEP_TIME: Duration = Duration::from_millis(2_000);
/// Time after which a worker that crashed is back.
const CRASH_TIME: Duration = Duration::from_millis(3_000);

struct Machine {
    id: String,
    pool: String,
    state: &'static str,
    zone: String,
    rack: String,
    cpu: u64,
    worker: Option<Arc<Worker>>,
    /// Wave of its last maintenance.
    wave: u64,
    /// Highest fence of an order, and its holder.
    fence: u64,
    holder: String,
    lives: u32,
}

/// The machines, and the orders to them.
pub struct Cloud {
    me: Weak<Cloud>,
    machines: Mutex<Vec<Machine>>,
    requires_fence: bool,
    /// Number, machines and limit of the wave.
    wave: Mutex<(u64, Vec<String>, usize)>,
    judge: Arc<Judge>,
    store: Arc<Store>,
    cut: Arc<Cut>,
    ip: IpAddr,
}

impl Cloud {
    pub fn new(
        requires_fence: bool,
        judge: Arc<Judge>,
        store: Arc<Store>,
        cut: Arc<Cut>,
        ip: IpAddr,
    ) -> Arc<Cloud> {
        Arc::new_cyclic(|me| Cloud {
            me: me.clone(),
            machines: Mutex::default(),
            requires_fence,
            wave: Mutex::default(),
            judge,
            store,
            cut,
            ip,
        })
    }

    /// Adds a machine with a worker.
    pub fn add(&self, id: &str, pool: &str, zone: &str, rack: &str, cpu: u64) {
        self.machines.lock().unwrap().push(Machine {
            id: id.into(),
            pool: pool.into(),
            state: "up",
            zone: zone.into(),
            rack: rack.into(),
            cpu,
            worker: None,
            wave: 0,
            fence: 0,
            holder: String::new(),
            lives: 0,
        });
        self.start_worker(id);
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let machines = self.machines.lock().unwrap();
        machines.iter().filter_map(|machine| machine.worker.clone()).collect()
    }

    /// Requests a wave of maintenance, as the operator does.
    pub fn request_wave(&self, number_of_wave: u64, machines: &[&str], limit: usize, term_s: u64) {
        let names: Vec<String> = machines.iter().map(|name| name.to_string()).collect();
        *self.wave.lock().unwrap() = (number_of_wave, names, limit);
        let wave = object(vec![
            ("Wave", number(number_of_wave)),
            ("Machines", Json::List(machines.iter().map(|name| text(name)).collect())),
            ("TermS", number(term_s)),
            ("Cap", number(limit as u64)),
        ]);
        self.judge.record.note(&format!("the operator requests {wave}"));
        self.store.write(&format!("op/wave/{number_of_wave}"), &wave.to_string());
    }

    /// Starts a new worker on a machine, which is up from then on.
    fn start_worker(&self, id: &str) {
        let mut machines = self.machines.lock().unwrap();
        let Some(machine) = machines.iter_mut().find(|machine| machine.id == id) else { return };
        machine.lives += 1;
        let Ok(port) = free_port(self.ip) else { return };
        let facts = WorkerFacts {
            id: format!("i-{}-{}", machine.id, machine.lives),
            machine: machine.id.clone(),
            service: machine.pool.clone(),
            zone: machine.zone.clone(),
            rack: machine.rack.clone(),
            address: SocketAddr::new(self.ip, port),
            cpu: machine.cpu,
        };
        let me = self.me.clone();
        let on_crash = Box::new(move |machine: &str| {
            if let Some(cloud) = me.upgrade() {
                cloud.note_crash(machine);
            }
        });
        let (judge, store, cut) = (self.judge.clone(), self.store.clone(), self.cut.clone());
        match Worker::start(facts, judge, store, cut, on_crash) {
            Ok(worker) => {
                machine.worker = Some(worker);
                machine.state = "up";
            }
            Err(error) => self.judge.record.note(&format!("no worker on {id}: {error}")),
        }
    }

    /// A worker has crashed: its machine is down until the next one starts.
    fn note_crash(&self, id: &str) {
        let mut machines = self.machines.lock().unwrap();
        let Some(machine) = machines.iter_mut().find(|machine| machine.id == id) else { return };
        machine.state = "down";
        let old = machine.worker.clone();
        drop(machines);
        self.restart_after(id, CRASH_TIME, old);
    }

    /// Starts a new worker after `time`; the entry of the old one goes then.
    fn restart_after(&self, id: &str, time: Duration, old: Option<Arc<Worker>>) {
        let (me, id) = (self.me.clone(), id.to_string());
        thread::spawn(move || {
            thread::sleep(time);
            if let Some(old) = old {
                old.unregister();
            }
            if let Some(cloud) = me.upgrade() {
                cloud.judge.record.note(&format!("{id} is back"));
                cloud.start_worker(&id);
            }
        });
    }

    pub fn handle(&self, request: &Request) -> Option<Response> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machines") => Some((200, self.list())),
            ("POST", "/machine-move" | "/machine-upkeep") => Some(self.order(request)),
            _ => Some((404, "{}".to_string())),
        }
    }

    fn list(&self) -> String {
        let machines = self.machines.lock().unwrap();
        let rows = machines.iter().map(|machine| {
            let worker = machine.worker.as_ref().filter(|_| machine.state == "up");
            object(vec![
                ("Machine", text(&machine.id)),
                ("Pool", text(&machine.pool)),
                ("State", text(machine.state)),
                ("Zone", text(&machine.zone)),
                ("Labels", Json::List(vec![text("a"), text(&machine.rack)])),
                ("Room", room(machine.cpu)),
                ("Id", worker.map_or(Json::Null, |worker| text(&worker.facts.id))),
            ])
        });
        let fields = vec![("Machines", Json::List(rows.collect())), ("NextToken", Json::Null)];
        object(fields).to_string()
    }

    fn order(&self, request: &Request) -> Response {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let id = body.get("Machine").text().to_string();
        let holder = request.header("X-Holder").to_string();
        let fence: u64 = request.header("X-Fence-Token").parse().unwrap_or(0);
        let response = self.execute(&request.path, &body, &id, &holder, fence);
        let what = &request.path;
        self.judge.record.note(&format!(
            "{what} {id} by {holder} with fence {fence}: {} {}",
            response.0, response.1
        ));
        response
    }

    fn execute(&self, path: &str, body: &Json, id: &str, holder: &str, fence: u64) -> Response {
        let refuse = |reason: &str| (409, object(vec![("Reason", text(reason))]).to_string());
        let mut machines = self.machines.lock().unwrap();
        let wave = self.wave.lock().unwrap().clone();
        let of_wave = |machine: &&Machine| wave.1.contains(&machine.id);
        let down = machines.iter().filter(of_wave).filter(|one| one.state == "upkeep").count();
        let Some(machine) = machines.iter_mut().find(|machine| machine.id == id) else {
            return (400, "{}".to_string());
        };
        if fence < machine.fence {
            if self.requires_fence {
                return refuse("fence");
            }
            self.judge.break_rule(format!(
                "ONE: an order to {id} by {holder} with fence {fence}, after one by {} with {}",
                machine.holder, machine.fence
            ));
        }
        machine.fence = machine.fence.max(fence);
        machine.holder = holder.to_string();
        let is_move = path == "/machine-move";
        let is_done = match is_move {
            true => machine.pool == body.get("Pool").text(),
            false => machine.wave == body.get("Wave").u64(),
        };
        if is_done {
            return (200, "{}".to_string());
        }
        if machine.state != "up" {
            return refuse("busy");
        }
        if !is_move && (body.get("Wave").u64() != wave.0 || !wave.1.contains(&machine.id)) {
            return refuse("wave");
        }
        if !is_move && down >= wave.2 {
            self.judge.break_rule(format!(
                "LIMIT: the maintenance of {id} begins while {down} machines of the wave are down, \
                 of {} at most",
                wave.2
            ));
        }
        let time = match is_move {
            true => {
                machine.pool = body.get("Pool").text().to_string();
                machine.state = "moving";
                MOVE_TIME
            }
            false => {
                machine.wave = body.get("Wave").u64();
                machine.state = "upkeep";
                UPKEEP_TIME
            }
        };
        let old = machine.worker.take();
        drop(machines);
        if let Some(worker) = &old {
            worker.end(false);
        }
        self.restart_after(id, time, old);
        (200, "{}".to_string())
    }
}
