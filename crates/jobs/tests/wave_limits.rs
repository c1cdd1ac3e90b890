//! Property of the scheduler: no more machines of a wave are down than it allows, whatever the
//! outcomes of commands are, in whatever order they come, and however often the owner changes.

mod emulator;
mod harness;

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use cassiafold_config::InstanceId;
use cassiafold_jobs::clients::MachineOutcome;
use cassiafold_jobs::cluster::{Machine, MachineState, Wave, WaveNumber};
use cassiafold_jobs::record::{
    COMMANDED_MACHINES_KEY, CommandedMachinesRecord, WAVES_KEY, WavesRecord,
};
use cassiafold_jobs::scheduler::{Command, MachineAttempt, MachineCommand, OwnerTerm, WriteBatch};
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use self::emulator::{ms, step};
use self::harness::SchedulerHarness;

const MACHINES: usize = 8;
/// How long the maintenance of a machine takes, and a move.
const DOWN_TIME: Duration = ms(2_000);
/// How long a command without a response is waited for.
const TIMEOUT: Duration = ms(1_500);
const DAY: Duration = ms(60_000);

/// Something that happens at a later time.
enum Event {
    /// The command reaches the control, which may answer it.
    Arrival {
        term: u64,
        attempt: MachineAttempt,
        is_answered: bool,
    },
    Outcome(u64, MachineAttempt, MachineOutcome),
    Commit(u64, Box<WriteBatch>),
}

/// A machine control that answers some commands late or not at all, and a succession of owners.
struct Day {
    rng: StdRng,
    harness: SchedulerHarness,
    now: Duration,
    term: u64,
    waves: Vec<Wave>,
    events: Vec<(Duration, Event)>,
    machines: Vec<Machine>,
    /// Until when a machine is down, and the wave for which it is, unless it moves.
    down: BTreeMap<InstanceId, (Duration, Option<WaveNumber>)>,
    done: HashSet<(InstanceId, WaveNumber)>,
    store: BTreeMap<String, Vec<u8>>,
    has_write: bool,
    excess: Vec<String>,
}

