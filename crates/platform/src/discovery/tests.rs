use cassiafold_config::InstanceState;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::Listing;
use super::message::{EndpointSlice, EndpointSliceList};
use crate::instances::ListedInstance;

const LIST: &str = r#"{
  "kind": "EndpointSliceList", "apiVersion": "discovery.k8s.io/v1",
  "metadata": {"resourceVersion": "12"},
  "items": [{
    "metadata": {"name": "portal"}, "addressType": "IPv4",
    "endpoints": [
      {"addresses": ["10.0.0.1"], "conditions": {"ready": true, "serving": true,
       "terminating": false}, "hostname": "portal-0", "zone": "a",
       "deprecatedTopology": {"rack": "a-1"}},
      {"addresses": ["10.0.0.2"], "conditions": {"ready": false, "serving": true,
       "terminating": true}, "hostname": "portal-1", "zone": "b",
       "deprecatedTopology": {"rack": "b-1"}},
      {"addresses": ["10.0.0.3"], "hostname": "portal-2", "zone": "c",
       "deprecatedTopology": {"rack": "c-1"}}
    ],
    "ports": [{"name": "http", "protocol": "TCP", "port": 8080}]
  }]
}"#;

fn listing(text: &str) -> Listing {
    serde_json::from_str::<EndpointSliceList>(text).unwrap().into()
}

fn instance(id: &str, address: &str, zone: &str, state: InstanceState) -> ListedInstance {
    ListedInstance {
        id: id.into(),
        address: address.parse().unwrap(),
        zone: zone.into(),
        rack: format!("{zone}-1").into(),
        state,
    }
}

#[test]
fn a_list_is_parsed() {
    let expected = vec![
        instance("portal-0", "10.0.0.1:8080", "a", InstanceState::Live),
        instance("portal-1", "10.0.0.2:8080", "b", InstanceState::Leaving),
        instance("portal-2", "10.0.0.3:8080", "c", InstanceState::Live),
    ];
    assert_eq!(listing(LIST), Listing { instances: expected, skipped: 0 });
}

macro_rules! incomplete_lists {
    ($($name:ident: $from:literal => $to:literal, skipped: $skipped:literal;)+) => {$(
        #[test]
        fn $name() {
            assert!(LIST.contains($from));
            let listing = listing(&LIST.replacen($from, $to, 1));
            assert_eq!((listing.instances.len(), listing.skipped), (3 - $skipped, $skipped));
        }
    )+};
}

incomplete_lists! {
    an_endpoint_without_an_id_is_skipped: "\"hostname\": \"portal-0\", " => "", skipped: 1;
    an_endpoint_with_an_empty_id_is_skipped: "portal-0" => "", skipped: 1;
    an_endpoint_without_a_zone_is_skipped: "\"zone\": \"a\"," => "", skipped: 1;
    an_endpoint_without_a_rack_is_skipped: "{\"rack\": \"a-1\"}" => "{}", skipped: 1;
    an_endpoint_with_a_host_name_as_address_is_skipped: "10.0.0.1" => "localhost", skipped: 1;
    an_endpoint_without_an_address_is_skipped: "\"10.0.0.1\"" => "", skipped: 1;
    a_slice_without_a_port_is_skipped: "\"port\": 8080" => "\"port\": null", skipped: 3;
}

macro_rules! conditions {
    ($($name:ident: $conditions:literal => $state:ident;)+) => {$(
        #[test]
        fn $name() {
            let default = r#"{"ready": true, "serving": true,
       "terminating": false}"#;
            assert!(LIST.contains(default));
            let listing = listing(&LIST.replace(default, $conditions));
            assert_eq!(listing.instances[0].state, InstanceState::$state);
        }
    )+};
}

conditions! {
    an_instance_without_conditions_is_live: "{}" => Live;
    an_instance_that_is_not_ready_is_leaving: r#"{"ready": false}"# => Leaving;
    a_ready_instance_that_is_terminating_is_leaving:
        r#"{"ready": true, "terminating": true}"# => Leaving;
    null_conditions_have_their_defaults: r#"{"ready": null, "terminating": null}"# => Live;
}

#[test]
fn an_instance_listed_twice_is_leaving_if_one_entry_is() {
    for replaced in ["portal-0", "portal-2"] {
        let listing = listing(&LIST.replacen(replaced, "portal-1", 1));
        let both: Vec<_> = listing.instances.iter().filter(|one| &*one.id == "portal-1").collect();
        assert_eq!(both.len(), 1);
        assert_eq!(both[0].state, InstanceState::Leaving);
    }
}

#[test]
fn a_response_without_items_is_malformed() {
    assert!(serde_json::from_str::<EndpointSliceList>("{}").is_err());
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn instances_round_trip_through_the_list(ids in prop::collection::btree_set("[a-z0-9-]{1,8}", 0..8)) {
        let state = |id: &str| match id.len() % 2 {
            0 => InstanceState::Live,
            _ => InstanceState::Leaving,
        };
        let instances: Vec<ListedInstance> =
            ids.iter().map(|id| instance(id, "[::1]:80", "a", state(id))).collect();
        let items = instances.iter().map(EndpointSlice::from).collect();
        let text = serde_json::to_string(&EndpointSliceList { items }).unwrap();
        prop_assert_eq!(listing(&text), Listing { instances, skipped: 0 });
    }

    #[test]
    fn damaged_lists_never_panic(position in 0..LIST.len(), byte: u8) {
        let mut bytes = LIST.as_bytes().to_vec();
        bytes[position] = byte;
        if let Ok(list) = serde_json::from_slice::<EndpointSliceList>(&bytes) {
            let _ = Listing::from(list);
        }
    }
}
