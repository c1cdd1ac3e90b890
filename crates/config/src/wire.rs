//! Conversion of a validated configuration to its serialized form.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::document::{Blackout, Config, Floor, Service, Team, WEEKDAYS, Wave};
use crate::raw::{RawBlackout, RawConfig, RawPool, RawService, RawTeam, RawWave, RawZone};

impl From<&Config> for RawConfig {
    fn from(config: &Config) -> Self {
        Self {
            version: config.version,
            write_id: config.write_id.clone(),
            zones: map_values(&config.zones, |zone| RawZone {
                region: zone.region.clone(),
                out: zone.out,
            }),
            services: map_values(&config.services, |service| RawService::from(service)),
            pools: map_values(&config.pools, |pool| RawPool { service: pool.service.clone() }),
            teams: map_values(&config.teams, |team| RawTeam::from(team)),
            waves: map_values(&config.waves, |wave| RawWave::from(wave)),
            change: config.change.clone(),
        }
    }
}

fn map_values<K: Ord + Clone, V, W>(from: &BTreeMap<K, V>, f: impl Fn(&V) -> W) -> BTreeMap<K, W> {
    from.iter().map(|(key, value)| (key.clone(), f(value))).collect()
}

impl From<&Service> for RawService {
    fn from(service: &Service) -> Self {
        let (floor_count, floor_share) = match service.floor {
            Floor::Count(count) => (Some(count), None),
            Floor::Share(share) => (None, Some(share)),
        };
        Self {
            open: service.open,
            floor_count,
            floor_share,
            slots_per_instance: service.slots_per_instance,
            connections_per_instance: service.connections_per_instance,
            queue_length_max: service.queue_length_max,
            deadline_default_ms: service.deadline_default.as_millis() as u64,
            deadline_max_ms: service.deadline_max.as_millis() as u64,
            body_max_bytes: service.body_max_bytes,
        }
    }
}

impl From<&Team> for RawTeam {
    fn from(team: &Team) -> Self {
        Self {
            share: team.share,
            upper_limit: team.upper_limit,
            key_hashes: team.key_hashes.iter().map(|hash| hash.to_hex()).collect(),
        }
    }
}

impl From<&Wave> for RawWave {
    fn from(wave: &Wave) -> Self {
        let unix_s = |time: SystemTime| {
            time.duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs())
        };
        Self {
            zones: wave.zones.clone(),
            pools: wave.pools.clone(),
            paused: wave.paused,
            start_unix_s: unix_s(wave.start),
            deadline_unix_s: unix_s(wave.deadline),
            drain_max_ms: wave.drain_max.as_millis() as u64,
            blackouts: wave.blackouts.iter().map(RawBlackout::from).collect(),
        }
    }
}

impl From<&Blackout> for RawBlackout {
    fn from(blackout: &Blackout) -> Self {
        Self {
            weekday: WEEKDAYS[usize::from(blackout.weekday) % WEEKDAYS.len()].to_owned(),
            from_hour: blackout.from_hour,
            to_hour: blackout.to_hour,
        }
    }
}
