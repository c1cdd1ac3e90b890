//! A minion: it starts, stops and reports runs, and keeps what it saw for the judge.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, respond, serve};
use crate::json::{Json, num, obj, text};

/// Ends in one response.
const ENDS_PER_RESPONSE: usize = 500;

pub struct MinionSettings {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub hold_max_ms: u64,
    pub stop_ms: u64,
}

/// What the minion does with a task: how long it works, how it ends, and what it takes.
#[derive(Clone)]
pub struct Work {
    pub ms: u64,
    pub how: &'static str,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Whether it serves users of its own, so that its figure is the tail of their response times.
    pub serves: bool,
}

/// Something that happened to a run.
#[derive(Clone)]
pub struct Event {
    pub at: Instant,
    pub minion: String,
    pub task: String,
    pub run: u64,
    pub what: &'static str,
}

#[derive(Default)]
pub struct Record {
    events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    fn add(&self, minion: &str, task: &str, run: u64, what: &'static str) {
        let event =
            Event { at: Instant::now(), minion: minion.into(), task: task.into(), run, what };
        self.events.lock().unwrap().push(event);
    }
}

struct Run {
    number: u64,
    work: Work,
    /// Work that was done until `since`, from when on it works at `percent`.
    worked_ms: f64,
    since: Instant,
    percent: u64,
    stops: Option<Instant>,
}

impl Run {
    fn worked_ms(&self) -> f64 {
        self.worked_ms + self.since.elapsed().as_secs_f64() * 10.0 * self.percent as f64
    }

