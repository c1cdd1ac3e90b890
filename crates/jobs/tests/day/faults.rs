//! Overlapping faults of a day, in series, by seed.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_platform::{
    Compare, Store, Transaction, TransactionOutcome, TransactionalStore, since_boot,
};
use cassiafold_standin::{Partition, WriteFault};
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep};

use super::Day;
use super::site::{DayFormats, Instance, part, pick, random};
use crate::emulator::ms;
use crate::emulator::worker::EmulatedWorker;
use cassiafold_jobs::platform_clients::Formats;

/// Delay between two attempts of the operator.
const OPERATOR_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of series of faults that overlap.
const SERIES: u64 = 3;
/// Queues that are never removed come first; the last one is removed and added.
pub const QUEUES: [&str; 3] = ["q0", "q1", "q2"];
/// API keys; the first one is always valid.
pub const KEYS: [&str; 4] = ["k0", "k1", "k2", "k3"];

/// A fault of a day, or a change by the operator.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Store(StoreFault),
    Process(ProcessFault),
    Worker(WorkerFault),
    /// Some configurations in quick succession.
    Configurations,
}

/// A fault between the instances and the store.
#[derive(Debug, Clone, Copy)]
enum StoreFault {
    /// Some instances are cut off from it.
    CutOff(Partition),
    /// It answers nobody.
    Outage,
    /// Each call takes longer.
    Delay,
    /// The next writes fail.
    NextWrites,
    /// Every few writes one fails.
    EveryFewWrites,
    /// Watches report nothing, and the history of that time is gone then.
    SilentWatches,
}

/// A fault of the processes of instances.
#[derive(Debug, Clone, Copy)]
enum ProcessFault {
    /// All owners are stopped, and their processes start again.
    AllOwnersStopped,
    /// An owner is stopped, and its process is killed at once.
    StoppedAndKilled,
    /// An owner is stopped, and its process is killed some time later.
    StoppedAndKilledLater,
    /// A process does nothing for a time.
    Suspended,
    /// All processes are killed.
    AllKilled,
}

/// A fault of a worker.
#[derive(Debug, Clone, Copy)]
enum WorkerFault {
    /// It crashes, and its entry may go.
    Crash,
    /// Its entry goes while it runs.
    EntryRemoved,
    /// No call reaches it.
    Unreachable,
}

impl Fault {
    /// A random fault; the operator's changes come three times as often as another kind.
    fn random(random: &mut StdRng) -> Self {
        match random.random_range(0..19) {
            0 => Self::Store(StoreFault::CutOff(Partition::Requests)),
            1 => Self::Store(StoreFault::CutOff(Partition::Answers)),
            2 => Self::Store(StoreFault::Outage),
            3 => Self::Store(StoreFault::Delay),
            4 => Self::Store(StoreFault::NextWrites),
            5 => Self::Store(StoreFault::EveryFewWrites),
            6 => Self::Store(StoreFault::SilentWatches),
            7 => Self::Process(ProcessFault::AllOwnersStopped),
            8 => Self::Process(ProcessFault::StoppedAndKilled),
            9 => Self::Process(ProcessFault::StoppedAndKilledLater),
            10 => Self::Process(ProcessFault::Suspended),
            11 => Self::Process(ProcessFault::AllKilled),
            12 => Self::Worker(WorkerFault::Crash),
            13 => Self::Worker(WorkerFault::EntryRemoved),
            14 => Self::Worker(WorkerFault::Unreachable),
            18 => Self::Store(StoreFault::CutOff(Partition::Refused)),
            _ => Self::Configurations,
        }
    }
}

impl Day {
    /// Plays series of faults until the day ends, and waits until each has ended.
    pub async fn play_faults(self: Arc<Self>, end: Instant) {
        let play = |number| tokio::spawn(self.clone().play_series(number, end));
        let series: Vec<_> = (0..SERIES).map(play).collect();
        for one in series {
            one.await.expect("series");
        }
    }

    async fn play_series(self: Arc<Self>, number: u64, end: Instant) {
        let mut random = random(self.seed, part::FAULT_SERIES + number);
        while Instant::now() < end {
            sleep(ms(random.random_range(50..900))).await;
            let length = ms(random.random_range(150..2_500));
            let fault = Fault::random(&mut random);
            log::info!(target: "day", "fault {fault:?} of {length:?} in s{}", self.seed);
            match fault {
                Fault::Store(fault) => self.play_store_fault(fault, length, &mut random).await,
                Fault::Process(fault) => self.play_process_fault(fault, length, &mut random).await,
                Fault::Worker(fault) => self.play_worker_fault(fault, length, &mut random).await,
                Fault::Configurations => self.play_operator(&mut random).await,
            }
        }
    }

    async fn play_store_fault(&self, fault: StoreFault, length: Duration, random: &mut StdRng) {
        let faults = self.store.faults();
        let write_faults = [
            WriteFault::LostAnswer,
            WriteFault::LostRequest,
            WriteFault::Late(ms(random.random_range(100..3_000))),
        ];
        match fault {
            StoreFault::CutOff(direction) => {
                let count = random.random_range(1..=self.instance_count());
                let first = random.random_range(0..self.instance_count());
                let names = self.names(first, count);
                for name in &names {
                    faults.cut_off(name.clone(), direction);
                }
                sleep(length).await;
                for name in &names {
                    faults.reconnect(name);
                }
            }
            StoreFault::Outage => {
                faults.set_outage(true);
                sleep(length).await;
                faults.set_outage(false);
            }
            StoreFault::Delay => {
                faults.set_delay(ms(random.random_range(50..=400)));
                sleep(length).await;
                faults.set_delay(Duration::ZERO);
            }
            StoreFault::NextWrites => {
                faults.fail_writes(random.random_range(1..8), *pick(random, &write_faults));
            }
            StoreFault::EveryFewWrites => {
                faults.fail_every(random.random_range(3..9), *pick(random, &write_faults));
                sleep(length).await;
                faults.fail_every(0, WriteFault::LostAnswer);
            }
            StoreFault::SilentWatches => {
                faults.set_silent_watches(true);
                sleep(length).await;
                faults.compact();
                faults.set_silent_watches(false);
            }
        }
    }

