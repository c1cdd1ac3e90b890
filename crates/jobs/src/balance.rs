//! Number of machines that each service needs, and the choice of machines to move.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId};
use cassiafold_platform::Moment;

/// Part of a machine's CPU that short tasks can use.
const USABLE_PART: f64 = 0.9;
/// Time within which waiting work is to be done, in seconds.
const BACKLOG_TIME_S: f64 = 1.5;
/// Machines that a service keeps beyond its need.
pub const SURPLUS_MACHINES: usize = 1;

/// Load of a service, in cores unless the field says otherwise.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Arrival rate of work.
    pub arriving: f64,
    /// Running short tasks.
    pub running: f64,
    /// Work of waiting short tasks, in core-seconds.
    pub waiting_core_s: f64,
    /// Part of `waiting_core_s` that belongs to jobs that can't meet their objective any more.
    pub late_core_s: f64,
    /// Long-running tasks.
    pub long_running: f64,
    /// Predicted arrival rate of work when a machine that is commanded now becomes available.
    pub expected: f64,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { arriving, running, waiting_core_s, late_core_s, long_running, expected } = self;
        write!(f, "{arriving:.0} arriving {running:.0} running {waiting_core_s:.0} waiting ")?;
        write!(f, "{late_core_s:.0} late ")?;
        write!(f, "{long_running:.0} long {expected:.0} expected")
    }
}

impl Load {
    /// Cores that serve this load without a lasting queue.
    ///
    /// The arrival rate decides. What queued up before the machines became available is done within
    /// a second or two.
    pub fn cores(&self) -> f64 {
        let rate = self.arriving.max(self.running).max(self.expected);
        self.long_running + cores_for(rate, self.waiting_core_s)
    }
}

/// Cores that serve short tasks that arrive at `rate`, and do what waits within a second or two.
pub fn cores_for(rate: f64, waiting_core_s: f64) -> f64 {
    (rate + waiting_core_s / BACKLOG_TIME_S) / USABLE_PART
}

/// How long a past need counts before machines go to the spare pool.
const NEED_RETENTION: Duration = Duration::from_millis(2_500);

/// How long a past need counts while demand falls.
const FALLING_NEED_RETENTION: Duration = Duration::from_millis(500);

/// Greatest need of a service in the last seconds.
///
/// Keeps the machines through a short dip of the demand, since they would be needed again at once.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeakNeed {
    needs: VecDeque<(Moment, usize)>,
    /// Greatest need that was recorded.
    highest: usize,
    /// Whether a peak of the demand is over.
    has_fallen: bool,
}

impl PeakNeed {
    /// Records a need and returns the greatest one that still counts. While demand falls, past
    /// needs count for a shorter time.
    pub fn record(&mut self, needed: usize, is_falling: bool, now: Moment) -> usize {
        self.needs.push_back((now, needed));
        self.highest = self.highest.max(needed);
        while self.needs.front().is_some_and(|(at, _)| now >= *at + NEED_RETENTION) {
            self.needs.pop_front();
        }
        let retention = if is_falling { FALLING_NEED_RETENTION } else { NEED_RETENTION };
        let counted = self.needs.iter().filter(|(at, _)| now < *at + retention);
        counted.map(|(_, needed)| *needed).max().unwrap_or(needed)
    }

    /// Notes that demand falls, on a service with this many machines. That ends a peak if at least
    /// half of the machines were needed, or if the fall is clear.
    pub fn note_fall(&mut self, machines: usize, is_clear: bool) {
        self.has_fallen |= is_clear || self.highest >= machines.div_ceil(2);
    }

    /// Whether a peak of the demand is over.
    ///
    /// Before that, demand may not have started yet, and the machines that a service was given
    /// initially are all that it has when demand starts.
    pub fn has_fallen(&self) -> bool {
        self.has_fallen
    }
}

/// A service with its machines and its need.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pool {
    /// Whether its machines are off.
    pub is_spare: bool,
    /// Whether machines may move to the spare pool. They may always move to a service that needs
    /// them.
    pub may_shrink: bool,
    /// Number of machines once all commanded moves are done.
    pub machines: usize,
    /// Machines on which nothing runs, and which can therefore move now.
    pub idle: Vec<InstanceId>,
    /// Number of machines that it needs.
    pub needed: usize,
    /// Load of the service.
    pub load: Load,
}

/// Move of a machine to another service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The machine.
    pub machine: InstanceId,
    /// Service from which it moves.
    pub from: ServiceId,
    /// Service to which it moves.
    pub service: ServiceId,
}

