//! Choice of a backend server for one request.

use cassiafold_config::{Config, Instance, InstanceState, ServiceId, ZoneId};
use rand::RngExt;

/// Chooses a backend server of `service`, in `home` where one takes new work there.
pub fn choose<'a>(
    config: &Config,
    instances: &'a [Instance],
    service: &ServiceId,
    home: &ZoneId,
) -> Option<&'a Instance> {
    let candidates: Vec<&Instance> =
        instances.iter().filter(|instance| takes_work(config, instance, service)).collect();
    let near: Vec<&Instance> =
        candidates.iter().copied().filter(|instance| instance.zone == *home).collect();
    let choices = if near.is_empty() { candidates } else { near };
    if choices.is_empty() {
        return None;
    }
    let index = rand::rng().random_range(0..choices.len());
    Some(choices[index])
}

fn takes_work(config: &Config, instance: &Instance, service: &ServiceId) -> bool {
    instance.state == InstanceState::Live
        && config.zone_open(&instance.zone)
        && config.service_of_pool(&instance.pool) == Some(service)
}