    async fn play_process_fault(&self, fault: ProcessFault, length: Duration, random: &mut StdRng) {
        let chosen = random.random_range(0..self.instance_count());
        match fault {
            ProcessFault::AllOwnersStopped => {
                self.with_instances(|list| list.iter().for_each(Instance::stop_owner));
                sleep(length / 2).await;
                // A stopped campaign starts again only with its process.
                for number in 0..self.instance_count() {
                    self.with_instances(|list| list[number].kill());
                    self.with_instances(|list| list[number].start());
                }
            }
            ProcessFault::StoppedAndKilled | ProcessFault::StoppedAndKilledLater => {
                self.with_instances(|list| list[chosen].stop_owner());
                if matches!(fault, ProcessFault::StoppedAndKilledLater) {
                    sleep(ms(random.random_range(0..500))).await;
                }
                self.with_instances(|list| list[chosen].kill());
                sleep(length).await;
                self.with_instances(|list| list[chosen].start());
            }
            ProcessFault::Suspended => {
                self.with_instances(|list| list[chosen].suspend(length));
                sleep(length).await;
            }
            ProcessFault::AllKilled => {
                self.with_instances(|list| list.iter_mut().for_each(Instance::kill));
                sleep(length / 3).await;
                self.with_instances(|list| list.iter_mut().for_each(Instance::start));
            }
        }
    }

    async fn play_worker_fault(&self, fault: WorkerFault, length: Duration, random: &mut StdRng) {
        let chosen = random.random_range(0..self.worker_count());
        let id: Arc<str> = format!("w{chosen}").into();
        match fault {
            WorkerFault::Crash => {
                self.workers.with(&id, EmulatedWorker::crash);
                if random.random_range(0..2) == 0 {
                    self.write_worker(&id, None).await;
                }
                sleep(length).await;
                self.restart_worker(&id).await;
            }
            WorkerFault::EntryRemoved => {
                let started = self.workers.with(&id, |worker| worker.started_at);
                self.write_worker(&id, None).await;
                sleep(length).await;
                self.write_worker(&id, Some(started)).await;
            }
            WorkerFault::Unreachable => {
                self.workers.unreachable.lock().expect("lock").insert(id.clone());
                sleep(length).await;
                self.workers.unreachable.lock().expect("lock").remove(&id);
            }
        }
    }

    /// Starts a worker again under its id, and writes its entry.
    pub async fn restart_worker(&self, id: &str) {
        let now = ms(u64::try_from(since_boot().as_millis()).expect("small"));
        self.workers.with(id, |worker| {
            if !worker.is_up {
                worker.restart(now);
            }
        });
        let started = self.workers.with(id, |worker| worker.started_at);
        self.write_worker(id, Some(started)).await;
    }

    /// Writes or removes a worker's entry.
    pub async fn write_worker(&self, id: &str, started: Option<Duration>) {
        let value = started.map(|started| started.as_millis().to_string());
        self.operate(&format!("{}{id}", DayFormats::WORKERS_PREFIX), value).await;
    }

    /// Writes some configurations in quick succession.
    async fn play_operator(&self, random: &mut StdRng) {
        for _ in 0..random.random_range(1..6) {
            let others = KEYS[1..].iter().filter(|_| random.random_range(0..2) == 0);
            let keys: Vec<&str> = KEYS[..1].iter().chain(others).copied().collect();
            let queues = &QUEUES[..random.random_range(2..=QUEUES.len())];
            self.configure(&keys, queues).await;
            sleep(ms(random.random_range(0..60))).await;
        }
    }

    /// Writes a configuration of the next version.
    pub async fn configure(&self, keys: &[&str], queues: &[&str]) {
        let mut version = self.version.lock().await;
        *version += 1;
        let text = format!("{version} {} {}", keys.join(","), queues.join(","));
        self.operate(DayFormats::CONFIG_KEY, Some(text)).await;
    }

    /// Writes or removes a key, until the store has acknowledged it.
    async fn operate(&self, key: &str, value: Option<String>) {
        while !self.try_operate(key, value.as_deref()).await {
            sleep(OPERATOR_RETRY_DELAY).await;
        }
    }

    async fn try_operate(&self, key: &str, value: Option<&str>) -> bool {
        let Ok(existing) = self.store.get(key).await else { return false };
        if existing.as_ref().map(|record| &record.value[..]) == value.map(str::as_bytes) {
            return true;
        }
        let compare = existing.map_or(Compare::Absent, |record| Compare::Revision(record.revision));
        let transaction = Transaction::default().expect(key, compare);
        let transaction = match value {
            Some(value) => transaction.put(key, value.to_owned(), None),
            None => transaction.delete(key),
        };
        matches!(self.store.commit(transaction).await, Ok(TransactionOutcome::Written(_)))
    }
}
