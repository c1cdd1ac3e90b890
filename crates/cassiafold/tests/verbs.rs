//! Runs the operator commands against the operators' interface.

#[allow(dead_code, reason = "the fake serves another test too, which uses all of it")]
#[path = "../../operators/tests/http/fake.rs"]
mod fake;

use std::future::pending;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Output};

use expect_test::{Expect, expect};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use crate::fake::{CREDENTIAL, Entry};

/// A fake entry instance that serves the operators' interface.
struct Server {
    entry: Entry,
    address: SocketAddr,
    _runtime: Runtime,
}

impl Server {
    fn start() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let (entry, address) = runtime.block_on(async {
            let entry = Entry::start().await;
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
            let address = listener.local_addr().expect("an address");
            tokio::spawn(cassiafold_operators::serve(listener, entry.router.clone(), pending()));
            (entry, address)
        });
        Self { entry, address, _runtime: runtime }
    }

    fn run(&self, arguments: &[&str]) -> Output {
        run(&self.address.to_string(), arguments)
    }
}

fn run(addresses: &str, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cassiafold"))
        .args(arguments)
        .env("CASSIAFOLD_ADDRESS", addresses)
        .env("CASSIAFOLD_CREDENTIAL", CREDENTIAL)
        .env("USER", "ana")
        .output()
        .expect("the program starts")
}

/// Returns the standard output, standard error and exit code of a run.
fn exit_code_and_output(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().unwrap_or_default();
    format!("{}{}exit {code}\n", text(&output.stdout), text(&output.stderr))
}

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file can be written");
    path.display().to_string()
}

fn check(arguments: &[&str], expected: Expect) {
    expected.assert_eq(&exit_code_and_output(&Server::start().run(arguments)));
}

macro_rules! cases {
    ($($name:ident: $arguments:expr => $expected:expr;)+) => {
        $(#[test]
        fn $name() {
            check(&$arguments, $expected);
        })+
    };
}

