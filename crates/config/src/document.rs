//! Validated form of the operators' versioned configuration.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::error::Faults;
use crate::id::{
    ANONYMOUS_TEAM, PoolId, RegionId, ServiceId, TeamId, Version, WaveId, ZoneId, check_id,
};
use crate::key::{KeyHash, KeyPrefix};
use crate::raw::{
    RawBlackout, RawChange, RawConfig, RawPool, RawService, RawTeam, RawWave, RawZone,
};

/// One version of the operators' configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// Version number.
    pub version: Version,
    /// Identifies the write that stored this version.
    pub write_id: String,
    /// Availability zones by id.
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Pools by id.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Teams by id.
    pub teams: BTreeMap<TeamId, Team>,
    /// Maintenance waves by id.
    pub waves: BTreeMap<WaveId, Wave>,
    /// Author, time and patch of this version, if recorded.
    pub change: Option<RawChange>,
    /// Key hashes with their teams, indexed by hash prefix.
    key_index: HashMap<KeyPrefix, Vec<(KeyHash, TeamId)>>,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// Region of the zone.
    pub region: RegionId,
    /// Whether operators have taken the zone out of service.
    pub out: bool,
}

/// Minimum number of available instances of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Floor {
    /// A number of instances.
    Count(u32),
    /// A fraction of the pool's instances, from 0 to 1; the resulting number is rounded up.
    Share(f64),
}

impl Floor {
    /// Returns how many of `total` instances must stay available.
    pub fn instances(self, total: usize) -> usize {
        match self {
            Self::Count(count) => count as usize,
            Self::Share(share) => (share * total as f64).ceil() as usize,
        }
    }
}

/// A service and its queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Whether the queue accepts requests without a key.
    pub open: bool,
    /// Minimum number of available instances.
    pub floor: Floor,
    /// Maximum number of requests that one instance runs concurrently.
    pub slots_per_instance: u32,
    /// Maximum number of connections to one instance.
    pub connections_per_instance: u32,
    /// Maximum number of queued requests of one team at one entry instance.
    pub queue_length_max: u32,
    /// Deadline of a request that does not set one.
    pub deadline_default: Duration,
    /// Longest deadline that a caller may request.
    pub deadline_max: Duration,
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: u64,
}

/// A pool of instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Service that the pool serves; `None` for a spare pool.
    pub service: Option<ServiceId>,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Weight of the team when all capacity is in use.
    pub share: u32,
    /// Maximum number of the team's requests and tasks that run concurrently across the fleet.
    pub upper_limit: u32,
    /// Hashes of the team's keys.
    pub key_hashes: Vec<KeyHash>,
}

/// A maintenance wave over availability zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Zones, in the order of their maintenance.
    pub zones: Vec<ZoneId>,
    /// Pools to maintain; an empty list selects all pools.
    pub pools: Vec<PoolId>,
    /// Whether operators have paused the wave.
    pub paused: bool,
    /// Earliest start of the wave.
    pub start: SystemTime,
    /// Time by which the wave should be complete.
    pub deadline: SystemTime,
    /// Maximum time to wait for a drain.
    pub drain_max: Duration,
    /// Weekly periods in which no maintenance step starts.
    pub blackouts: Vec<Blackout>,
}

/// Hours of one weekday in which no maintenance step starts, in UTC.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Blackout {
    /// Day of the week; 0 is Monday.
    pub weekday: u8,
    /// First hour, from 0 to 23.
    pub from_hour: u8,
    /// Hour at which the blackout ends, from 1 to 24.
    pub to_hour: u8,
}

/// Names of the days of the week, Monday first.
pub(crate) const WEEKDAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

impl Config {
    /// Returns the team that owns `key`.
    pub fn team_for_key(&self, key: &str) -> Option<&TeamId> {
        let hash = KeyHash::of(key);
        let candidates = self.key_index.get(&hash.prefix())?;
        candidates.iter().find(|(known, _)| *known == hash).map(|(_, team)| team)
    }

    /// Returns whether work may start in `zone`: it is configured and not out of service.
    pub fn zone_open(&self, zone: &ZoneId) -> bool {
        self.zones.get(zone).is_some_and(|zone| !zone.out)
    }

