//! Compares ways to share the slots of backend servers between entry instances, by a plain loop
//! over simulated milliseconds with a fixed seed.
//!
//! Ten backend servers with eight slots each, seven entry instances, and twice as much work as
//! there are slots. Team `large` has weight 3 and team `small` weight 1.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 7;
const BACKENDS: usize = 10;
const SLOTS: u32 = 8;
const TEAMS: usize = 2;
const WEIGHTS: [f64; TEAMS] = [3.0, 1.0];
const RUN_MEAN_MS: f64 = 50.0;
const REPORT_MS: u64 = 200;
const HOLD_MS: u64 = 20;
const WARM_UP_MS: u64 = 2_000;
const LENGTH_MS: u64 = 20_000;
/// Candidates that one request is offered before it waits on.
const TRIES: usize = 3;

/// How an entry instance decides whether a backend server has a slot for it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Each entry instance has its fixed part of each backend server's slots.
    Split,
    /// Each backend server takes work from one entry instance only.
    Home,
    /// Two random choices by reported load; full ones as reported are left out.
    Reported,
    /// Two random choices by reported load; only refusals tell who is full.
    Refusal,
    /// As `Refusal`, and a team runs at most its part of the slots at each entry instance.
    RefusalCapped,
    /// As `Reported`, and a team runs at most its part of the slots at each entry instance.
    ReportedCapped,
}

const WAYS: [(&str, Way); 6] = [
    ("split by entry", Way::Split),
    ("home entry", Way::Home),
    ("two choices, reported full left out", Way::Reported),
    ("two choices, refusal as guard", Way::Refusal),
    ("two choices, reported, capped shares", Way::ReportedCapped),
    ("two choices, refusal, capped shares", Way::RefusalCapped),
];

/// Which entry instances the callers of each team reach.
#[derive(Clone, Copy)]
enum Spread {
    Even,
    LargeAtOne,
    AllAtOne,
}

const SPREADS: [(&str, Spread); 3] = [
    ("even", Spread::Even),
    ("large team at one entry", Spread::LargeAtOne),
    ("all callers at one entry", Spread::AllAtOne),
];

#[derive(Clone, Default)]
struct Entry {
    waiting: [u32; TEAMS],
    running: [u32; TEAMS],
    used_ms: [f64; TEAMS],
    at_backend: [u32; BACKENDS],
    others: [u32; BACKENDS],
    held_until: [u64; BACKENDS],
    caps: [u32; TEAMS],
}

struct Run {
    entry: usize,
    team: usize,
    backend: usize,
    end_ms: u64,
}

#[derive(Default)]
struct Totals {
    busy_ms: [f64; TEAMS],
    starts: u64,
    refusals: u64,
    measured_ms: u64,
}

struct Simulation {
    way: Way,
    rng: SmallRng,
    entries: Vec<Entry>,
    runs: Vec<Run>,
    totals: Totals,
}

impl Simulation {
    fn new(way: Way) -> Self {
        let entry = Entry { caps: [u32::MAX; TEAMS], ..Entry::default() };
        let entries = vec![entry; ENTRIES];
        let (rng, totals) = (SmallRng::seed_from_u64(11), Totals::default());
        Self { way, rng, entries, runs: Vec::new(), totals }
    }

    fn arrive(&mut self, spread: Spread) {
        let rate_per_ms = 2.0 * f64::from(SLOTS) * BACKENDS as f64 / RUN_MEAN_MS;
        let mut arrivals = rate_per_ms as usize;
        arrivals += usize::from(self.rng.random_bool(rate_per_ms.fract()));
        for _ in 0..arrivals {
            let team = self.rng.random_range(0..TEAMS);
            let entry = match (spread, team) {
                (Spread::LargeAtOne, 0) | (Spread::AllAtOne, _) => 0,
                _ => self.rng.random_range(0..ENTRIES),
            };
            self.entries[entry].waiting[team] += 1;
        }
    }

    fn end_runs(&mut self, now_ms: u64) {
        let entries = &mut self.entries;
        self.runs.retain(|run| {
            let over = run.end_ms <= now_ms;
            if over {
                entries[run.entry].running[run.team] -= 1;
                entries[run.entry].at_backend[run.backend] -= 1;
            }
            !over
        });
    }

    fn busy(&self, backend: usize) -> u32 {
        self.entries.iter().map(|entry| entry.at_backend[backend]).sum()
    }

    /// Each entry instance learns what the others ran, and its teams' parts of the slots.
    fn report(&mut self) {
        for backend in 0..BACKENDS {
            let busy = self.busy(backend);
            for entry in &mut self.entries {
                entry.others[backend] = busy - entry.at_backend[backend];
            }
        }
        if matches!(self.way, Way::RefusalCapped | Way::ReportedCapped) {
            self.cap();
        }
    }

    fn cap(&mut self) {
        let wanted = |entry: &Entry, team: usize| entry.waiting[team] + entry.running[team];
        let demand: [u32; TEAMS] =
            std::array::from_fn(|team| self.entries.iter().map(|entry| wanted(entry, team)).sum());
        let targets = water_fill(demand, f64::from(SLOTS) * BACKENDS as f64);
        for entry in &mut self.entries {
            for team in 0..TEAMS {
                let part = f64::from(wanted(entry, team)) / f64::from(demand[team].max(1));
                entry.caps[team] = (targets[team] * part).ceil() as u32;
            }
        }
    }

