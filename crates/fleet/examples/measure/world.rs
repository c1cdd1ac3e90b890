//! Synthetic fleets: instances, racks and power feeds. The platform's list does not contain the
//! feeds.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{Config, InstanceId, InstanceState};
use cassiafold_fleet::ListedInstances;
use cassiafold_platform::ListedInstance;

/// Monday, 2026-01-05, 00:00 UTC.
pub const START_UNIX_S: u64 = 1_767_571_200;
/// Days from the start to the deadline of the wave.
const WAVE_DAYS: u64 = 21;
const INSTANCES_PER_RACK: usize = 4;

/// Size and floor share of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    pub name: &'static str,
    pub zones: usize,
    pub services: usize,
    pub per_service: usize,
    pub spare: usize,
    /// Floor of each service as a share of its instances.
    pub floor_share: f64,
}

pub fn start() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(START_UNIX_S)
}

impl Layout {
    pub fn config(&self) -> Config {
        let mut raw = serde_json::json!({
            "version": 1, "write_id": "measure", "zones": {}, "services": {},
            "pools": {"spare": {}}, "teams": {}, "waves": {},
        });
        let zones: Vec<String> = (0..self.zones).map(|zone| format!("z{zone}")).collect();
        for zone in &zones {
            raw["zones"][zone] = serde_json::json!({"region": "r"});
        }
        for service in (0..self.services).map(|service| format!("s{service:02}")) {
            raw["services"][&service] = serde_json::json!({"floor_share": self.floor_share});
            raw["pools"][&service] = serde_json::json!({"service": service});
        }
        raw["waves"]["w"] = serde_json::json!({
            "zones": zones,
            "start_unix_s": START_UNIX_S,
            "deadline_unix_s": START_UNIX_S + WAVE_DAYS * 86_400,
        });
        let raw: RawConfig = serde_json::from_value(raw).expect("the configuration is well formed");
        Config::try_from(raw).expect("the configuration is valid")
    }

    /// Instances, spread over zones and over the racks of a zone in rotation, so that a rack has
    /// instances of several services.
    pub fn listed(&self) -> ListedInstances {
        let pools = (0..self.services).map(|service| (format!("s{service:02}"), self.per_service));
        let pools: Vec<(String, usize)> = pools.chain([("spare".to_owned(), self.spare)]).collect();
        let total: usize = pools.iter().map(|(_, count)| count).sum();
        let racks = total.div_ceil(self.zones * INSTANCES_PER_RACK).max(1);
        let mut placed = vec![0; self.zones];
        let mut listed = ListedInstances::new();
        let numbered = pools.iter().flat_map(|(pool, count)| (0..*count).map(move |n| (pool, n)));
        for (index, (pool, number)) in numbered.enumerate() {
            let zone = index % self.zones;
            let id: InstanceId = format!("{pool}-{number:02}").into();
            let instance = ListedInstance {
                id: id.clone(),
                address: ([127, 0, 0, 1], 1).into(),
                zone: format!("z{zone}").into(),
                rack: format!("r{:03}", placed[zone] % racks).into(),
                state: InstanceState::Live,
            };
            placed[zone] += 1;
            listed.insert(id, instance);
        }
        listed
    }
}

/// Instances of each power feed. A feed supplies about four nonadjacent racks of one zone.
pub fn feeds(listed: &ListedInstances) -> Vec<Vec<InstanceId>> {
    let mut racks: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for instance in listed.values() {
        let zone_racks = racks.entry(&instance.zone).or_default();
        if !zone_racks.contains(&&*instance.rack) {
            zone_racks.push(&instance.rack);
        }
    }
    let mut feeds: BTreeMap<(String, usize), Vec<InstanceId>> = BTreeMap::new();
    for instance in listed.values() {
        let zone_racks = &racks[&*instance.zone];
        let position = zone_racks.iter().position(|rack| *rack == &*instance.rack).unwrap_or(0);
        let feed = position % zone_racks.len().div_ceil(4).max(2);
        feeds.entry((instance.zone.to_string(), feed)).or_default().push(instance.id.clone());
    }
    feeds.into_values().collect()
}
