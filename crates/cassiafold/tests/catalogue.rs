//! Compares the pages `docs/EVENTS.md` and `docs/CODES.md` with the code.
//!
//! `UPDATE_EXPECT=1 cargo test -p cassiafold --test catalogue` regenerates the pages.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;

use cassiafold::event::EntryEvent;
use cassiafold_dispatch::{DispatchCode, DispatchEvent};
use cassiafold_event::{CodeRow, EventRow};
use cassiafold_fleet::{FleetCode, FleetEvent};
use cassiafold_ingress::event::IngressEvent;
use cassiafold_jobs::event::JobsEvent;
use cassiafold_membership::MembershipEvent;
use cassiafold_operators::{OperatorsCode, OperatorsEvent};
use cassiafold_platform::PlatformEvent;
use expect_test::expect_file;

/// Packages with the first number of their range and their events.
const EVENTS: &[(&str, u16, &[EventRow])] = &[
    ("platform", 1100, PlatformEvent::ROWS),
    ("membership", 1200, MembershipEvent::ROWS),
    ("dispatch", 1300, DispatchEvent::ROWS),
    ("fleet", 1400, FleetEvent::ROWS),
    ("operators", 1500, OperatorsEvent::ROWS),
    ("jobs", 1600, JobsEvent::ROWS),
    ("cassiafold", 1700, EntryEvent::ROWS),
    ("ingress", 1800, IngressEvent::ROWS),
];

/// Packages with the first number of their range and their result codes.
const CODES: &[(&str, u16, &[CodeRow])] = &[
    ("dispatch", 300, DispatchCode::ROWS),
    ("fleet", 400, FleetCode::ROWS),
    ("operators", 500, OperatorsCode::ROWS),
];

/// Size of the number range of a package.
const RANGE: u16 = 100;

const EVENTS_HEAD: &str = "# Log events

Each line of the log is one numbered event with its fields as key-value pairs. The test
`the_page_of_events_agrees_with_the_code` compares this page with the code.
";

const CODES_HEAD: &str = "# Result codes

Refusals over HTTP are problem documents (RFC 9457) with these numbers in the field `code`. The
test `the_page_of_codes_agrees_with_the_code` compares this page with the code.
";

#[test]
fn the_page_of_events_agrees_with_the_code() {
    let mut page = EVENTS_HEAD.to_owned();
    for (package, _, rows) in EVENTS {
        page.push_str(&format!("\n## {package}\n\n| event | level | name | message |\n"));
        page.push_str("|---|---|---|---|\n");
        for row in *rows {
            let (number, level, name, message) = (row.number, row.level, row.name, row.message);
            page.push_str(&format!("| {number} | {level} | `{name}` | {message} |\n"));
        }
    }
    expect_file!["../../../docs/EVENTS.md"].assert_eq(&page);
}

#[test]
fn the_page_of_codes_agrees_with_the_code() {
    let mut page = CODES_HEAD.to_owned();
    for (package, _, rows) in CODES {
        page.push_str(&format!("\n## {package}\n\n| code | HTTP status | name | meaning |\n"));
        page.push_str("|---|---|---|---|\n");
        for row in *rows {
            let (number, status, name) = (row.number, row.http_status, row.name);
            page.push_str(&format!("| {number} | {status} | `{name}` | {} |\n", row.meaning));
        }
    }
    page.push_str("\n## Exit codes of the program\n\n| exit code | meaning |\n|---|---|\n");
    for (number, meaning) in exit_codes() {
        page.push_str(&format!("| {number} | {meaning} |\n"));
    }
    expect_file!["../../../docs/CODES.md"].assert_eq(&page);
}

/// Returns the exit codes and meanings from the help text.
fn exit_codes() -> Vec<(String, String)> {
    let output = Command::new(env!("CARGO_BIN_EXE_cassiafold")).arg("--help").output();
    let help = String::from_utf8(output.expect("the program starts").stdout).expect("text");
    let (_, list) = help.split_once("Exit codes:\n").expect("a list of exit codes");
    let rows = list.lines().filter_map(|line| line.trim().split_once("  "));
    rows.map(|(number, meaning)| (number.to_owned(), meaning.trim().to_owned())).collect()
}

#[test]
fn numbers_are_unique_and_within_the_range_of_their_package() {
    let events = EVENTS.iter().flat_map(|(package, first, rows)| {
        rows.iter().map(move |row| (*package, *first, row.number, row.name))
    });
    let codes = CODES.iter().flat_map(|(package, first, rows)| {
        rows.iter().map(move |row| (*package, *first, row.number, row.name))
    });
    let mut seen = BTreeSet::new();
    for (package, first, number, name) in events.chain(codes) {
        assert!((first..first + RANGE).contains(&number), "{package}: {name} = {number}");
        assert!(seen.insert(number), "{package}: {name} = {number} is used twice");
    }
}

#[test]
fn every_package_with_events_or_codes_is_listed() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut declared = BTreeSet::new();
    for entry in std::fs::read_dir(crates).expect("the packages") {
        let entry = entry.expect("a package");
        let package = entry.file_name().to_string_lossy().into_owned();
        for (file, macro_name) in [("event.rs", "events! {"), ("code.rs", "codes! {")] {
            let text = std::fs::read_to_string(entry.path().join("src").join(file));
            if text.is_ok_and(|text| text.contains(&format!("cassiafold_event::{macro_name}"))) {
                declared.insert((package.clone(), file));
            }
        }
    }
    let events = EVENTS.iter().map(|(package, ..)| ((*package).to_owned(), "event.rs"));
    let codes = CODES.iter().map(|(package, ..)| ((*package).to_owned(), "code.rs"));
    assert_eq!(declared, events.chain(codes).collect::<BTreeSet<_>>());
}
