//! Compares policies for sharing the slots of backend servers between entry instances, in a
//! simulation with steps of one millisecond and a fixed seed.
//!
//! Ten backend servers with eight slots each, seven entry instances, and twice as many requests as
//! the slots can run. Team `large` has weight 3 and team `small` weight 1.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 7;
const BACKENDS: usize = 10;
const SLOTS: u32 = 8;
const TEAMS: usize = 2;
const WEIGHTS: [f64; TEAMS] = [3.0, 1.0];
const RUN_MEAN_MS: f64 = 50.0;
const REPORT_INTERVAL_MS: u64 = 200;
const BACKOFF_MS: u64 = 20;
const WARM_UP_MS: u64 = 2_000;
const DURATION_MS: u64 = 20_000;
/// Maximum number of consecutive refusals before an entry instance waits for the next step.
const TRIES_MAX: usize = 3;

/// How an entry instance decides whether it may use a slot of a backend server.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SharingPolicy {
    /// Each entry instance has a fixed part of each backend server's slots.
    Split,
    /// Each backend server receives requests from one entry instance only.
    Home,
    /// Two random choices by reported load; backend servers reported as full are excluded.
    Reported,
    /// Two random choices by reported load; only refusals show that a backend server is full.
    Refusal,
    /// As `Refusal`, and each team is capped to its share of the slots at each entry instance.
    RefusalCapped,
    /// As `Reported`, and each team is capped to its share of the slots at each entry instance.
    ReportedCapped,
}

const SHARING_POLICIES: [(&str, SharingPolicy); 6] = [
    ("split by entry", SharingPolicy::Split),
    ("home entry", SharingPolicy::Home),
    ("two choices, reported full left out", SharingPolicy::Reported),
    ("two choices, refusal as guard", SharingPolicy::Refusal),
    ("two choices, reported, capped shares", SharingPolicy::ReportedCapped),
    ("two choices, refusal, capped shares", SharingPolicy::RefusalCapped),
];

/// Entry instances that the callers of each team use.
#[derive(Clone, Copy)]
enum CallerSpread {
    Even,
    LargeAtOne,
    AllAtOne,
}

const CALLER_SPREADS: [(&str, CallerSpread); 3] = [
    ("even", CallerSpread::Even),
    ("large team at one entry", CallerSpread::LargeAtOne),
    ("all callers at one entry", CallerSpread::AllAtOne),
];

#[derive(Clone, Default)]
struct Entry {
    waiting: [u32; TEAMS],
    running: [u32; TEAMS],
    used_ms: [f64; TEAMS],
    at_backend: [u32; BACKENDS],
    others: [u32; BACKENDS],
    backoff_until_ms: [u64; BACKENDS],
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
    policy: SharingPolicy,
    rng: SmallRng,
    entries: Vec<Entry>,
    runs: Vec<Run>,
    totals: Totals,
}

impl Simulation {
    fn new(policy: SharingPolicy) -> Self {
        let entry = Entry { caps: [u32::MAX; TEAMS], ..Entry::default() };
        let entries = vec![entry; ENTRIES];
        let (rng, totals) = (SmallRng::seed_from_u64(11), Totals::default());
        Self { policy, rng, entries, runs: Vec::new(), totals }
    }

    fn arrive(&mut self, caller_spread: CallerSpread) {
        let rate_per_ms = 2.0 * f64::from(SLOTS) * BACKENDS as f64 / RUN_MEAN_MS;
        let mut arrivals = rate_per_ms as usize;
        arrivals += usize::from(self.rng.random_bool(rate_per_ms.fract()));
        for _ in 0..arrivals {
            let team = self.rng.random_range(0..TEAMS);
            let entry = match (caller_spread, team) {
                (CallerSpread::LargeAtOne, 0) | (CallerSpread::AllAtOne, _) => 0,
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

    /// Reports the load of the others to each entry instance, and updates the caps of its teams.
    fn report(&mut self) {
        for backend in 0..BACKENDS {
            let busy = self.busy(backend);
            for entry in &mut self.entries {
                entry.others[backend] = busy - entry.at_backend[backend];
            }
        }
        if matches!(self.policy, SharingPolicy::RefusalCapped | SharingPolicy::ReportedCapped) {
            self.update_caps();
        }
    }

    fn update_caps(&mut self) {
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
        match self.policy {
            SharingPolicy::Split => {
                own < (SLOTS + (index + backend) as u32 % ENTRIES as u32) / ENTRIES as u32
            }
            SharingPolicy::Home => backend % ENTRIES == index && own < SLOTS,
            SharingPolicy::Reported | SharingPolicy::ReportedCapped => {
                own + entry.others[backend] < SLOTS && entry.backoff_until_ms[backend] <= now_ms
            }
            SharingPolicy::Refusal | SharingPolicy::RefusalCapped => {
                own < SLOTS && entry.backoff_until_ms[backend] <= now_ms
            }
        }
    }

    /// Returns the team with the lowest slot time for its weight that may start a request.
    fn next_team(&self, index: usize) -> Option<usize> {
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
        while let Some(team) = self.next_team(index) {
            let Some(backend) = self.choose(index, now_ms) else {
                return;
            };
            if self.busy(backend) >= SLOTS {
                self.totals.refusals += 1;
                self.entries[index].backoff_until_ms[backend] = now_ms + BACKOFF_MS;
                tries += 1;
                if tries >= TRIES_MAX {
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

    fn run(&mut self, caller_spread: CallerSpread) {
        for now_ms in 0..DURATION_MS {
            self.end_runs(now_ms);
            self.arrive(caller_spread);
            if now_ms % REPORT_INTERVAL_MS == 0 {
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

/// Weighted max-min fair shares of `capacity` for teams with the given `demand`.
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
    for (spread_name, caller_spread) in CALLER_SPREADS {
        for (policy_name, policy) in SHARING_POLICIES {
            let mut simulation = Simulation::new(policy);
            simulation.run(caller_spread);
            let totals = &simulation.totals;
            let busy_ms: f64 = totals.busy_ms.iter().sum();
            let capacity_ms = f64::from(SLOTS) * BACKENDS as f64 * totals.measured_ms as f64;
            println!(
                "| {spread_name} | {policy_name} | {:.1} % | {:.3} | {:.1} % |",
                100.0 * busy_ms / capacity_ms,
                totals.refusals as f64 / totals.starts as f64,
                100.0 * totals.busy_ms[0] / busy_ms,
            );
        }
    }
}
