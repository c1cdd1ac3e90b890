use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use serde_json::{Map, Value, json};

use super::{Origin, Patch};
use crate::Config;

const BASE: &str = "\
version: 3
zones: {a: {region: north}, b: {region: north}}
services: {portal: {floor_share: 0.75}}
pools: {portal: {service: portal}, spare: {}}
teams: {parishes: {share: 3, upper_limit: 40}}
";

fn base() -> Config {
    Config::from_yaml(BASE).unwrap()
}

fn origin(version: u64) -> Origin {
    Origin { version, write_id: "w".to_owned(), operator: "ana".into(), unix_s: 5 }
}

fn faults(patch: &Patch) -> String {
    patch.next_config(Some(&base()), &origin(4)).unwrap_err().to_string()
}

#[test]
fn a_merge_patch_produces_the_next_version() {
    let patch = Patch::Merge(json!({"zones": {"a": {"out": true}, "b": null}}));
    let next = patch.next_config(Some(&base()), &origin(4)).unwrap();
    assert_eq!((next.version, next.write_id.as_str()), (4, "w"));
    assert!(!next.zone_open(&"a".into()));
    assert!(!next.zones.contains_key("b"));
    let change = next.change.unwrap();
    assert_eq!((change.base_version, &*change.operator), (3, "ana"));
}

#[test]
fn operations_are_applied_atomically() {
    let operations = json!([
        {"op": "test", "path": "/version", "value": 3},
        {"op": "replace", "path": "/teams/parishes/share", "value": 9},
    ]);
    let patch = Patch::from_operations(operations).unwrap();
    let next = patch.next_config(Some(&base()), &origin(4)).unwrap();
    assert_eq!(next.teams["parishes"].share, 9);
    let operations = json!([{"op": "remove", "path": "/teams/branches"}]);
    expect_test::expect!["[0]: path is invalid"]
        .assert_eq(&faults(&Patch::from_operations(operations).unwrap()));
}

#[test]
fn every_fault_of_the_new_configuration_is_reported() {
    let patch = Patch::Merge(json!({
        "teams": {"parishes": {"shares": 1, "share": 0}},
        "pools": {"portal": {"service": "portals"}},
    }));
    expect_test::expect![[r#"
        teams.parishes.shares: unknown field; did you mean share?
        pools.portal.service: no service named portals
        teams.parishes.share: must be at least 1"#]]
    .assert_eq(&faults(&patch));
}

#[test]
fn server_set_fields_cannot_be_patched() {
    let patch = Patch::Merge(json!({"version": 9, "write_id": "x", "change": {}}));
    expect_test::expect![[r#"
        write_id: is set by the operators' interface; leave it out
        change: is set by the operators' interface; leave it out
        version: must be 3 or 4, or left out"#]]
    .assert_eq(&faults(&patch));
}

#[test]
fn copy_operations_cannot_exceed_the_document_size() {
    let copy =
        |index: u32| json!({"op": "copy", "from": "/zones", "path": format!("/zones/x{index}")});
    let patch = Patch::from_operations((0..40).map(copy).collect()).unwrap();
    assert!(faults(&patch).ends_with("makes the configuration too long"));
}

#[test]
fn the_first_version_is_a_patch_of_an_empty_document() {
    let raw = crate::raw::RawConfig::from(&base());
    let mut patch = serde_json::to_value(raw).unwrap();
    patch["version"] = 1.into();
    patch.as_object_mut().unwrap().remove("write_id");
    let first = Patch::Merge(patch).next_config(None, &origin(1)).unwrap();
    assert_eq!(first.version, 1);
}

fn json_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![Just(Value::Null), (0..3_u8).prop_map(Value::from)];
    leaf.prop_recursive(3, 24, 4, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..3).prop_map(Value::from),
            proptest::collection::btree_map("[a-c]", inner, 0..4)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

/// Applies a merge patch as RFC 7396 defines it, field by field into a new object.
fn reference_merge(target: &Value, patch: &Value) -> Value {
    let Value::Object(patch) = patch else { return patch.clone() };
    let empty = Map::new();
    let target = target.as_object().unwrap_or(&empty);
    let kept = target.iter().filter(|(key, _)| !patch.contains_key(*key));
    let mut merged: Map<String, Value> =
        kept.map(|(key, value)| (key.clone(), value.clone())).collect();
    for (key, value) in patch.iter().filter(|(_, value)| !value.is_null()) {
        let old = target.get(key).unwrap_or(&Value::Null);
        merged.insert(key.clone(), reference_merge(old, value));
    }
    Value::Object(merged)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_merge_agrees_with_the_reference(target in json_value(), patch in json_value()) {
        let mut merged = target.clone();
        Patch::Merge(patch.clone()).apply(&mut merged).unwrap();
        prop_assert_eq!(merged, reference_merge(&target, &patch));
    }

    #[test]
    fn an_arbitrary_patch_does_not_panic(patch in json_value()) {
        let _ = Patch::Merge(patch.clone()).next_config(Some(&base()), &origin(4));
        if let Ok(patch) = Patch::from_operations(patch) {
            let _ = patch.next_config(None, &origin(1));
        }
    }

    #[test]
    fn a_configuration_round_trips(share in 1..9_u32, floor in 0.0..1.0_f64) {
        let patch = Patch::Merge(json!({
            "teams": {"t": {"share": share, "upper_limit": 1, "key_hashes": ["0".repeat(64)]}},
            "services": {"portal": {"floor_share": floor}},
            "waves": {"w": {"zones": ["a"], "start_unix_s": 1, "deadline_unix_s": 2,
                "blackouts": [{"weekday": "sat", "from_hour": 1, "to_hour": 2}]}},
        }));
        let config = patch.next_config(Some(&base()), &origin(4)).unwrap();
        let raw = crate::raw::RawConfig::from(&config);
        let bytes = serde_json::to_vec(&raw).unwrap();
        let read: crate::raw::RawConfig = serde_json::from_slice(&bytes).unwrap();
        let again = crate::raw::RawConfig::from(&Config::try_from(read.clone()).unwrap());
        prop_assert_eq!(&raw, &read);
        prop_assert_eq!(&raw, &again);
    }
}
