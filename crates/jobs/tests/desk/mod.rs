//! A scheduler with workers that do what they are told, for single situations.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_jobs::cluster::{Machine, MachineState, Service, Wave};
use cassiafold_jobs::edges::{Look, LookError, OrderOutcome, RunningRow};
use cassiafold_jobs::job::WorkerSlot;
use cassiafold_jobs::record::{JobState, StateRecord, TaskRecord};
use cassiafold_jobs::scheduler::{MachineOrder, Order, Scheduler, Tenure};
use cassiafold_jobs::spec::{JobId, Resources, StepSpec, TaskId};

use crate::emulator::worker::EmulatedWorker;
use crate::emulator::{SERVICE, config, cores, job, ms, settings, step};

/// Revision of jobs that were accepted after the owner had begun.
pub const LATE: u64 = u64::MAX;

/// A scheduler with workers that carry out what they are told at once.
pub struct Desk {
    pub scheduler: Scheduler,
    pub now: Duration,
    pub running: HashMap<WorkerSlot, Vec<(TaskId, u32)>>,
    pub machine_orders: Vec<MachineOrder>,
    pub listed: Vec<Machine>,
}

impl Desk {
    /// A scheduler with workers that have been looked at.
    pub fn new(workers: usize, tenure: Tenure) -> Self {
        let mut desk = Self::begin(workers, tenure);
        desk.pass(ms(3_500));
        desk
    }

    /// A scheduler at the begin of its tenure.
    pub fn begin(workers: usize, tenure: Tenure) -> Self {
        let now = ms(100_000);
        let mut scheduler = Scheduler::new(settings(), tenure, now);
        let mut config = (*config(Resources::default())).clone();
        let spare = Service { is_spare: true, ..Service::default() };
        config.services.insert("spare".into(), spare);
        scheduler.configure(Arc::new(config));
        let room = Resources { memory_bytes: 64 << 30, ..cores(16) };
        let make = |number| EmulatedWorker::new(number, room).entry();
        scheduler.set_workers((0..workers).map(make).collect(), now);
        Self::of(scheduler, now)
    }

    /// A desk around a scheduler.
    pub fn of(scheduler: Scheduler, now: Duration) -> Self {
        let running = HashMap::new();
        Self { scheduler, now, running, machine_orders: Vec::new(), listed: Vec::new() }
    }

    pub fn machines(count: usize, state: MachineState) -> Vec<Machine> {
        let make = |number: usize| Machine {
            id: format!("m{number}").into(),
            service: SERVICE.into(),
            state,
            zone: "z".into(),
            worker: Some(format!("w{number}").into()),
            labels: Vec::new(),
            room: cores(16),
        };
        (0..count).map(make).collect()
    }

    /// Machines in the spare pool, which run no workers.
    pub fn spare_machines(count: usize) -> Vec<Machine> {
        let spare = |machine| Machine { service: "spare".into(), worker: None, ..machine };
        Self::machines(count, MachineState::Up).into_iter().map(spare).collect()
    }

    pub fn list(&mut self, machines: Vec<Machine>) {
        self.listed = machines.clone();
        self.scheduler.set_machines(machines, self.now, self.now);
    }

    pub fn submit(&mut self, id: JobId, steps: Vec<StepSpec>) {
        self.scheduler.add_job(id, job(steps), LATE, None, self.now);
    }

    /// Lets time pass in which each order is carried out.
    pub fn pass(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            for order in self.scheduler.plan(Duration::ZERO, self.now) {
                self.carry_out(order);
            }
            self.write();
            self.now += ms(10);
        }
    }

    /// Lets time pass in which no worker answers.
    pub fn pass_silently(&mut self, length: Duration) {
        let error = LookError::NoAnswer("timeout".into());
        let end = self.now + length;
        while self.now < end {
            for order in self.scheduler.plan(Duration::ZERO, self.now) {
                match order {
                    Order::Look { worker, .. } => {
                        let _ = self.scheduler.look_request(worker, false, self.now);
                        self.scheduler.note_look_failed(worker, false, &error, self.now);
                    }
                    order => self.carry_out(order),
                }
            }
            self.write();
            self.now += ms(10);
        }
    }

    fn write(&mut self) {
        if let Some(flush) = self.scheduler.take_flush(self.now) {
            self.scheduler.note_flushed(&flush, self.now);
        }
    }

    pub fn carry_out(&mut self, order: Order) {
        match order {
            Order::Look { worker, is_probe } => {
                let _ = self.scheduler.look_request(worker, is_probe, self.now);
                let rows = self.running.get(&worker).cloned().unwrap_or_default();
                let row = |(task, run)| RunningRow {
                    task,
                    run,
                    checkpoint: None,
                    percent: 100,
                    reading: 0,
                };
                let running = rows.into_iter().map(row).collect();
                let look = Look { clock: self.now, running, ..Look::default() };
                self.scheduler.note_look(worker, is_probe, self.now, self.now, look);
            }
            Order::Start { worker, task, run, .. } => {
                self.running.entry(worker).or_default().push((task, run));
                self.scheduler.note_start(worker, task, run, OrderOutcome::Accepted, self.now);
            }
            Order::Stop { worker, task, run } => {
                self.running.entry(worker).or_default().retain(|(other, _)| *other != task);
                self.scheduler.note_stop(worker, task, run, OrderOutcome::Accepted, self.now);
            }
            Order::Machine(order) => self.machine_orders.push(order),
            Order::Pace { .. } | Order::Ask(_) => {}
        }
    }

    pub fn running(&self) -> usize {
        self.running.values().map(Vec::len).sum()
    }

    pub fn wave_of(&mut self, machines: &[usize], at_once_max: usize) {
        let machines = machines.iter().map(|number| format!("m{number}").into()).collect();
        let wave = Wave { number: 1, machines, term: ms(20_000), at_once_max };
        self.scheduler.set_waves(&[wave], self.now);
    }
}

pub fn long_running(tasks: u32, per_worker_max: Option<u32>) -> StepSpec {
    StepSpec { long_running: true, unavailable_max: Some(1), per_worker_max, ..step(tasks, 2, &[]) }
}

/// The stored state of a job that an earlier owner was about to start, with what it says of tasks.
pub fn touched(tasks: Vec<TaskRecord>) -> StateRecord {
    StateRecord { state: JobState::Running, team: None, ended: Vec::new(), tasks }
}
