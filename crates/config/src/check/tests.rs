use expect_test::{Expect, expect};
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

use super::{FileKind, check_file};

const SOUND: &str = "\
version: 1
zones:
  a: {region: north}
services:
  portal:
    floor_share: 0.75
pools:
  portal: {service: portal}
  spare: {}
teams:
  parishes:
    share: 3
    upper_limit: 40
waves:
  spring:
    zones: [a]
    start_unix_s: 10
    deadline_unix_s: 20
";

fn check(text: &str, expected: Expect) {
    let (_, result) = check_file(text);
    let found = result.err().map(|faults| faults.to_string()).unwrap_or_default();
    expected.assert_eq(&found);
}

macro_rules! cases {
    ($($name:ident: $text:expr => $expected:expr;)+) => {
        $(#[test]
        fn $name() {
            check($text, $expected);
        })+
    };
}

cases! {
    a_valid_configuration_has_no_faults: SOUND => expect![""];
    every_fault_is_reported_with_its_line: "\
version: 0
zones:
  a: {region: north, open: true}
  a: {region: no rth}
services:
  portal:
    floor_shaer: 0.5
    slots_per_instance: many
    deadline_max_ms: -1
    deadline_default_ms: 0
pools:
  portal: {service: portals}
teams:
  anonymous: {share: 1, upper_limit: 4}
  b.c:
    share: 0
    key_hashes: [zz, 12]
waves: []
colour: blue
" => expect![[r#"
    line 1: version: must be at least 1
    line 4: zones.a: is given more than once
    line 4: zones.a.region: an id has 1 to 64 characters out of letters, digits, - and _
    line 6: services.portal: needs either floor_count or floor_share
    line 7: services.portal.floor_shaer: unknown field; did you mean floor_share?
    line 8: services.portal.slots_per_instance: must be a whole number from 0 to 4294967295
    line 9: services.portal.deadline_max_ms: must be a whole number from 0 to 18446744073709551615
    line 10: services.portal.deadline_default_ms: must be at least 1
    line 12: pools.portal.service: no service named portals
    line 14: teams.anonymous: this id is reserved for work without a key
    line 15: teams.b.c.upper_limit: is missing
    line 15: teams.b.c: an id has 1 to 64 characters out of letters, digits, - and _
    line 16: teams.b.c.share: must be at least 1
    line 17: teams.b.c.key_hashes[0]: must be 64 hexadecimal digits
    line 17: teams.b.c.key_hashes[1]: must be 64 hexadecimal digits
    line 18: waves: must be a mapping
    line 19: colour: unknown field; known are version, write_id, zones, services, pools, teams, waves, change"#]];
    missing_fields_are_reported_at_the_value_that_lacks_them: "\
zones: {}
services: {}
teams:
  b: {upper_limit: 1}
  c: {share: 1}
" => expect![[r#"
    line 1: version: is missing
    line 1: pools: is missing
    line 4: teams.b.share: is missing
    line 5: teams.c.upper_limit: is missing"#]];
    faults_that_follow_from_another_are_not_reported: "\
version: 1
zones: {}
services: {portal: {floor_share: 1, deadline_max_ms: long, deadline_default_ms: 9000}}
pools: {portal: {service: portals}}
teams: {t: {share: 4294967296, upper_limit: 1}}
waves: {w: {zones: [a], start_unix_s: soon, deadline_unix_s: 1}}
" => expect![[r#"
    line 3: services.portal.deadline_max_ms: must be a whole number from 0 to 18446744073709551615
    line 4: pools.portal.service: no service named portals
    line 5: teams.t.share: must be a whole number from 0 to 4294967295
    line 6: waves.w.start_unix_s: must be a whole number from 0 to 18446744073709551615
    line 6: waves.w.zones: no zone named a"#]];
    an_id_has_64_characters_at_most: &format!(
        "version: 1\nzones: {{}}\nservices: {{}}\npools: {{{0}: {{}}, {0}x: {{}}}}\nteams: {{}}\n",
        "p".repeat(64)
    ) => expect!["line 4: pools.ppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppx: an id has 1 to 64 characters out of letters, digits, - and _"];
    broken_yaml_is_reported_at_its_line: "version: 1\nzones: {a: [\n" => expect!["line 2: unclosed bracket '[' at line 2, column 12"];
    an_empty_file_is_not_a_mapping: "" => expect!["line 1: must be a mapping"];
    a_list_is_not_a_configuration: "- 1\n" => expect!["line 1: must be a mapping"];
    faults_of_settings_are_reported_with_their_lines: "\
instance_id: entry 1
zone: a
region: north
callers_address: localhost
operators_address: 127.0.0.1:2
peers_address: 127.0.0.1
store_addresses: []
instance_list_address: 127.0.0.1:5
instance_control_address: 127.0.0.1:6
operators_key_hash: 12
lease_ttl: 5
lease_ttl_ms: 100
" => expect![[r#"
    line 1: instance_id: an id has 1 to 64 characters out of letters, digits, - and _
    line 4: callers_address: invalid socket address syntax
    line 6: peers_address: invalid socket address syntax
    line 7: store_addresses: needs at least one address
    line 10: operators_key_hash: must be 64 hexadecimal digits
    line 11: lease_ttl: unknown field; did you mean lease_ttl_ms?
    line 12: lease_ttl_ms: must be at least twice store_timeout_ms"#]];
}

#[test]
fn the_kind_of_a_file_is_determined_from_its_fields() {
    assert_eq!(check_file(SOUND).0, FileKind::Config);
    assert_eq!(check_file("instance_id: a").0, FileKind::Settings);
}

fn edits() -> impl Strategy<Value = String> {
    let edit = (0..SOUND.len(), 0..8_usize, "[ -~\\n\\t&*!|>é]{0,6}");
    proptest::collection::vec(edit, 0..6).prop_map(|edits| {
        let mut text = SOUND.to_owned();
        for (start, length, insert) in edits {
            let start = start.min(text.len());
            let end = (start + length).min(text.len());
            if text.is_char_boundary(start) && text.is_char_boundary(end) {
                text.replace_range(start..end, &insert);
            }
        }
        text
    })
}

fn proptest_config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(7);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(proptest_config(2_000))]

    #[test]
    fn arbitrary_text_does_not_panic(text in any::<String>()) {
        let _ = check_file(&text);
    }

    #[test]
    fn the_check_agrees_with_strict_deserialization(text in edits()) {
        let result = check_file(&text).1;
        if let Err(faults) = &result {
            prop_assert!(!faults.is_empty());
        }
        let strict = serde_saphyr::from_str::<crate::raw::RawConfig>(&text)
            .ok()
            .and_then(|raw| crate::Config::try_from(raw).ok());
        if check_file(&text).0 == FileKind::Config {
            prop_assert_eq!(result.is_ok(), strict.is_some(), "{}", text);
        }
    }
}
