//! What the stand-ins share: the record of a case, the zones' cut, and the rules that are checked.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The record of a case, with times since its start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { started: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    pub fn note(&self, line: &str) {
        let line = format!("{:8.3} s  {line}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A partition of one zone from all others, the store and the machine control.
#[derive(Default)]
pub struct Cut {
    state: Mutex<CutState>,
}

#[derive(Default, Clone)]
struct CutState {
    zone: Option<String>,
    /// Fence of the owner inside the zone, whom alone the zone's workers hear.
    inner_fence: u64,
}

impl Cut {
    pub fn start(&self, zone: &str, inner_fence: u64) {
        let mut state = self.state.lock().unwrap();
        *state = CutState { zone: Some(zone.to_string()), inner_fence };
    }

    pub fn end(&self) {
        self.state.lock().unwrap().zone = None;
    }

    pub fn is_cut(&self, zone: &str) -> bool {
        self.state.lock().unwrap().zone.as_deref() == Some(zone)
    }

    /// Whether a call with this fence to a worker of `zone` has to cross the partition.
    pub fn separates(&self, zone: &str, fence: u64) -> bool {
        let state = self.state.lock().unwrap();
        let Some(cut) = &state.zone else { return false };
        (cut == zone) != (fence == state.inner_fence)
    }
}

/// What callers submitted under the id of a job.
#[derive(Debug, Clone, Default)]
pub struct JobFacts {
    /// CPU of each task, in thousandths of a core.
    pub cpu: u64,
    /// How long each task works.
    pub work: Duration,
    /// Time after its start at which each task crashes its worker.
    pub crashes_after: Option<Duration>,
}

/// Checks of the rules, from what workers and the machine control see.
pub struct Judge {
    pub record: Record,
    /// CPU that the tenant may have running, in thousandths of a core.
    pub cap_cpu: u64,
    state: Mutex<JudgeState>,
}

#[derive(Default)]
struct JudgeState {
    jobs: HashMap<String, JobFacts>,
    /// CPU by worker, task and run.
    running: HashMap<(String, String, u64), u64>,
    /// Workers that crashed under a task.
    crashes: HashMap<String, u32>,
    /// Starts of a task after three workers had crashed under it.
    later_starts: HashMap<String, u32>,
    broken: Vec<String>,
}

impl Judge {
    pub fn new(record: Record, cap_cpu: u64) -> Judge {
        Judge { record, cap_cpu, state: Mutex::default() }
    }

    pub fn add_job(&self, id: &str, facts: JobFacts) {
        self.state.lock().unwrap().jobs.insert(id.to_string(), facts);
    }

    pub fn job_of(&self, task: &str) -> JobFacts {
        let job = task.split('.').next().unwrap_or_default();
        self.state.lock().unwrap().jobs.get(job).cloned().unwrap_or_default()
    }

    pub fn break_rule(&self, what: String) {
        self.record.note(&format!("RULE BROKEN: {what}"));
        self.state.lock().unwrap().broken.push(what);
    }

    pub fn is_broken(&self) -> bool {
        !self.state.lock().unwrap().broken.is_empty()
    }

    /// CPU that the tenant has running, in thousandths of a core.
    pub fn running_cpu(&self) -> u64 {
        self.state.lock().unwrap().running.values().sum()
    }

    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }

    pub fn start(&self, worker: &str, task: &str, run: u64) {
        let cpu = self.job_of(task).cpu;
        let mut state = self.state.lock().unwrap();
        state.running.insert((worker.into(), task.into(), run), cpu);
        let total: u64 = state.running.values().sum();
        let crashes = state.crashes.get(task).copied().unwrap_or(0);
        let mut later = 0;
        if crashes >= 3 {
            let starts = state.later_starts.entry(task.into()).or_default();
            *starts += 1;
            later = *starts;
        }
        drop(state);
        self.record.note(&format!("{worker} starts {task} run {run}; running: {total} mcores"));
        let allowed = self.cap_cpu * 11 / 10 + cpu;
        if total > allowed {
            self.break_rule(format!(
                "QUOTA: {task} run {run} brings the tenant to {total} mcores, of {} and {allowed} \
                 with the excess and one task more",
                self.cap_cpu
            ));
        }
        if later >= 3 {
            self.break_rule(format!(
                "BUDGET: {task} was started {later} times after three workers had crashed under it"
            ));
        }
    }

    pub fn end(&self, worker: &str, task: &str, run: u64, how: &str) {
        self.state.lock().unwrap().running.remove(&(worker.into(), task.into(), run));
        self.record.note(&format!("{worker} ends {task} run {run}: {how}"));
    }

    /// A worker ends with all of its runs; `crashed` tells whether it crashed under them.
    pub fn lose_worker(&self, worker: &str, tasks: &[String], crashed: bool) {
        let mut state = self.state.lock().unwrap();
        state.running.retain(|(of, _, _), _| of != worker);
        for task in tasks.iter().filter(|_| crashed) {
            *state.crashes.entry(task.clone()).or_default() += 1;
        }
        drop(state);
        let what = if crashed { "crashes" } else { "ends" };
        self.record.note(&format!("{worker} {what} with {} runs {tasks:?}", tasks.len()));
    }
}
