//! How many machines each service should have, and which machines move.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId};
use cassiafold_platform::Moment;

/// Part of a machine's processors that short tasks can fill.
const USABLE_PART: f64 = 0.9;
/// Time within which waiting work should be done, in seconds.
const BACKLOG_TIME_S: f64 = 1.5;
/// Machines that a service keeps beyond its need.
pub const SURPLUS_MACHINES: usize = 1;

/// What a service asks of its machines, in cores.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Rate at which work arrives.
    pub arriving: f64,
    /// Short tasks that run.
    pub running: f64,
    /// Work of short tasks that wait, in core-seconds.
    pub waiting_core_s: f64,
    /// Long-running tasks.
    pub long_running: f64,
    /// Rate at which work will arrive when a machine that is ordered now has come.
    pub expected: f64,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { arriving, running, waiting_core_s, long_running, expected } = self;
        write!(f, "{arriving:.0} arriving {running:.0} running {waiting_core_s:.0} waiting ")?;
        write!(f, "{long_running:.0} long {expected:.0} expected")
    }
}

impl Load {
    /// Cores that serve this load without a lasting queue.
    ///
    /// Answers the load pattern of a turn: the rate decides, and what has queued up before the
    /// machines came is worked off within a second or two.
    pub fn cores(&self) -> f64 {
        let rate = self.arriving.max(self.running).max(self.expected);
        self.long_running + (rate + self.waiting_core_s / BACKLOG_TIME_S) / USABLE_PART
    }
}

/// How long a need counts after it was last seen, before machines go to the spare pool.
const NEED_MEMORY: Duration = Duration::from_millis(2_500);

/// The same while demand falls.
const FALLING_MEMORY: Duration = Duration::from_millis(500);

/// The greatest need of a service within the last seconds.
///
/// Answers the load pattern of demand that dips for a moment within a turn: machines that would
/// be wanted back at once stay.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeakNeed {
    seen: VecDeque<(Moment, usize)>,
    /// Whether demand has been seen to fall.
    has_fallen: bool,
}

impl PeakNeed {
    /// Notes a need and returns the greatest one that still counts; while demand falls, fewer of
    /// the earlier ones do.
    pub fn record(&mut self, needed: usize, is_falling: bool, now: Moment) -> usize {
        self.seen.push_back((now, needed));
        while self.seen.front().is_some_and(|(at, _)| now >= *at + NEED_MEMORY) {
            self.seen.pop_front();
        }
        self.has_fallen |= is_falling;
        let memory = if is_falling { FALLING_MEMORY } else { NEED_MEMORY };
        let counting = self.seen.iter().filter(|(at, _)| now < *at + memory);
        counting.map(|(_, needed)| *needed).max().unwrap_or(needed)
    }

    /// Whether demand has been seen to fall since the first need was noted.
    ///
    /// Answers the load pattern of demand that has not come yet: the machines that a service was
    /// given at first are all that it has when it comes.
    pub fn has_fallen(&self) -> bool {
        self.has_fallen
    }
}

/// A service and its machines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pool {
    /// Whether its machines are off.
    pub is_spare: bool,
    /// Whether it may lose machines to the spare pool; to a service that wants them it always
    /// may.
    pub may_shrink: bool,
    /// Machines that it will have once all orders are carried out.
    pub machines: usize,
    /// Machines that can leave at once: nothing runs there.
    pub idle: Vec<InstanceId>,
    /// Machines that it needs.
    pub needed: usize,
    /// What it asks of them.
    pub load: Load,
}

/// A machine that moves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The machine.
    pub machine: InstanceId,
    /// Service that it moves to.
    pub service: ServiceId,
}

/// Number of machines of `cores_each` that give `cores`.
pub fn machines_for(cores: f64, cores_each: f64) -> usize {
    if cores_each <= 0.0 {
        return 0;
    }
    (cores / cores_each).ceil().max(0.0) as usize
}

/// Chooses the moves that bring machines to where they are needed, and idle ones to the spare
/// pool.
///
/// Answers the load pattern of services that ask in turn for more than they have: the one with
/// the greatest want is served first, from the spare pool before others' idle machines. At most
/// `moves_max` are chosen.
pub fn choose_moves(pools: &BTreeMap<ServiceId, Pool>, moves_max: usize) -> Vec<Move> {
    let mut pools = pools.clone();
    let mut moves = Vec::new();
    while moves.len() < moves_max
        && let Some(service) = most_wanting(&pools)
    {
        let Some(donor) = donor(&pools, &service) else { break };
        moves.extend(shift(&mut pools, &donor, &service));
    }
    let Some(spare) = spare_of(&pools) else { return moves };
    while moves.len() < moves_max
        && let Some(donor) = most_idle(&pools)
    {
        moves.extend(shift(&mut pools, &donor, &spare));
    }
    moves
}

fn most_wanting(pools: &BTreeMap<ServiceId, Pool>) -> Option<ServiceId> {
    let wanting = pools.iter().filter(|(_, pool)| !pool.is_spare && pool.machines < pool.needed);
    let most = wanting.max_by_key(|(_, pool)| pool.needed - pool.machines);
    most.map(|(service, _)| service.clone())
}

fn donor(pools: &BTreeMap<ServiceId, Pool>, to: &ServiceId) -> Option<ServiceId> {
    let spare = pools.iter().find(|(_, pool)| pool.is_spare && !pool.idle.is_empty());
    if let Some((service, _)) = spare {
        return Some(service.clone());
    }
    let giving = pools.iter().filter(|(service, pool)| *service != to && has_surplus(pool));
    let most = giving.max_by_key(|(_, pool)| (pool.may_shrink, pool.machines - pool.needed));
    most.map(|(service, _)| service.clone())
}

fn has_surplus(pool: &Pool) -> bool {
    !pool.is_spare && !pool.idle.is_empty() && pool.machines > pool.needed + SURPLUS_MACHINES
}

fn most_idle(pools: &BTreeMap<ServiceId, Pool>) -> Option<ServiceId> {
    let giving = pools.iter().filter(|(_, pool)| pool.may_shrink && has_surplus(pool));
    let most = giving.max_by_key(|(_, pool)| pool.machines - pool.needed);
    most.map(|(service, _)| service.clone())
}

fn spare_of(pools: &BTreeMap<ServiceId, Pool>) -> Option<ServiceId> {
    pools.iter().find(|(_, pool)| pool.is_spare).map(|(service, _)| service.clone())
}

fn shift(pools: &mut BTreeMap<ServiceId, Pool>, from: &ServiceId, to: &ServiceId) -> Option<Move> {
    let giving = pools.get_mut(from)?;
    let machine = giving.idle.pop()?;
    giving.machines = giving.machines.saturating_sub(1);
    pools.get_mut(to)?.machines += 1;
    Some(Move { machine, service: to.clone() })
}
