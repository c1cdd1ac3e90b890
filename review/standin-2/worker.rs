//! A worker: one life of a machine.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Passage, Request, Response, Server};
use crate::json::{Json, number, object, text};
use crate::store::Store;
use crate::world::{Cut, Judge};

/// Longest lease of the runs on a worker.
pub const LEASE_MAX_MS: u64 = 10_000;
/// Time that a stop takes at most.
const STOP_TIME: Duration = Duration::from_millis(200);
/// Interval at which the runs are looked at.
const STEP: Duration = Duration::from_millis(2);
/// Most run ends of one answer.
const ENDS_MAX: usize = 500;

/// What a worker is.
#[derive(Debug, Clone)]
pub struct WorkerFacts {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub address: SocketAddr,
    pub cpu: u64,
}

struct Run {
    number: u64,
    started: Instant,
    ends: Instant,
    crashes: Option<Instant>,
    stop_at: Option<Instant>,
    cpu: u64,
}

#[derive(Default)]
struct State {
    is_up: bool,
    fence: u64,
    runs: BTreeMap<String, Run>,
    /// Number, task, run and how it ended.
    finished: Vec<(u64, String, u64, String)>,
    last_end: u64,
    /// Highest run of each task that was stopped or ended here.
    ended: HashMap<String, u64>,
    /// End of the lease on the worker's clock.
    due_ms: u64,
}

/// A worker.
pub struct Worker {
    pub facts: WorkerFacts,
    born_ms: u64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    judge: Arc<Judge>,
    store: Arc<Store>,
    /// Called when the worker crashes by itself.
    on_crash: Box<dyn Fn(&str) + Send + Sync>,
}

