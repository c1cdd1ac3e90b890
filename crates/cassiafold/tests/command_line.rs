//! Runs the program and checks the command line.

use std::path::PathBuf;
use std::process::Command;

use cassiafold_config::{Config, KeyHash, Service, Settings};
use expect_test::expect;

fn cassiafold(arguments: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_cassiafold"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

#[test]
fn the_demo_answers_one_request_from_a_backend_server() {
    let output = cassiafold(&["demo", "--once"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    assert!(text.contains("served by portal-"), "{text}");
}

#[test]
fn an_unknown_command_exits_with_code_2() {
    assert_eq!(cassiafold(&["no-such-command"]).status.code(), Some(2));
}

fn temporary_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file can be written");
    path
}

const FAULTY: &str = "version: 0\nzones: {a: {regoin: north}}\nservices: {}\nteams: {}\n";

#[test]
fn check_reports_every_fault_of_a_file_and_exits_with_code_4() {
    let path = temporary_file("faulty.yaml", FAULTY);
    let output = cassiafold(&["check", path.to_str().unwrap()]);
    let text = String::from_utf8(output.stdout).unwrap();
    expect![[r#"
        FILE:1: pools: is missing
        FILE:1: version: must be at least 1
        FILE:2: zones.a.regoin: unknown field; did you mean region?
        FILE:2: zones.a.region: is missing
    "#]]
    .assert_eq(&text.replace(path.to_str().unwrap(), "FILE"));
    assert_eq!(output.status.code(), Some(4));
}

#[test]
fn check_reports_faults_as_json() {
    let path = temporary_file("faulty-json.yaml", "version: 1\nzones: [\n");
    let output = cassiafold(&["check", "--output", "json", path.to_str().unwrap()]);
    let text = String::from_utf8(output.stdout).unwrap();
    expect![[r#"
        [
          {
            "file": "FILE",
            "kind": "configuration",
            "faults": [
              {
                "path": "",
                "message": "unclosed bracket '[' at line 2, column 8",
                "line": 2
              }
            ]
          }
        ]
    "#]]
    .assert_eq(&text.replace(path.to_str().unwrap(), "FILE"));
    assert_eq!(output.status.code(), Some(4));
}

#[test]
fn check_of_a_missing_file_exits_with_code_3() {
    assert_eq!(cassiafold(&["check", "no-such-file.yaml"]).status.code(), Some(3));
}

#[test]
fn a_new_credential_comes_with_the_hash_for_the_settings() {
    let generated = || -> serde_json::Value {
        let output = cassiafold(&["credential", "--output", "json"]);
        assert!(output.status.success());
        serde_json::from_slice(&output.stdout).unwrap()
    };
    let generated = [generated(), generated()];
    for one in &generated {
        let credential = one["credential"].as_str().unwrap();
        assert_eq!(one["operators_key_hash"], KeyHash::of(credential).to_hex());
    }
    assert_ne!(generated[0]["credential"], generated[1]["credential"]);
}

#[test]
fn completions_are_written_for_bash() {
    let output = cassiafold(&["completions", "bash"]);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains("_cassiafold"));
}

/// Reads a file under `examples/`.
fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    std::fs::read_to_string(path).expect("the sample can be read")
}

fn assert_deployment(name: &str, zones: usize) {
    Settings::from_yaml(&example(&format!("{name}-settings.yaml"))).expect("no faults");
    let config = Config::from_yaml(&example(&format!("{name}-config.yaml"))).expect("no faults");
    let spare = config.pools.values().filter(|pool| pool.service.is_none()).count();
    let sizes = (config.zones.len(), config.services.len(), config.pools.len(), spare);
    assert_eq!(sizes, (zones, 5, 6, 1));
    assert_eq!(config.teams.len(), 6);
    let slots = |service: &Service| (service.slots_per_instance, service.connections_per_instance);
    assert!(config.services.values().all(|service| slots(service) == (8, 64)));
}

#[test]
fn the_sample_of_casa_liwayway_has_the_expected_sizes() {
    assert_deployment("casa-liwayway", 3);
}

#[test]
fn the_sample_of_al_batinah_has_the_expected_sizes() {
    assert_deployment("al-batinah", 4);
}

#[test]
fn every_sample_passes_check() {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let files = std::fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().path());
    let files: Vec<String> = files.map(|path| path.display().to_string()).collect();
    assert!(files.len() >= 4);
    let arguments: Vec<&str> = ["check"].into_iter().chain(files.iter().map(|f| &**f)).collect();
    let output = cassiafold(&arguments);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
}
