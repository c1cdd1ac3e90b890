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
            let kind = random.random_range(0..19);
            log::info!(target: "day", "fault {kind} of {length:?} in s{}", self.seed);
            match kind {
                0..=6 | 18 => self.play_store_fault(kind, length, &mut random).await,
                7..=11 => self.play_process_fault(kind, length, &mut random).await,
                12..=14 => self.play_worker_fault(kind, length, &mut random).await,
                _ => self.play_operator(&mut random).await,
            }
        }
    }

    async fn play_store_fault(&self, kind: u32, length: Duration, random: &mut StdRng) {
        let faults = self.store.faults();
        let write_faults = [
            WriteFault::LostAnswer,
            WriteFault::LostRequest,
            WriteFault::Late(ms(random.random_range(100..3_000))),
        ];
        match kind {
            0 | 1 | 18 => {
                let partitions = [Partition::Requests, Partition::Answers, Partition::Refused];
                let direction = partitions[kind.min(2) as usize];
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
            2 => {
                faults.set_outage(true);
                sleep(length).await;
                faults.set_outage(false);
            }
            3 => {
                faults.set_delay(ms(random.random_range(50..=400)));
                sleep(length).await;
                faults.set_delay(Duration::ZERO);
            }
            4 => faults.fail_writes(random.random_range(1..8), *pick(random, &write_faults)),
            5 => {
                faults.fail_every(random.random_range(3..9), *pick(random, &write_faults));
                sleep(length).await;
                faults.fail_every(0, WriteFault::LostAnswer);
            }
            _ => {
                faults.set_silent_watches(true);
                sleep(length).await;
                faults.compact();
                faults.set_silent_watches(false);
            }
        }
    }

    async fn play_process_fault(&self, kind: u32, length: Duration, random: &mut StdRng) {
        let chosen = random.random_range(0..self.instance_count());
        match kind {
            7 => {
                self.with_instances(|list| list.iter().for_each(Instance::stop_owner));
                sleep(length / 2).await;
                // A stopped campaign starts again only with its process.
                for number in 0..self.instance_count() {
                    self.with_instances(|list| list[number].kill());
                    self.with_instances(|list| list[number].start());
                }
            }
            8 | 9 => {
                self.with_instances(|list| list[chosen].stop_owner());
                if kind == 9 {
                    sleep(ms(random.random_range(0..500))).await;
                }
                self.with_instances(|list| list[chosen].kill());
                sleep(length).await;
                self.with_instances(|list| list[chosen].start());
            }
            10 => {
                self.with_instances(|list| list[chosen].suspend(length));
                sleep(length).await;
            }
            _ => {
                self.with_instances(|list| list.iter_mut().for_each(Instance::kill));
                sleep(length / 3).await;
                self.with_instances(|list| list.iter_mut().for_each(Instance::start));
            }
        }
    }

    async fn play_worker_fault(&self, kind: u32, length: Duration, random: &mut StdRng) {
        let chosen = random.random_range(0..self.worker_count());
        let id: Arc<str> = format!("w{chosen}").into();
        match kind {
            12 => {
                self.workers.with(&id, EmulatedWorker::crash);
                if random.random_range(0..2) == 0 {
                    self.write_worker(&id, None).await;
                }
                sleep(length).await;
                self.restart_worker(&id).await;
            }
            13 => {
                let started = self.workers.with(&id, |worker| worker.started_at);
                self.write_worker(&id, None).await;
                sleep(length).await;
                self.write_worker(&id, Some(started)).await;
            }
            _ => {
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