impl Worker {
    pub fn start(
        facts: WorkerFacts,
        judge: Arc<Judge>,
        store: Arc<Store>,
        cut: Arc<Cut>,
        on_crash: Box<dyn Fn(&str) + Send + Sync>,
    ) -> std::io::Result<Arc<Worker>> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let worker = Arc::new(Worker {
            born_ms: born.as_millis() as u64,
            started: Instant::now(),
            state: Mutex::new(State { is_up: true, ..State::default() }),
            changed: Condvar::new(),
            server: Mutex::new(None),
            judge,
            store,
            on_crash,
            facts,
        });
        let (served, zone) = (worker.clone(), worker.facts.zone.clone());
        let link = Arc::new(move |request: &Request| {
            let fence = Json::parse(&request.body).map_or(0, |body| body.get("Fence").u64());
            match cut.separates(&zone, fence) {
                true => Passage::Held,
                false => Passage::Open,
            }
        });
        let handler = Arc::new(move |request: &Request| served.handle(request));
        *worker.server.lock().unwrap() = Some(Server::start(worker.facts.address, link, handler)?);
        worker.register();
        let ticking = worker.clone();
        thread::spawn(move || {
            while ticking.step() {
                thread::sleep(STEP);
            }
        });
        Ok(worker)
    }

    /// Writes the worker's entry in the store.
    pub fn register(&self) {
        let facts = &self.facts;
        let entry = object(vec![
            ("Service", text(&facts.service)),
            ("Addr", text(&facts.address.to_string())),
            ("Zone", text(&facts.zone)),
            ("Version", text("v1")),
            ("Slots", number(8)),
            ("State", text("ready")),
            ("ColdLeftMs", number(0)),
            ("Room", room(facts.cpu)),
            ("Labels", Json::List(vec![text("a"), text(&facts.rack)])),
            ("ClockMs", number(self.clock_ms())),
            ("Seq", number(1)),
            ("born", number(self.born_ms)),
        ]);
        self.store.write(&format!("servers/{}", facts.id), &entry.to_string());
    }

    pub fn unregister(&self) {
        self.store.delete(&format!("servers/{}", self.facts.id));
    }

    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().is_up
    }

    pub fn fence(&self) -> u64 {
        self.state.lock().unwrap().fence
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1_000
    }

    /// Ends the worker with all of its runs.
    pub fn end(&self, crashed: bool) {
        let mut state = self.state.lock().unwrap();
        if !std::mem::replace(&mut state.is_up, false) {
            return;
        }
        let tasks: Vec<String> = std::mem::take(&mut state.runs).into_keys().collect();
        drop(state);
        self.judge.lose_worker(&self.facts.id, &tasks, crashed);
        self.changed.notify_all();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.crash();
        }
    }

    /// Lets the runs go on for a while; returns whether the worker is still up.
    fn step(&self) -> bool {
        let now = Instant::now();
        let clock_ms = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return false;
        }
        if state.runs.values().any(|run| run.crashes.is_some_and(|at| now >= at)) {
            drop(state);
            self.end(true);
            (self.on_crash)(&self.facts.machine);
            return false;
        }
        let has_lapsed = clock_ms > state.due_ms;
        let ended: Vec<(String, &str)> = state
            .runs
            .iter()
            .filter_map(|(task, run)| match run.stop_at {
                _ if has_lapsed => Some((task.clone(), "lapsed")),
                Some(at) if now >= at => Some((task.clone(), "stopped")),
                _ if now >= run.ends => Some((task.clone(), "done")),
                _ => None,
            })
            .collect();
        for (task, how) in ended {
            let Some(run) = state.runs.remove(&task) else { continue };
            state.last_end += 1;
            let end = (state.last_end, task.clone(), run.number, how.to_string());
            state.finished.push(end);
            note_ended(&mut state, &task, run.number);
            self.judge.end(&self.facts.id, &task, run.number, how);
            self.changed.notify_all();
        }
        true
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        if request.header("X-Expect-Instance") != self.facts.id {
            return Some((421, "{}".to_string()));
        }
        let body = Json::parse(&request.body)?;
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return None;
        }
        let fence = body.get("Fence").u64();
        if fence < state.fence {
            return Some(self.refuse("fence"));
        }
        state.fence = fence;
        match request.path.as_str() {
            "/run-start" => Some(self.start_run(&mut state, &body)),
            "/run-stop" => Some(self.stop_run(&mut state, &body)),
            "/pace" => Some((200, object(vec![("ClockMs", number(self.clock_ms()))]).to_string())),
            "/hold" => {
                drop(state);
                self.hold(&body)
            }
            _ => Some((404, "{}".to_string())),
        }
    }

    fn refuse(&self, reason: &str) -> Response {
        let fields = vec![("ClockMs", number(self.clock_ms())), ("Reason", text(reason))];
        (409, object(fields).to_string())
    }

    fn extend(&self, state: &mut State, body: &Json) {
        let due_ms = body.get("DueMs").u64().min(self.clock_ms() + LEASE_MAX_MS);
        state.due_ms = state.due_ms.max(due_ms);
    }

    fn start_run(&self, state: &mut State, body: &Json) -> Response {
        let (task, number_of_run) = (body.get("Task").text(), body.get("Run").u64());
        if body.get("DueMs").u64() <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend(state, body);
        if state.runs.get(task).is_some_and(|run| run.number == number_of_run) {
            return (200, object(vec![("ClockMs", number(self.clock_ms()))]).to_string());
        }
        if state.ended.get(task).is_some_and(|ended| number_of_run <= *ended) {
            return self.refuse("old");
        }
        let facts = self.judge.job_of(task);
        let used: u64 = state.runs.values().map(|run| run.cpu).sum();
        if used + facts.cpu > self.facts.cpu {
            return self.refuse("room");
        }
        let now = Instant::now();
        let run = Run {
            number: number_of_run,
            started: now,
            ends: now + facts.work,
            crashes: facts.crashes_after.map(|after| now + after),
            stop_at: None,
            cpu: facts.cpu,
        };
        state.runs.insert(task.to_string(), run);
        self.judge.start(&self.facts.id, task, number_of_run);
        (200, object(vec![("ClockMs", number(self.clock_ms()))]).to_string())
    }

    fn stop_run(&self, state: &mut State, body: &Json) -> Response {
        let (task, number_of_run) = (body.get("Task").text(), body.get("Run").u64());
        note_ended(state, task, number_of_run);
        if let Some(run) = state.runs.get_mut(task).filter(|run| run.number <= number_of_run) {
            run.stop_at = run.stop_at.or(Some(Instant::now() + STOP_TIME));
        }
        (200, object(vec![("ClockMs", number(self.clock_ms()))]).to_string())
    }

    fn hold(&self, body: &Json) -> Option<Response> {
        let acknowledged = body.get("AckCursor").u64();
        let end = Instant::now() + Duration::from_millis(body.get("WaitMs").u64());
        let mut state = self.state.lock().unwrap();
        self.extend(&mut state, body);
        state.finished.retain(|(number, ..)| *number > acknowledged);
        while state.is_up && state.finished.is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        if !state.is_up {
            return None;
        }
        let running = state.runs.iter().map(|(task, run)| {
            let total = run.ends.duration_since(run.started).as_secs_f64().max(0.001);
            let percent = (run.started.elapsed().as_secs_f64() / total * 100.0).min(99.0) as u64;
            Json::List(vec![text(task), number(run.number), text(""), number(percent), number(0)])
        });
        let finished = state.finished.iter().take(ENDS_MAX).map(|(count, task, run, how)| {
            Json::List(vec![number(*count), text(task), number(*run), text(how), text("")])
        });
        let fields = vec![
            ("ClockMs", number(self.clock_ms())),
            ("born", number(self.born_ms)),
            ("Running", Json::List(running.collect())),
            ("Finished", Json::List(finished.collect())),
        ];
        Some((200, object(fields).to_string()))
    }
}

fn note_ended(state: &mut State, task: &str, run: u64) {
    let ended = state.ended.entry(task.to_string()).or_default();
    *ended = (*ended).max(run);
}

/// The room of a worker or machine, in thousandths of a core.
pub fn room(cpu: u64) -> Json {
    object(vec![("Cpu", number(cpu)), ("MemMb", number(32_768)), ("Gpu", number(0))])
}
