//! Stand-in of a minion: it runs tasks under a lease, and lists them and their ends.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, Response};
use crate::json::{Json, parse, quote};
use crate::record::Record;
use crate::store::Store;

const HOLD_MAX_MS: u64 = 6_000;
const WAIT_MAX_MS: u64 = 2_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const ENDS_PER_RESPONSE: usize = 500;
/// `MaxConns` of the services.
const CONNECTIONS_MAX: usize = 5_000;
/// Bytes of a `Spec` that the record keeps. Longer ones belong to jobs of many tasks, whose runs are
/// counted.
const SPEC_BYTES_KEPT: usize = 80;

/// What all minions share: the record, and the jobs whose starts need a ticket.
pub struct Fleet {
    pub record: Record,
    /// Ids of the jobs that clients have handed in to queues with a placement policy.
    pub jobs_with_policy: Mutex<HashSet<String>>,
    /// Starts of all tasks: the task, its `Spec` and whether it was begun.
    pub starts: Mutex<Vec<Start>>,
    /// Ends `done` of all tasks.
    pub done: Mutex<HashSet<String>>,
}

/// An order to start a task.
#[derive(Debug, Clone)]
pub struct Start {
    pub task: String,
    pub spec: String,
    pub is_begun: bool,
}

struct Run {
    run: u64,
    /// Whether the record only counts it.
    is_counted: bool,
    ends: Instant,
}

#[derive(Default)]
struct State {
    fence: u64,
    due_ms: u64,
    running: BTreeMap<String, Run>,
    /// Numbered ends: number, task, run and how.
    finished: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// Highest run of each task that was stopped or has ended here.
    highest: HashMap<String, u64>,
}