    fn may_use(&self, index: usize, backend: usize, now_ms: u64) -> bool {
        let entry = &self.entries[index];
        let own = entry.at_backend[backend];
        match self.way {
            Way::Split => {
                own < (SLOTS + (index + backend) as u32 % ENTRIES as u32) / ENTRIES as u32
            }
            Way::Home => backend % ENTRIES == index && own < SLOTS,
            Way::Reported | Way::ReportedCapped => {
                own + entry.others[backend] < SLOTS && entry.held_until[backend] <= now_ms
            }
            Way::Refusal | Way::RefusalCapped => own < SLOTS && entry.held_until[backend] <= now_ms,
        }
    }

    /// The team whose turn it is: the one that has used least for its weight.
    fn turn(&self, index: usize) -> Option<usize> {
        let entry = &self.entries[index];
        let ready =
            |team: &usize| entry.waiting[*team] > 0 && entry.running[*team] < entry.caps[*team];
        let used = |team: &usize| entry.used_ms[*team] / WEIGHTS[*team];
        (0..TEAMS).filter(ready).min_by(|one, other| used(one).total_cmp(&used(other)))
    }

    fn choose(&mut self, index: usize, now_ms: u64) -> Option<usize> {
        let open: Vec<usize> =
            (0..BACKENDS).filter(|backend| self.may_use(index, *backend, now_ms)).collect();
        if open.is_empty() {
            return None;
        }
        let one = open[self.rng.random_range(0..open.len())];
        let other = open[self.rng.random_range(0..open.len())];
        let entry = &self.entries[index];
        let load = |backend: usize| entry.at_backend[backend] + entry.others[backend];
        Some(if load(one) <= load(other) { one } else { other })
    }

    fn start(&mut self, index: usize, now_ms: u64) {
        let mut tries = 0;
        while let Some(team) = self.turn(index) {
            let Some(backend) = self.choose(index, now_ms) else {
                return;
            };
            if self.busy(backend) >= SLOTS {
                self.totals.refusals += 1;
                self.entries[index].held_until[backend] = now_ms + HOLD_MS;
                tries += 1;
                if tries >= TRIES {
                    return;
                }
                continue;
            }
            tries = 0;
            let run_ms = -RUN_MEAN_MS * (1.0 - self.rng.random::<f64>()).ln();
            let end_ms = now_ms + (run_ms.round() as u64).max(1);
            let entry = &mut self.entries[index];
            entry.waiting[team] -= 1;
            entry.running[team] += 1;
            entry.at_backend[backend] += 1;
            entry.used_ms[team] += run_ms;
            self.runs.push(Run { entry: index, team, backend, end_ms });
            self.totals.starts += 1;
        }
    }

    fn run(&mut self, spread: Spread) {
        for now_ms in 0..LENGTH_MS {
            self.end_runs(now_ms);
            self.arrive(spread);
            if now_ms % REPORT_MS == 0 {
                self.report();
            }
            let first = self.rng.random_range(0..ENTRIES);
            (0..ENTRIES).for_each(|offset| self.start((first + offset) % ENTRIES, now_ms));
            if now_ms == WARM_UP_MS {
                self.totals = Totals::default();
            }
            for run in &self.runs {
                self.totals.busy_ms[run.team] += 1.0;
            }
            self.totals.measured_ms += 1;
        }
    }
}

/// Weighted max-min shares of `capacity` for teams that want `demand`.
fn water_fill(demand: [u32; TEAMS], capacity: f64) -> [f64; TEAMS] {
    let mut shares = [0.0; TEAMS];
    let mut open: Vec<usize> = (0..TEAMS).collect();
    let mut left = capacity;
    while !open.is_empty() {
        let weight: f64 = open.iter().map(|team| WEIGHTS[*team]).sum();
        let level = left / weight;
        let (full, rest): (Vec<usize>, Vec<usize>) =
            open.iter().partition(|team| f64::from(demand[**team]) <= level * WEIGHTS[**team]);
        if full.is_empty() {
            rest.iter().for_each(|team| shares[*team] = level * WEIGHTS[*team]);
            return shares;
        }
        for team in full {
            shares[team] = f64::from(demand[team]);
            left -= shares[team];
        }
        open = rest;
    }
    shares
}

fn main() {
    println!(
        "| callers | way | slots in use | refusals per start | share of large (target 75 %) |"
    );
    println!("|---|---|---|---|---|");
    for (spread_name, spread) in SPREADS {
        for (way_name, way) in WAYS {
            let mut simulation = Simulation::new(way);
            simulation.run(spread);
            let totals = &simulation.totals;
            let busy_ms: f64 = totals.busy_ms.iter().sum();
            let capacity_ms = f64::from(SLOTS) * BACKENDS as f64 * totals.measured_ms as f64;
            println!(
                "| {spread_name} | {way_name} | {:.1} % | {:.3} | {:.1} % |",
                100.0 * busy_ms / capacity_ms,
                totals.refusals as f64 / totals.starts as f64,
                100.0 * totals.busy_ms[0] / busy_ms,
            );
        }
    }
}