    /// Returns the service that `pool` serves.
    pub fn service_of_pool(&self, pool: &PoolId) -> Option<&ServiceId> {
        self.pools.get(pool)?.service.as_ref()
    }
}

impl TryFrom<RawConfig> for Config {
    type Error = Faults;

    fn try_from(raw: RawConfig) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        if raw.version == 0 {
            faults.push("version", "must be at least 1");
        }
        check_ids(&raw, &mut faults);
        let zones = raw.zones.into_iter().map(|(id, zone)| (id, Zone::from(zone))).collect();
        let services = check_services(raw.services, &mut faults);
        let pools = check_pools(raw.pools, &services, &mut faults);
        let (teams, key_index) = check_teams(raw.teams, &mut faults);
        let waves = check_waves(raw.waves, &zones, &pools, &mut faults);
        let (version, write_id) = (raw.version, raw.write_id);
        let change = raw.change;
        let config =
            Self { version, write_id, zones, services, pools, teams, waves, change, key_index };
        faults.into_result(config)
    }
}

impl From<RawZone> for Zone {
    fn from(raw: RawZone) -> Self {
        Self { region: raw.region, out: raw.out }
    }
}

fn check_ids(raw: &RawConfig, faults: &mut Faults) {
    for (id, zone) in &raw.zones {
        check_id(&format!("zones.{id}"), id, faults);
        check_id(&format!("zones.{id}.region"), &zone.region, faults);
    }
    for id in raw.services.keys() {
        check_id(&format!("services.{id}"), id, faults);
    }
    for id in raw.pools.keys() {
        check_id(&format!("pools.{id}"), id, faults);
    }
    for id in raw.teams.keys() {
        check_id(&format!("teams.{id}"), id, faults);
    }
    for id in raw.waves.keys() {
        check_id(&format!("waves.{id}"), id, faults);
    }
}

fn check_services(
    raw: BTreeMap<ServiceId, RawService>,
    faults: &mut Faults,
) -> BTreeMap<ServiceId, Service> {
    let check = |(id, service): (ServiceId, RawService)| {
        let path = format!("services.{id}");
        let service = check_service(&path, service, faults);
        (id, service)
    };
    raw.into_iter().map(check).collect()
}

fn check_service(path: &str, raw: RawService, faults: &mut Faults) -> Service {
    let floor = check_floor(path, raw.floor_count, raw.floor_share, faults);
    if raw.slots_per_instance == 0 {
        faults.push(format!("{path}.slots_per_instance"), "must be at least 1");
    }
    if raw.connections_per_instance < raw.slots_per_instance {
        let message = "must be at least slots_per_instance";
        let related = format!("{path}.slots_per_instance");
        faults.push_related(format!("{path}.connections_per_instance"), related, message);
    }
    if raw.deadline_default_ms == 0 {
        faults.push(format!("{path}.deadline_default_ms"), "must be at least 1");
    }
    if raw.deadline_default_ms > raw.deadline_max_ms {
        let message = "must be at most deadline_max_ms";
        let related = format!("{path}.deadline_max_ms");
        faults.push_related(format!("{path}.deadline_default_ms"), related, message);
    }
    Service {
        open: raw.open,
        floor,
        slots_per_instance: raw.slots_per_instance,
        connections_per_instance: raw.connections_per_instance,
        queue_length_max: raw.queue_length_max,
        deadline_default: Duration::from_millis(raw.deadline_default_ms),
        deadline_max: Duration::from_millis(raw.deadline_max_ms),
        body_max_bytes: raw.body_max_bytes,
    }
}

fn check_floor(path: &str, count: Option<u32>, share: Option<f64>, faults: &mut Faults) -> Floor {
    match (count, share) {
        (Some(count), None) => Floor::Count(count),
        (None, Some(share)) if (0.0..=1.0).contains(&share) => Floor::Share(share),
        (None, Some(_)) => {
            faults.push(format!("{path}.floor_share"), "must be from 0 to 1");
            Floor::Share(1.0)
        }
        _ => {
            faults.push(path, "needs either floor_count or floor_share");
            Floor::Share(1.0)
        }
    }
}

