//! Checks a configuration before it is sent: entries that can never match, limits that contradict
//! each other, and differences from the version in force.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Debug;
use std::sync::Arc;

use cassiafold_config::Faults;

use crate::cluster::{ClusterConfig, Queue, Team};

/// What a check found.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigReport {
    /// What must not be sent.
    pub errors: Faults,
    /// What is allowed, but probably not meant.
    pub warnings: Faults,
}

/// Checks a configuration by itself.
pub fn check_config(config: &ClusterConfig) -> ConfigReport {
    let mut report = ConfigReport::default();
    let queues: BTreeMap<_, _> = config.queues.iter().collect();
    for (id, queue) in &queues {
        check_queue(&format!("queue {id}"), queue, config, &mut report);
        let shadows = |other: &Queue| {
            *other.id < *queue.id && other.host == queue.host && other.prefix == queue.prefix
        };
        if let Some(other) = queues.values().find(|other| shadows(other)) {
            let message =
                format!("has the host and the prefix of queue {}: one never matches", other.id);
            report.errors.push(format!("queue {id}"), message);
        }
    }
    for (id, team) in config.teams.iter().collect::<BTreeMap<_, _>>() {
        check_team(&format!("team {id}"), id, team, config, &mut report);
    }
    for (id, service) in config.services.iter().collect::<BTreeMap<_, _>>() {
        if !service.is_spare && !queues.values().any(|queue| queue.service == *id) {
            report.warnings.push(format!("service {id}"), "no queue names it: nothing runs there");
        }
    }
    if config.body_bytes_max == Some(0) {
        report.errors.push("limits", "a largest body of 0 bytes refuses every job");
    }
    report
}

fn check_queue(place: &str, queue: &Queue, config: &ClusterConfig, report: &mut ConfigReport) {
    let (errors, warnings) = (&mut report.errors, &mut report.warnings);
    match config.services.get(&queue.service) {
        None => errors.push(place, format!("service {} is not configured", queue.service)),
        Some(service) if service.is_spare => {
            errors.push(place, format!("the machines of service {} are off", queue.service));
        }
        Some(_) => {}
    }
    if !queue.prefix.starts_with('/') {
        errors
            .push(place, format!("prefix {:?} matches no path: paths begin with /", queue.prefix));
    }
    if queue.host.is_empty() || queue.host.contains([':', '/', ' ']) {
        errors.push(place, format!("host {:?} matches no host name", queue.host));
    }
    if !queue.is_public && config.keys.is_empty() {
        errors.push(place, "it needs a key, and no team has one");
    }
    if queue.placement_policy.is_some_and(|policy| policy.valid_for.is_zero()) {
        errors.push(place, "tickets of its placement policy are never valid");
    }
    if queue.attempts_max == 0 {
        warnings.push(place, "0 attempts count as 1");
    }
    if queue.critical_path_factor < 1.0 {
        warnings.push(place, format!("a factor of {} counts as 1", queue.critical_path_factor));
    }
}

fn check_team(
    place: &str,
    id: &str,
    team: &Team,
    config: &ClusterConfig,
    report: &mut ConfigReport,
) {
    if !config.keys.values().any(|owner| **owner == *id) {
        report.warnings.push(place, "it has no key of its own: nobody can call as it");
    }
    if team.weight.is_nan() || team.weight < 0.0 {
        report.errors.push(place, format!("weight {} is no share", team.weight));
    } else if team.weight == 0.0 {
        report.warnings.push(place, "with a weight of 0 its jobs never exceed its share");
    }
}

/// Describes what a configuration changes in the version in force.
pub fn differences(in_force: &ClusterConfig, new: &ClusterConfig) -> Vec<String> {
    let mut found = Vec::new();
    if new.version <= in_force.version {
        let versions = (new.version, in_force.version);
        found.push(format!("version {} does not follow {} in force", versions.0, versions.1));
    }
    compare("queue", &in_force.queues, &new.queues, &mut found);
    compare("service", &in_force.services, &new.services, &mut found);
    compare("team", &in_force.teams, &new.teams, &mut found);
    let withdrawn = in_force.keys.keys().filter(|key| !new.keys.contains_key(*key)).count();
    let added = new.keys.keys().filter(|key| !in_force.keys.contains_key(*key)).count();
    let moved = in_force
        .keys
        .iter()
        .filter(|(key, team)| new.keys.get(*key).is_some_and(|other| other != *team));
    let keys = [("withdrawn", withdrawn), ("added", added), ("of another team", moved.count())];
    for (change, count) in keys.into_iter().filter(|(_, count)| *count > 0) {
        found.push(format!("keys {change}: {count}"));
    }
    if in_force.body_bytes_max != new.body_bytes_max {
        let (before, after) = (in_force.body_bytes_max, new.body_bytes_max);
        found.push(format!("limits: largest body {before:?} -> {after:?}"));
    }
    found
}

fn compare<T: Debug + PartialEq>(
    kind: &str,
    in_force: &HashMap<Arc<str>, T>,
    new: &HashMap<Arc<str>, T>,
    found: &mut Vec<String>,
) {
    let ids: BTreeSet<_> = in_force.keys().chain(new.keys()).collect();
    for id in ids {
        match (in_force.get(id), new.get(id)) {
            (Some(_), None) => found.push(format!("{kind} {id} removed")),
            (None, Some(_)) => found.push(format!("{kind} {id} added")),
            (Some(before), Some(after)) if before != after => {
                found.push(format!("{kind} {id}: {before:?} -> {after:?}"));
            }
            _ => {}
        }
    }
}