cases! {
    status_shows_versions_and_confirmations: ["status"] => expect![[r#"
        answered by e1 in zone a
        version 1 in force, not ready
        key-value service out of reach

        ENTRY  ZONE  VERSION  CONFIRMED  READY  HEARD_MS_AGO
        e1     a     1        yes        -      0
        e2     b     1        yes        -      0
        exit 0
    "#]];
    zone_out_lists_unconfirmed_entry_instances: ["zone", "out", "a"] => expect![[r#"
        version 2
        not confirmed by:
        ENTRY  ZONE  VERSION
        e2     b     1
        exit 0
    "#]];
    zone_in_of_an_open_zone_changes_nothing:
        ["zone", "in", "a", "--output", "json"] => expect![[r#"
            {
              "version": 1,
              "unchanged": true,
              "repeated": false,
              "unconfirmed": []
            }
            exit 0
        "#]];
    an_unknown_zone_is_refused_with_exit_code_7: ["zone", "out", "x"] => expect![[r#"
        cassiafold: no such availability zone (code 514)
        exit 7
    "#]];
    a_malformed_id_is_refused_before_it_is_sent: ["zone", "out", "a/b"] => expect![[r#"
        cassiafold: a/b is no id of a zone
        exit 2
    "#]];
    pools_are_listed: ["pool", "list"] => expect![[r#"
        POOL    SERVICE  INSTANCES  AVAILABLE  FLOOR  MAINTENANCE  FAILING  ARRIVING
        portal  portal   10         9          8      1            0        0
        exit 0
    "#]];
    instances_are_moved: ["pool", "move", "portal", "--to", "spare", "--count", "1"] => expect![[r#"
        moving from portal to spare:
        i1
        exit 0
    "#]];
    a_move_below_the_floor_is_refused:
        ["pool", "move", "portal", "--to", "spare", "--count", "9"] => expect![[r#"
            cassiafold: the move of instances is refused (code 518)
            below the floor
            exit 7
        "#]];
    a_page_that_cannot_be_written_is_an_error: ["report", "/no-such-directory/fleet.html"] => expect![[r#"
        cassiafold: No such file or directory (os error 2)
        exit 5
    "#]];
    a_page_is_written: ["report", "/dev/null"] => expect![[r#"
        wrote /dev/null
        exit 0
    "#]];
    waves_are_shown: ["wave", "status"] => expect![[r#"
        WAVE  ZONE  TOTAL  DONE  IN_PROGRESS  SET_BACK  LATE  HELD_BACK
        w     a     10     1     i1           0         no    -
        exit 0
    "#]];
    a_wave_is_paused: ["wave", "pause", "w"] => expect![[r#"
        version 2
        not confirmed by:
        ENTRY  ZONE  VERSION
        e2     b     1
        exit 0
    "#]];
    decisions_are_explained: ["explain", "instance", "i1"] => expect![[r#"
        FACT      VALUE
        instance  i1

        NOT_NOW      CODE  REASON  INPUTS
        maintenance  406   paused

        TIME                      EVENT  DECISION       INSTANCE  POOL  WAVE  INPUTS
        1970-01-01T00:00:00.001Z  1400   drain started  i1        -     w     floor=8
        exit 0
    "#]];
    key_withdrawal_requires_exactly_one_selection: ["key", "withdraw", "--team", "t"] => expect![[r#"
        error: the following required arguments were not provided:
          <--key-hash <HEXADECIMAL>|--key-file <FILE>|--all>

        Usage: cassiafold key withdraw --team <team> --address <ADDRESS> --operator <NAME> <--key-hash <HEXADECIMAL>|--key-file <FILE>|--all>

        For more information, try '--help'.
        exit 2
    "#]];
}

#[test]
fn a_patch_is_made_from_a_file_and_shown_in_the_history() {
    let server = Server::start();
    let patch = file("patch.yaml", "teams: {t: {share: 5}}\n");
    let faulty = file("faulty-patch.yaml", "teams: {t: {share: 0}}\n");
    let patched = exit_code_and_output(&server.run(&["config", "patch", &patch, "--base", "1"]));
    let stale = exit_code_and_output(&server.run(&["config", "patch", &patch, "--base", "1"]));
    let invalid = exit_code_and_output(&server.run(&["config", "patch", &faulty, "--base", "2"]));
    expect![[r#"
        version 2
        not confirmed by:
        ENTRY  ZONE  VERSION
        e2     b     1
        exit 0
        cassiafold: the configuration has another version than the patch was made from (code 506)
        the configuration has version 2
        exit 8
        cassiafold: the new configuration would have faults (code 507)
        teams.t.share: must be at least 1
        exit 4
    "#]]
    .assert_eq(&[patched, stale, invalid].concat());
    let history = server.run(&["config", "history", "--limit", "1", "--output", "json"]);
    let history: serde_json::Value = serde_json::from_slice(&history.stdout).unwrap();
    assert_eq!(history["versions"][0]["change"]["operator"], "ana");
    assert_eq!(history["versions"][0]["change"]["patch"]["teams"]["t"]["share"], 5);
}

#[test]
fn the_configuration_is_printed_in_a_form_that_check_accepts() {
    let text = Server::start().run(&["config", "get"]).stdout;
    let path = file("printed.yaml", &String::from_utf8(text).unwrap());
    assert!(run("", &["check", &path]).status.success());
}

#[test]
fn a_granted_key_is_shown_once_and_works_until_it_is_withdrawn() {
    let server = Server::start();
    let granted = server.run(&["key", "grant", "--team", "t", "--output", "json"]);
    let granted: serde_json::Value = serde_json::from_slice(&granted.stdout).unwrap();
    let key = granted["key"].as_str().unwrap();
    assert_eq!(key.len(), 64);
    let team = || server.entry.active.load().unwrap().team_for_key(key).cloned();
    assert_eq!(team().as_deref(), Some("t"));
    let config = server.run(&["config", "get"]).stdout;
    assert!(!String::from_utf8(config).unwrap().contains(key));
    let key_file = file("key", &format!("{key}\n"));
    let withdrawn = server.run(&["key", "withdraw", "--team", "t", "--key-file", &key_file]);
    assert!(withdrawn.status.success());
    assert_eq!(team(), None);
}

#[test]
fn the_next_address_is_tried_when_one_does_not_answer() {
    let server = Server::start();
    let addresses = format!("127.0.0.1:1,{}", server.address);
    assert!(run(&addresses, &["status"]).status.success());
    assert_eq!(run("127.0.0.1:1", &["status"]).status.code(), Some(6));
}

#[test]
fn a_wrong_credential_is_refused_with_exit_code_7() {
    let server = Server::start();
    let credential = file("credential", "wrong\n");
    let output = server.run(&["status", "--credential-file", &credential]);
    assert_eq!(output.status.code(), Some(7));
}

#[test]
fn an_outage_of_the_store_exits_with_code_10() {
    let server = Server::start();
    server.entry.store.faults().set_outage(true);
    assert_eq!(server.run(&["zone", "out", "a"]).status.code(), Some(10));
}