/// A minion. Clones share it.
#[derive(Clone)]
pub struct Minion {
    pub id: String,
    service: String,
    address: SocketAddr,
    started: Instant,
    born_ms: u128,
    fleet: Arc<Fleet>,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Minion {
    /// Starts a minion that registers itself in the store.
    pub fn start(
        id: &str,
        service: &str,
        listener: TcpListener,
        store: Store,
        fleet: Arc<Fleet>,
    ) -> Self {
        let address = listener.local_addr().expect("address");
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock").as_millis();
        let minion = Self {
            id: id.into(),
            service: service.into(),
            address,
            started: Instant::now(),
            born_ms,
            fleet,
            state: Arc::default(),
        };
        let served = minion.clone();
        http::serve(listener, CONNECTIONS_MAX, move |request| served.handle(request));
        let working = minion.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                working.end_runs();
            }
        });
        let beating = minion.clone();
        thread::spawn(move || {
            for sequence in 1.. {
                store.put(&format!("servers/{}", beating.id), &beating.entry(sequence));
                thread::sleep(HEARTBEAT);
            }
        });
        minion
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"Service\":{},\"Addr\":\"{}\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":8,\
             \"State\":\"ready\",\"ColdLeftMs\":0,\"Room\":{{\"Cpu\":32000,\"MemMb\":131072,\
             \"Gpu\":0}},\"Labels\":[\"a\",\"r1-1\"],\"ClockMs\":{},\"Seq\":{sequence},\"born\":{}}}",
            quote(&self.service),
            self.address,
            self.clock_ms(),
            self.born_ms
        )
    }

    /// The machine under the minion, as the list of machines shows it.
    pub fn machine(&self) -> String {
        format!(
            "{{\"Machine\":\"m-{}\",\"Pool\":{},\"State\":\"up\",\"Zone\":\"zone-a\",\
             \"Labels\":[\"a\",\"r1-1\"],\"Room\":{{\"Cpu\":32000,\"MemMb\":131072,\"Gpu\":0}},\
             \"Id\":\"{}\"}}",
            self.id,
            quote(&self.service),
            self.id
        )
    }

    fn end_runs(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let has_lapsed = self.clock_ms() > state.due_ms;
        let ended = state.running.iter().filter(|(_, run)| has_lapsed || run.ends <= now);
        let ended: Vec<(String, bool)> =
            ended.map(|(task, run)| (task.clone(), run.ends <= now)).collect();
        for (task, is_done) in ended {
            let how = if is_done { "done" } else { "lapsed" };
            self.end(&mut state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.ends += 1;
        let number = state.ends;
        state.finished.push((number, task.into(), run.run, how));
        let highest = state.highest.entry(task.into()).or_default();
        *highest = run.run.max(*highest);
        let line = format!("minion {}: run {task} {} ends {how}", self.id, run.run);
        match run.is_counted {
            true => self.fleet.record.repeated(format!("a run of job {} ends {how}", job_of(task))),
            false => self.fleet.record.line(line),
        }
        if how == "done" {
            self.fleet.done.lock().expect("done").insert(task.into());
        }
        self.state.1.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        let expected = request.header("X-Expect-Instance");
        if !expected.is_empty() && expected != self.id {
            return Response::new(421, "{}");
        }
        let body = parse(&request.body);
        let fence = body.get("Fence").number();
        {
            let mut state = self.lock();
            if fence < state.fence {
                return self.refuse("fence");
            }
            state.fence = fence;
        }
        match &*request.path {
            "/run-start" => self.begin(&body),
            "/run-stop" => self.stop(&body),
            "/hold" => self.hold(&body),
            "/pace" => self.answer(),
            "/health" => Response::new(200, "{}"),
            _ => Response::new(404, "{}"),
        }
    }

    fn answer(&self) -> Response {
        Response::new(200, format!("{{\"ClockMs\":{},\"born\":{}}}", self.clock_ms(), self.born_ms))
    }

    fn refuse(&self, reason: &str) -> Response {
        let clock_ms = self.clock_ms();
        Response::new(409, format!("{{\"ClockMs\":{clock_ms},\"Reason\":\"{reason}\"}}"))
    }

    fn extend(&self, state: &mut State, due_ms: u64) {
        state.due_ms = state.due_ms.max(due_ms.min(self.clock_ms() + HOLD_MAX_MS));
    }

    fn begin(&self, body: &Json) -> Response {
        let (task, run) = (body.get("Task").text().to_string(), body.get("Run").number());
        let spec = body.get("Spec").text().to_string();
        let needs_ticket =
            self.fleet.jobs_with_policy.lock().expect("jobs").contains(job_of(&task));
        let mut state = self.lock();
        let due_ms = body.get("DueMs").number();
        let is_there = state.running.get(&task).is_some_and(|known| known.run == run);
        let refusal = if is_there {
            return self.answer();
        } else if due_ms < self.clock_ms() {
            Some("late")
        } else if needs_ticket && body.get("Ticket").text() != ticket(&self.id, &task) {
            Some("ticket")
        } else if state.highest.get(&task).is_some_and(|highest| run <= *highest)
            || state.running.get(&task).is_some_and(|known| run <= known.run)
        {
            self.extend(&mut state, due_ms);
            Some("old")
        } else {
            None
        };
        let is_begun = refusal.is_none();
        self.fleet.starts.lock().expect("starts").push(Start {
            task: task.clone(),
            spec: spec.chars().take(SPEC_BYTES_KEPT).collect(),
            is_begun,
        });
        if let Some(reason) = refusal {
            self.fleet
                .record
                .repeated(format!("minion {}: start of {task} rejected: {reason}", self.id));
            return self.refuse(reason);
        }
        self.extend(&mut state, due_ms);
        let work = Duration::from_millis(work_ms(&spec, &task));
        let is_counted = spec.len() > SPEC_BYTES_KEPT;
        let line = format!("minion {}: run {task} {run} begins, Spec {}", self.id, quote(&spec));
        match is_counted {
            true => self.fleet.record.repeated(format!("a run of job {} begins", job_of(&task))),
            false => self.fleet.record.line(line),
        }
        state.running.insert(task, Run { run, is_counted, ends: Instant::now() + work });
        self.answer()
    }

    fn stop(&self, body: &Json) -> Response {
        let (task, run) = (body.get("Task").text().to_string(), body.get("Run").number());
        let mut state = self.lock();
        let highest = state.highest.entry(task.clone()).or_default();
        *highest = run.max(*highest);
        if state.running.get(&task).is_some_and(|known| known.run == run) {
            self.end(&mut state, &task, "stopped");
        }
        self.answer()
    }

    fn hold(&self, body: &Json) -> Response {
        let cursor = body.get("AckCursor").number();
        let wait = Duration::from_millis(body.get("WaitMs").number().min(WAIT_MAX_MS));
        let until = Instant::now() + wait;
        let mut state = self.lock();
        self.extend(&mut state, body.get("DueMs").number());
        state.finished.retain(|(number, ..)| *number > cursor);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.finished.is_empty() || left.is_zero() {
                break;
            }
            state = match self.state.1.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(error) => error.into_inner().0,
            };
        }
        let running = state.running.iter();
        let running: Vec<String> = running
            .map(|(task, run)| format!("[{},{},\"\",100,0]", quote(task), run.run))
            .collect();
        let finished = state.finished.iter().take(ENDS_PER_RESPONSE);
        let finished: Vec<String> = finished
            .map(|(number, task, run, how)| {
                format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
            })
            .collect();
        Response::new(
            200,
            format!(
                "{{\"ClockMs\":{},\"born\":{},\"Running\":[{}],\"Finished\":[{}]}}",
                self.clock_ms(),
                self.born_ms,
                running.join(","),
                finished.join(",")
            ),
        )
    }
}

/// The job of a task.
fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}

/// How long a task works: its `Spec` lists the milliseconds of each step, after the last space.
fn work_ms(spec: &str, task: &str) -> u64 {
    let step = task.split('.').nth(2).and_then(|step| step.parse().ok()).unwrap_or(0);
    let times = spec.rsplit(' ').next().unwrap_or_default();
    times.split(',').nth(step).and_then(|time| time.parse().ok()).unwrap_or(200)
}

/// The ticket with which a minion may run the step of a task.
pub fn ticket(minion: &str, task: &str) -> String {
    let step: Vec<&str> = task.split('.').take(3).collect();
    format!("ticket-{minion}-{}", step.join("."))
}