fn check_pools(
    raw: BTreeMap<PoolId, RawPool>,
    services: &BTreeMap<ServiceId, Service>,
    faults: &mut Faults,
) -> BTreeMap<PoolId, Pool> {
    for (id, pool) in &raw {
        if let Some(service) = &pool.service
            && !services.contains_key(service)
        {
            let message = format!("no service named {service}");
            faults.push_related(format!("pools.{id}.service"), "services", message);
        }
    }
    raw.into_iter().map(|(id, pool)| (id, Pool { service: pool.service })).collect()
}

type KeyIndex = HashMap<KeyPrefix, Vec<(KeyHash, TeamId)>>;

fn check_teams(
    raw: BTreeMap<TeamId, RawTeam>,
    faults: &mut Faults,
) -> (BTreeMap<TeamId, Team>, KeyIndex) {
    let mut teams = BTreeMap::new();
    let mut key_index = KeyIndex::new();
    for (id, team) in raw {
        let path = format!("teams.{id}");
        if &*id == ANONYMOUS_TEAM {
            faults.push(path.clone(), "this id is reserved for work without a key");
        }
        if team.share == 0 {
            faults.push(format!("{path}.share"), "must be at least 1");
        }
        let mut key_hashes = Vec::new();
        for (index, text) in team.key_hashes.iter().enumerate() {
            let key_path = format!("{path}.key_hashes[{index}]");
            let Some(hash) = KeyHash::from_hex(text) else {
                faults.push(key_path, "must be 64 hexadecimal digits");
                continue;
            };
            let known = key_index.entry(hash.prefix()).or_default();
            if known.iter().any(|(other, _)| *other == hash) {
                faults.push(key_path, "is granted twice");
            }
            known.push((hash, id.clone()));
            key_hashes.push(hash);
        }
        let (share, upper_limit) = (team.share, team.upper_limit);
        teams.insert(id, Team { share, upper_limit, key_hashes });
    }
    (teams, key_index)
}

fn check_waves(
    raw: BTreeMap<WaveId, RawWave>,
    zones: &BTreeMap<ZoneId, Zone>,
    pools: &BTreeMap<PoolId, Pool>,
    faults: &mut Faults,
) -> BTreeMap<WaveId, Wave> {
    let check = |(id, wave): (WaveId, RawWave)| {
        let path = format!("waves.{id}");
        for zone in wave.zones.iter().filter(|zone| !zones.contains_key(*zone)) {
            let message = format!("no zone named {zone}");
            faults.push_related(format!("{path}.zones"), "zones", message);
        }
        for pool in wave.pools.iter().filter(|pool| !pools.contains_key(*pool)) {
            let message = format!("no pool named {pool}");
            faults.push_related(format!("{path}.pools"), "pools", message);
        }
        if wave.deadline_unix_s <= wave.start_unix_s {
            let related = format!("{path}.start_unix_s");
            let message = "must be after start_unix_s";
            faults.push_related(format!("{path}.deadline_unix_s"), related, message);
        }
        let blackouts = check_blackouts(&path, &wave.blackouts, faults);
        let wave = Wave {
            zones: wave.zones,
            pools: wave.pools,
            paused: wave.paused,
            start: UNIX_EPOCH + Duration::from_secs(wave.start_unix_s),
            deadline: UNIX_EPOCH + Duration::from_secs(wave.deadline_unix_s),
            drain_max: Duration::from_millis(wave.drain_max_ms),
            blackouts,
        };
        (id, wave)
    };
    raw.into_iter().map(check).collect()
}

fn check_blackouts(path: &str, raw: &[RawBlackout], faults: &mut Faults) -> Vec<Blackout> {
    let mut blackouts = Vec::new();
    for (index, blackout) in raw.iter().enumerate() {
        let path = format!("{path}.blackouts[{index}]");
        let Some(weekday) = WEEKDAYS.iter().position(|day| *day == blackout.weekday) else {
            faults.push(format!("{path}.weekday"), "must be one of mon to sun");
            continue;
        };
        if blackout.from_hour >= blackout.to_hour || blackout.to_hour > 24 {
            faults.push(path, "from_hour must be below to_hour, and to_hour at most 24");
            continue;
        }
        let (from_hour, to_hour) = (blackout.from_hour, blackout.to_hour);
        blackouts.push(Blackout { weekday: weekday as u8, from_hour, to_hour });
    }
    blackouts
}
