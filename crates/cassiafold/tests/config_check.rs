//! `cassiafold check` of configurations of the users' platform.

use std::path::PathBuf;
use std::process::Command;

use expect_test::{Expect, expect};
use serde_json::{Value, json};

/// A configuration without faults.
fn good() -> Value {
    json!({
        "Version": 7,
        "Routes": [{
            "Name": "r", "Host": "shop.example", "Prefix": "/q/", "Service": "s", "Priority": 0,
            "Attempts": 3, "Stretch": 1.6, "SloMs": 600,
        }],
        "Services": [{"Name": "s"}, {"Name": "off", "Spare": true}],
        "Tenants": [{"Name": "t", "ApiKeys": ["secret"], "Weight": 5, "Cap": {"Cpu": 12000}}],
        "Limits": {"MaxBodyBytes": 262_144},
    })
}

fn file(name: &str, config: &Value) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config.to_string()).expect("the file can be written");
    path
}

/// Checks a configuration; returns the output and the exit code.
fn check(name: &str, config: &Value, options: &[&str]) -> (String, Option<i32>) {
    let path = file(name, config);
    let mut command = Command::new(env!("CARGO_BIN_EXE_cassiafold"));
    let output = command.arg("check").args(options).arg(&path).output().expect("the program");
    let text = String::from_utf8(output.stdout).expect("text");
    (text.replace(path.to_str().expect("path"), "FILE"), output.status.code())
}

/// The good configuration with the value at a path replaced.
fn with(path: &str, value: Value) -> Value {
    let mut config = good();
    *config.pointer_mut(path).expect("a field") = value;
    config
}

macro_rules! checks {
    ($($name:ident: $config:expr, $code:expr => $expected:expr;)+) => {
        $(#[test] fn $name() {
            let (text, code) = check(concat!(stringify!($name), ".json"), &$config, &[]);
            let expected: Expect = $expected;
            expected.assert_eq(&text);
            assert_eq!(code, Some($code));
        })+
    };
}

