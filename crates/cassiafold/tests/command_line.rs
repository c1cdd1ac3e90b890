//! The command line, run as a program.

use std::path::PathBuf;
use std::process::Command;

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
fn completions_are_written_for_bash() {
    let output = cassiafold(&["completions", "bash"]);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains("_cassiafold"));
}