impl Day {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let waves = (1..4).map(|number| random_wave(number, &mut rng)).collect();
        let mut day = Self {
            harness: SchedulerHarness::at_term_start(0, OwnerTerm::default()),
            now: ms(100_000),
            term: 0,
            waves,
            events: Vec::new(),
            machines: SchedulerHarness::spare_machines(MACHINES),
            down: BTreeMap::new(),
            done: HashSet::new(),
            store: BTreeMap::new(),
            has_write: false,
            excess: Vec::new(),
            rng,
        };
        day.start_term();
        day
    }

    fn read<T: serde::de::DeserializeOwned + Default>(&self, key: &str) -> T {
        let value = self.store.get(key);
        value.map_or_else(T::default, |value| serde_json::from_slice(value).expect("JSON"))
    }

    /// Replaces the owner by one of the same instance or another. Its commands stay on the way.
    fn start_term(&mut self) {
        self.term += 1;
        self.has_write = false;
        let commanded_machines: CommandedMachinesRecord = self.read(COMMANDED_MACHINES_KEY);
        let waves: WavesRecord = self.read(WAVES_KEY);
        let instance = ["a", "b"][self.rng.random_range(0..2)].into();
        let started_unix = self.now;
        let term = OwnerTerm {
            token: self.term * 50,
            instance,
            commanded_machines,
            waves,
            started_unix,
            ..OwnerTerm::default()
        };
        self.harness = SchedulerHarness::at_time(0, term, self.now);
        self.harness.submit(1, vec![step(40, 16, &[])]);
    }

    fn pass(&mut self) {
        let begun = self.waves.iter().filter(|wave| self.now >= begin_of(wave)).cloned();
        self.harness.scheduler.set_waves(&begun.collect::<Vec<_>>(), self.now);
        for command in self.harness.scheduler.plan(self.now, self.now) {
            if let Command::Machine(attempt) = command {
                self.send(attempt);
            }
        }
        if !self.has_write
            && let Some(batch) = self.harness.scheduler.next_write_batch(self.now)
        {
            self.has_write = true;
            let at = self.now + ms(self.rng.random_range(5..200));
            self.events.push((at, Event::Commit(self.term, Box::new(batch))));
        }
    }

    /// Chooses when a command is executed, if ever, and which outcome its sender sees.
    fn send(&mut self, attempt: MachineAttempt) {
        let answer_at = self.now + ms(self.rng.random_range(5..1_400));
        let late = self.now + ms(self.rng.random_range(1_500..12_000));
        let (arrival, outcome) = match self.rng.random_range(0..6) {
            0 | 1 => (Some(answer_at), None),
            2 => (Some(late), Some(MachineOutcome::Unknown)),
            3 => (Some(answer_at), Some(MachineOutcome::Unknown)),
            4 => (None, Some(MachineOutcome::Unknown)),
            _ => (None, Some(MachineOutcome::Busy)),
        };
        let (term, is_answered) = (self.term, outcome.is_none());
        if let Some(at) = arrival {
            let attempt = attempt.clone();
            self.events.push((at, Event::Arrival { term, attempt, is_answered }));
        }
        if let Some(outcome) = outcome {
            let at = if outcome == MachineOutcome::Busy { answer_at } else { self.now + TIMEOUT };
            self.events.push((at, Event::Outcome(term, attempt, outcome)));
        }
    }

    fn execute(&mut self, command: &MachineCommand) -> MachineOutcome {
        let machine = command.machine().clone();
        if self.down.get(&machine).is_some_and(|(until, _)| self.now < *until) {
            return MachineOutcome::Busy;
        }
        let MachineCommand::Maintain { wave, .. } = command else {
            self.down.insert(machine, (self.now + DOWN_TIME, None));
            return MachineOutcome::Accepted;
        };
        if !self.done.insert((machine.clone(), *wave)) {
            return MachineOutcome::Accepted;
        }
        let is_other = |(until, for_wave): &&(Duration, Option<WaveNumber>)| {
            self.now < *until && *for_wave == Some(*wave)
        };
        let others = self.down.values().filter(is_other).count();
        let limit = self.waves.iter().find(|one| one.number == *wave).map(|one| one.concurrent_max);
        if others >= limit.unwrap_or_default() {
            self.excess.push(format!("{machine} of wave {wave} at {:?}", self.now));
        }
        self.down.insert(machine, (self.now + DOWN_TIME, Some(*wave)));
        MachineOutcome::Accepted
    }

    fn list_machines(&mut self) {
        self.down.retain(|_, (until, _)| self.now < *until);
        for machine in &mut self.machines {
            machine.state = match self.down.get(&machine.id) {
                Some((_, Some(_))) => MachineState::Maintenance,
                Some((_, None)) => MachineState::Moving,
                None => MachineState::Up,
            };
        }
        let machines = self.machines.clone();
        self.harness.scheduler.set_machines(machines, self.now, self.now);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { term, attempt, is_answered } => {
                let outcome = self.execute(&attempt.command);
                if is_answered {
                    self.handle(Event::Outcome(term, attempt, outcome));
                }
            }
            Event::Outcome(term, attempt, outcome) if term == self.term => {
                self.harness.scheduler.handle_machine_outcome(&attempt, outcome, self.now);
            }
            Event::Commit(term, batch) if term == self.term => {
                let puts = batch.puts.iter();
                self.store.extend(puts.map(|(key, value)| (key.to_string(), value.clone())));
                self.harness.scheduler.handle_write_committed(&batch, self.now);
                self.has_write = false;
            }
            Event::Outcome(..) | Event::Commit(..) => {}
        }
    }

    fn play(mut self) -> Vec<String> {
        let end = self.now + DAY;
        while self.now < end {
            let (due, later) =
                std::mem::take(&mut self.events).into_iter().partition(|(at, _)| *at <= self.now);
            self.events = later;
            let due: Vec<(Duration, Event)> = due;
            due.into_iter().for_each(|(_, event)| self.handle(event));
            if self.rng.random_ratio(1, 800) {
                self.start_term();
            }
            if self.rng.random_ratio(1, 25) {
                self.list_machines();
            }
            self.pass();
            self.now += ms(10);
        }
        self.excess
    }
}

/// A wave of most machines, which begins while the one before may be on.
fn random_wave(number: WaveNumber, rng: &mut StdRng) -> Wave {
    let mut machines: Vec<InstanceId> = (0..MACHINES).map(|id| format!("m{id}").into()).collect();
    machines.retain(|_| rng.random_ratio(3, 4));
    Wave { number, machines, time_limit: ms(20_000), concurrent_max: rng.random_range(1..4) }
}

fn begin_of(wave: &Wave) -> Duration {
    ms(100_000) + ms(13_000) * u32::try_from(wave.number - 1).expect("few waves")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        rng_seed: RngSeed::Fixed(69),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_more_machines_of_a_wave_are_down_than_it_allows(seed in any::<u64>()) {
        prop_assert_eq!(Day::new(seed).play(), Vec::<String>::new());
    }
}