checks! {
    a_configuration_without_faults_passes: good(), 0 => expect![[r#"
        FILE: platform configuration without faults
    "#]];
    a_queue_of_an_unknown_service_is_an_error: with("/Routes/0/Service", json!("x")), 4 => expect![[r#"
        FILE:queue r: service x is not configured
        FILE: warning: service s: no queue names it: nothing runs there
    "#]];
    a_queue_of_the_spare_pool_is_an_error: with("/Routes/0/Service", json!("off")), 4 => expect![[r#"
        FILE:queue r: the machines of service off are off
        FILE: warning: service s: no queue names it: nothing runs there
    "#]];
    a_prefix_that_matches_no_path_is_an_error: with("/Routes/0/Prefix", json!("q/")), 4 => expect![[r#"
        FILE:queue r: prefix "q/" matches no path: paths begin with /
    "#]];
    a_host_with_a_port_is_an_error: with("/Routes/0/Host", json!("shop.example:80")), 4 => expect![[r#"
        FILE:queue r: host "shop.example:80" matches no host name
    "#]];
    a_part_that_cannot_be_read_is_an_error: with("/Routes/0/Priority", json!("high")), 4 => expect![[r#"
        FILE:Routes[0]: invalid type: string "high", expected u64 at line 1 column 79
        FILE: warning: service s: no queue names it: nothing runs there
    "#]];
    tickets_that_are_never_valid_are_an_error:
        with("/Routes/0/Stretch", json!(0.5)).as_object_mut().map(|config| {
            config["Routes"][0]["Advice"] = json!({"DecideMs": 1, "EachMs": 1, "ValidMs": 0});
            Value::Object(config.clone())
        }).expect("an object"), 4 => expect![[r#"
            FILE:queue r: tickets of its placement policy are never valid
            FILE: warning: queue r: a factor of 0.5 counts as 1
        "#]];
    a_queue_that_another_one_shadows_is_an_error: {
        let mut config = good();
        let mut other = config["Routes"][0].clone();
        other["Name"] = json!("a");
        config["Routes"].as_array_mut().expect("routes").push(other);
        config
    }, 4 => expect![[r#"
        FILE:queue r: has the host and the prefix of queue a: one never matches
    "#]];
    a_key_of_two_teams_is_an_error: {
        let mut config = good();
        let other = json!({"Name": "u", "ApiKeys": ["secret"], "Weight": 0});
        config["Tenants"].as_array_mut().expect("teams").push(other);
        config
    }, 4 => expect![[r#"
        FILE:team u: a key of team t too: only one of them gets its calls
        FILE: warning: team t: it has no key of its own: nobody can call as it
        FILE: warning: team u: with a weight of 0 its jobs never exceed its share
    "#]];
    a_queue_without_any_key_is_an_error: with("/Tenants/0/ApiKeys", json!([])), 4 => expect![[r#"
        FILE:queue r: it needs a key, and no team has one
        FILE: warning: team t: it has no key of its own: nobody can call as it
    "#]];
    a_body_limit_of_zero_is_an_error: with("/Limits/MaxBodyBytes", json!(0)), 4 => expect![[r#"
        FILE:limits: a largest body of 0 bytes refuses every job
    "#]];
    a_name_that_is_given_twice_is_an_error: {
        let mut config = good();
        let other = config["Services"][0].clone();
        config["Services"].as_array_mut().expect("services").push(other);
        config
    }, 4 => expect![[r#"
        FILE:service s: given 2 times: only the last one counts
    "#]];
    what_is_probably_not_meant_is_a_warning: {
        let mut config = with("/Tenants/0/Weight", json!(0));
        config["Routes"][0]["Attempts"] = json!(0);
        config["Services"].as_array_mut().expect("services").push(json!({"Name": "idle"}));
        config
    }, 0 => expect![[r#"
        FILE: platform configuration without faults
        FILE: warning: queue r: 0 attempts count as 1
        FILE: warning: team t: with a weight of 0 its jobs never exceed its share
        FILE: warning: service idle: no queue names it: nothing runs there
    "#]];
}

#[test]
fn the_difference_from_the_version_in_force_is_shown_without_keys() {
    let in_force = file("in-force.json", &good());
    let mut config = with("/Routes/0/SloMs", json!(900));
    config["Tenants"][0]["ApiKeys"] = json!(["other-secret"]);
    config["Tenants"][0]["Cap"] = json!({"Cpu": 8000});
    config["Services"][1] = json!({"Name": "spare", "Spare": true});
    let options = ["--against", in_force.to_str().expect("path")];
    let (text, code) = check("new.json", &config, &options);
    assert!(!text.contains("secret"), "{text}");
    expect![[r#"
        FILE: platform configuration without faults
        FILE: differs: version 7 does not follow 7 in force
        FILE: differs: queue r: Queue { id: "r", host: "shop.example", prefix: "/q/", service: "s", priority: 0, attempts_max: 3, critical_path_factor: 1.6, latency_objective: 600ms, is_public: false, placement_policy: None } -> Queue { id: "r", host: "shop.example", prefix: "/q/", service: "s", priority: 0, attempts_max: 3, critical_path_factor: 1.6, latency_objective: 900ms, is_public: false, placement_policy: None }
        FILE: differs: service off removed
        FILE: differs: service spare added
        FILE: differs: team t: Team { weight: 5.0, limit: Resources { processors_milli: 12000, memory_bytes: 0, accelerators: 0 } } -> Team { weight: 5.0, limit: Resources { processors_milli: 8000, memory_bytes: 0, accelerators: 0 } }
        FILE: differs: keys withdrawn: 1
        FILE: differs: keys added: 1
    "#]].assert_eq(&text);
    assert_eq!(code, Some(0));
}

#[test]
fn findings_are_printed_as_json() {
    let config = with("/Routes/0/Service", json!("x"));
    let (text, code) = check("json.json", &config, &["--output", "json"]);
    expect![[r#"
        [
          {
            "file": "FILE",
            "kind": "platform configuration",
            "faults": [
              {
                "path": "queue r",
                "message": "service x is not configured"
              }
            ],
            "warnings": [
              {
                "path": "service s",
                "message": "no queue names it: nothing runs there"
              }
            ]
          }
        ]
    "#]]
    .assert_eq(&text);
    assert_eq!(code, Some(4));
}
