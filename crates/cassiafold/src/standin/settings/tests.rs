use cassiafold_config::check::from_yaml;
use expect_test::expect;

use super::{BACKENDS_MAX, RawStandinSettings, StandinSettings};

fn read(text: &str) -> Result<StandinSettings, String> {
    from_yaml::<RawStandinSettings, StandinSettings>(text).map_err(|faults| faults.to_string())
}

#[test]
fn backend_servers_are_distributed_over_zones_and_racks() {
    let text = "backends: [{name: portal, count: 9, zones: [a, b]}]";
    let settings = read(text).unwrap();
    let identity = |index| {
        let identity = settings.backends[0].identity(index);
        format!("{} {} {}", identity.id, identity.zone, identity.rack)
    };
    let identities: Vec<String> = [0, 1, 7, 8].into_iter().map(identity).collect();
    let expected = ["portal-0 a a-portal-0", "portal-1 b b-portal-0", "portal-7 b b-portal-0"];
    assert_eq!(identities[..3], expected);
    assert_eq!(identities[3], "portal-8 a a-portal-1");
}

#[test]
fn every_fault_is_reported() {
    let text =
        "store_address: 192.0.2.1:1\nbackends:\n- {name: a b, count: 1, zones: [], slots: 0}";
    expect![[r#"
        line 1: store_address: must be an address of the loopback interface
        line 3: backends[0].name: must be an id
        line 3: backends[0].zones: must be at least one id
        line 3: backends[0].slots: must be at least 1"#]]
    .assert_eq(&read(text).unwrap_err());
}

#[test]
fn the_number_of_backend_servers_is_bounded() {
    let group = |count| format!("backends: [{{name: a, count: {count}, zones: [a]}}]");
    assert!(read(&group(BACKENDS_MAX)).is_ok());
    assert!(read(&group(BACKENDS_MAX + 1)).is_err());
}