/// Number of machines with `cores_each` cores that provide `cores`.
pub fn machines_for(cores: f64, cores_each: f64) -> usize {
    if cores_each <= 0.0 {
        return 0;
    }
    (cores / cores_each).ceil().max(0.0) as usize
}

/// Chooses the moves of machines to services that need them, and of idle machines to the spare
/// pool; at most `moves_max`.
///
/// The service that lacks most machines comes first. It gets spare machines before idle ones of
/// other services. This suits demand peaks that pass from one service to another.
pub fn choose_moves(pools: &BTreeMap<ServiceId, Pool>, moves_max: usize) -> Vec<Move> {
    let mut pools = pools.clone();
    let mut moves = Vec::new();
    while moves.len() < moves_max
        && let Some(service) = neediest_service(&pools)
    {
        let Some(donor) = donor(&pools, &service) else { break };
        moves.extend(move_machine(&mut pools, &donor, &service));
    }
    let Some(spare) = spare_service(&pools) else { return moves };
    while moves.len() < moves_max
        && let Some(donor) = largest_surplus(&pools)
    {
        moves.extend(move_machine(&mut pools, &donor, &spare));
    }
    moves
}

fn neediest_service(pools: &BTreeMap<ServiceId, Pool>) -> Option<ServiceId> {
    let short = pools.iter().filter(|(_, pool)| !pool.is_spare && pool.machines < pool.needed);
    let most = short.max_by_key(|(_, pool)| pool.needed - pool.machines);
    most.map(|(service, _)| service.clone())
}

fn donor(pools: &BTreeMap<ServiceId, Pool>, to: &ServiceId) -> Option<ServiceId> {
    let spare = pools.iter().find(|(_, pool)| pool.is_spare && !pool.idle.is_empty());
    if let Some((service, _)) = spare {
        return Some(service.clone());
    }
    let donors = pools.iter().filter(|(service, pool)| *service != to && has_surplus(pool));
    let most = donors.max_by_key(|(_, pool)| (pool.may_shrink, pool.machines - pool.needed));
    most.map(|(service, _)| service.clone())
}

fn has_surplus(pool: &Pool) -> bool {
    let kept = pool.needed.saturating_add(SURPLUS_MACHINES);
    !pool.is_spare && !pool.idle.is_empty() && pool.machines > kept
}

fn largest_surplus(pools: &BTreeMap<ServiceId, Pool>) -> Option<ServiceId> {
    let donors = pools.iter().filter(|(_, pool)| pool.may_shrink && has_surplus(pool));
    let most = donors.max_by_key(|(_, pool)| pool.machines - pool.needed);
    most.map(|(service, _)| service.clone())
}

fn spare_service(pools: &BTreeMap<ServiceId, Pool>) -> Option<ServiceId> {
    pools.iter().find(|(_, pool)| pool.is_spare).map(|(service, _)| service.clone())
}

fn move_machine(
    pools: &mut BTreeMap<ServiceId, Pool>,
    from: &ServiceId,
    to: &ServiceId,
) -> Option<Move> {
    let source = pools.get_mut(from)?;
    let machine = source.idle.pop()?;
    source.machines = source.machines.saturating_sub(1);
    pools.get_mut(to)?.machines += 1;
    Some(Move { machine, from: from.clone(), service: to.clone() })
}

/// Number of machines that each service should vacate: it has more than it needs, none of them is
/// idle, and other services lack machines after `moves`.
pub fn machines_to_vacate(
    pools: &BTreeMap<ServiceId, Pool>,
    moves: &[Move],
) -> BTreeMap<ServiceId, usize> {
    let machines_after = |id: &ServiceId, pool: &Pool| {
        let left = moves.iter().filter(|one| one.from == *id).count();
        let joined = moves.iter().filter(|one| one.service == *id).count();
        (pool.machines + joined).saturating_sub(left)
    };
    let in_use = || pools.iter().filter(|(_, pool)| !pool.is_spare);
    let lacks =
        |(id, pool): (&ServiceId, &Pool)| pool.needed.saturating_sub(machines_after(id, pool));
    let mut lacking: usize = in_use().map(lacks).sum();
    let mut surplus: Vec<(&ServiceId, usize)> = in_use()
        .map(|(id, pool)| {
            let kept = pool.needed.saturating_add(SURPLUS_MACHINES);
            (id, machines_after(id, pool).saturating_sub(kept))
        })
        .collect();
    surplus.sort_by_key(|(_, surplus)| std::cmp::Reverse(*surplus));
    let mut counts = BTreeMap::new();
    for (id, surplus) in surplus {
        let count = surplus.min(lacking);
        lacking -= count;
        if count > 0 {
            counts.insert(id.clone(), count);
        }
    }
    counts
}