    fn pace(&mut self, percent: u64) {
        self.worked_ms = self.worked_ms();
        (self.since, self.percent) = (Instant::now(), percent);
    }
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct State {
    fence: u64,
    due_ms: u64,
    running: BTreeMap<String, Run>,
    ends: Vec<End>,
    next_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    highest: HashMap<String, u64>,
}

pub struct Minion {
    pub settings: MinionSettings,
    pub address: SocketAddr,
    born_ms: u64,
    started: Instant,
    has_left: AtomicBool,
    /// Tail of the response times of the tasks that serve.
    pub tail_ms: AtomicU64,
    state: Mutex<State>,
    ended: Condvar,
    record: Arc<Record>,
    work_of: Box<dyn Fn(&str, &str) -> Work + Send + Sync>,
}

impl Minion {
    /// Starts a minion; `work_of` says what a task and its `Spec` mean.
    pub fn start(
        settings: MinionSettings,
        record: &Arc<Record>,
        work_of: impl Fn(&str, &str) -> Work + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let minion = Arc::new(Self {
            settings,
            address: listener.local_addr().expect("address"),
            born_ms: now.as_millis() as u64,
            started: Instant::now(),
            has_left: AtomicBool::new(false),
            tail_ms: AtomicU64::new(0),
            state: Mutex::new(State {
                fence: 0,
                due_ms: 0,
                running: BTreeMap::new(),
                ends: Vec::new(),
                next_end: 1,
                highest: HashMap::new(),
            }),
            ended: Condvar::new(),
            record: Arc::clone(record),
            work_of: Box::new(work_of),
        });
        let serving = Arc::clone(&minion);
        serve(listener, move |request| serving.handle(request));
        let ticking = Arc::clone(&minion);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(2));
            ticking.tick();
        });
        minion
    }

    /// Ends, with everything that runs there: its machine was moved.
    pub fn leave(&self) {
        self.has_left.store(true, Ordering::SeqCst);
        let mut state = self.lock();
        for (task, run) in std::mem::take(&mut state.running) {
            self.record.add(&self.settings.id, &task, run.number, "moved");
        }
    }

    pub fn has_left(&self) -> bool {
        self.has_left.load(Ordering::SeqCst)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn clock_ms(&self) -> u64 {
        // A steady clock that does not begin at zero.
        480_000 + self.started.elapsed().as_millis() as u64
    }

    /// The entry in the store.
    pub fn entry(&self) -> String {
        let settings = &self.settings;
        let room = obj(&[("Cpu", num(settings.cpu as i64)), ("MemMb", num(settings.mem_mb as i64))]);
        obj(&[
            ("Service", text(&*settings.service)),
            ("Addr", text(self.address.to_string())),
            ("Zone", text(&*settings.zone)),
            ("Version", text("v1")),
            ("Slots", num(8)),
            ("State", text("ready")),
            ("Room", room),
            ("Labels", Json::Arr(vec![text("a"), text(&*settings.rack)])),
            ("ClockMs", num(self.clock_ms() as i64)),
            ("Seq", num(1)),
            ("born", num(self.born_ms as i64)),
        ])
        .print()
    }

    /// The machine as the platform lists it.
    pub fn machine(&self) -> Json {
        let settings = &self.settings;
        let room = obj(&[("Cpu", num(settings.cpu as i64)), ("MemMb", num(settings.mem_mb as i64))]);
        obj(&[
            ("Machine", text(&*settings.machine)),
            ("Pool", text(&*settings.service)),
            ("State", text("up")),
            ("Zone", text(&*settings.zone)),
            ("Labels", Json::Arr(vec![text("a"), text(&*settings.rack)])),
            ("Room", room),
            ("Id", text(&*settings.id)),
        ])
    }

    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    fn tick(&self) {
        let now = Instant::now();
        let is_lapsed = self.clock_ms() > self.lock().due_ms;
        let mut state = self.lock();
        let mut over: Vec<(String, &'static str)> = Vec::new();
        for (task, run) in &state.running {
            let how = match run.stops {
                _ if is_lapsed => "lapsed",
                Some(stops) if stops <= now => "stopped",
                _ if run.worked_ms() >= run.work.ms as f64 => run.work.how,
                _ => continue,
            };
            over.push((task.clone(), how));
        }
        if over.is_empty() {
            return;
        }
        for (task, how) in over {
            let run = state.running.remove(&task).expect("run");
            let number = state.next_end;
            state.next_end += 1;
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = run.number.max(*highest);
            self.record.add(&self.settings.id, &task, run.number, how);
            state.ends.push(End { number, task, run: run.number, how });
        }
        drop(state);
        self.ended.notify_all();
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        if self.has_left() {
            return None;
        }
        let expected = request.header("X-Expect-Instance");
        if !expected.is_empty() && expected != self.settings.id {
            return respond(421, "");
        }
        let Some(body) = Json::parse(&request.body) else { return respond(400, "") };
        let mut state = self.lock();
        let fence = body.u64("Fence");
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        match &*request.path {
            "/run-start" => self.start_run(&body, state),
            "/run-stop" => self.stop_run(&body, state),
            "/pace" => self.pace_run(&body, state),
            "/hold" => self.hold(&body, state),
            _ => respond(404, ""),
        }
    }

    fn clock(&self) -> Json {
        obj(&[("ClockMs", num(self.clock_ms() as i64)), ("born", num(self.born_ms as i64))])
    }

    fn refuse(&self, reason: &str) -> Option<Response> {
        let clock = num(self.clock_ms() as i64);
        respond(409, obj(&[("ClockMs", clock), ("Reason", text(reason))]).print())
    }

    fn extend(&self, due_ms: u64, state: &mut State) {
        let limit = self.clock_ms() + self.settings.hold_max_ms;
        state.due_ms = state.due_ms.max(due_ms.min(limit));
    }

    fn start_run(&self, body: &Json, mut state: MutexGuard<'_, State>) -> Option<Response> {
        let (task, number, due_ms) = (body.str("Task"), body.u64("Run"), body.u64("DueMs"));
        if due_ms <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend(due_ms, &mut state);
        let current = state.running.get(task).map(|run| run.number);
        if current == Some(number) {
            return respond(200, self.clock().print());
        }
        let highest = state.highest.get(task).copied().unwrap_or(0).max(current.unwrap_or(0));
        if number <= highest {
            return self.refuse("old");
        }
        let work = (self.work_of)(task, body.str("Spec"));
        let used = |amount: fn(&Work) -> u64| -> u64 {
            state.running.values().map(|run| amount(&run.work)).sum()
        };
        if used(|work| work.cpu) + work.cpu > self.settings.cpu
            || used(|work| work.mem_mb) + work.mem_mb > self.settings.mem_mb
        {
            return self.refuse("room");
        }
        let (since, percent) = (Instant::now(), 100);
        let run = Run { number, work, worked_ms: 0.0, since, percent, stops: None };
        state.running.insert(task.into(), run);
        self.record.add(&self.settings.id, task, number, "start");
        respond(200, self.clock().print())
    }

    fn stop_run(&self, body: &Json, mut state: MutexGuard<'_, State>) -> Option<Response> {
        let (task, number) = (body.str("Task"), body.u64("Run"));
        let stops = Instant::now() + Duration::from_millis(self.settings.stop_ms / 2);
        if let Some(run) = state.running.get_mut(task).filter(|run| run.number == number) {
            run.stops = run.stops.or(Some(stops));
        }
        let highest = state.highest.entry(task.into()).or_default();
        *highest = number.max(*highest);
        respond(200, self.clock().print())
    }

    fn pace_run(&self, body: &Json, mut state: MutexGuard<'_, State>) -> Option<Response> {
        let (task, number, percent) = (body.str("Task"), body.u64("Run"), body.u64("Percent"));
        if let Some(run) = state.running.get_mut(task).filter(|run| run.number == number) {
            run.pace(percent);
            let what = if percent == 0 { "paced to 0" } else { "paced" };
            self.record.add(&self.settings.id, task, number, what);
        }
        respond(200, self.clock().print())
    }

    fn hold(&self, body: &Json, mut state: MutexGuard<'_, State>) -> Option<Response> {
        if body.get("DueMs").is_some() {
            self.extend(body.u64("DueMs"), &mut state);
        }
        let cursor = body.u64("AckCursor");
        for end in state.ends.iter().filter(|end| end.number <= cursor) {
            self.record.add(&self.settings.id, &end.task, end.run, "acked");
        }
        state.ends.retain(|end| end.number > cursor);
        let deadline = Instant::now() + Duration::from_millis(body.u64("WaitMs").min(2_000));
        while state.ends.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.ended.wait_timeout(state, left).unwrap().0;
        }
        let running = state.running.iter().map(|(task, run)| {
            let done = run.worked_ms() as u64 * 100 / run.work.ms.max(1);
            let (percent, load) = match run.work.serves {
                true => (100, self.tail_ms.load(Ordering::SeqCst)),
                false => (done.min(99), run.work.cpu * run.percent / 100),
            };
            let (percent, load) = (num(percent as i64), num(load as i64));
            Json::Arr(vec![text(&**task), num(run.number as i64), text(""), percent, load])
        });
        let ends = state.ends.iter().take(ENDS_PER_RESPONSE).map(|end| {
            let (number, run) = (num(end.number as i64), num(end.run as i64));
            Json::Arr(vec![number, text(&*end.task), run, text(end.how), text("")])
        });
        let body = obj(&[
            ("ClockMs", num(self.clock_ms() as i64)),
            ("born", num(self.born_ms as i64)),
            ("Running", Json::Arr(running.collect())),
            ("Finished", Json::Arr(ends.collect())),
        ]);
        respond(200, body.print())
    }
}
