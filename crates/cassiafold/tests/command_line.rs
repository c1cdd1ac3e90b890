//! The command line, run as a program.

use std::process::Command;

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
