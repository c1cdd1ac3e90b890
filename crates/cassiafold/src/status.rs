//! The `status` command, which shows configuration versions, readiness and upper limits.

use cassiafold_operators::source::{EntryStatus, TeamStatus};
use cassiafold_operators::wire::StatusResponse;

use crate::client::{ApiRequest, Client};
use crate::error::Result;
use crate::output::{Output, or_dash, print_json, print_table};

/// The `status` command.
#[derive(Debug)]
pub struct StatusCommand;

impl StatusCommand {
    /// Prints the state of the entry instances and the teams.
    pub async fn run(&self, client: &Client, output: Output) -> Result<()> {
        let response: StatusResponse = client.send(&ApiRequest::get("/status")).await?;
        if output == Output::Json {
            return print_json(&response);
        }
        print_status(&response);
        Ok(())
    }
}

fn print_status(response: &StatusResponse) {
    let status = &response.status;
    println!("answered by {} in zone {}", status.instance_id, status.zone);
    println!("version {} in force, {}", response.version, readiness(Some(status.ready)));
    if response.newest_version > response.version {
        println!("version {} in force elsewhere", response.newest_version);
    }
    let store = if status.store_reachable { "reachable" } else { "out of reach" };
    println!("key-value service {store}\n");
    let heading = ["ENTRY", "ZONE", "VERSION", "CONFIRMED", "READY", "HEARD_MS_AGO"];
    print_table(
        heading,
        status.entries.iter().map(|entry| entry_row(entry, response.newest_version)),
    );
    if !status.teams.is_empty() {
        println!();
        let heading = ["TEAM", "UPPER_LIMIT", "SLICE", "RUNNING", "WAITING"];
        print_table(heading, status.teams.iter().map(team_row));
    }
}

fn readiness(ready: Option<bool>) -> String {
    or_dash(ready.map(|ready| if ready { "ready" } else { "not ready" }))
}

fn entry_row(entry: &EntryStatus, version: u64) -> [String; 6] {
    let confirmed = if entry.version >= version { "yes" } else { "no" };
    [
        entry.instance_id.to_string(),
        entry.zone.to_string(),
        entry.version.to_string(),
        confirmed.to_owned(),
        readiness(entry.ready),
        entry.heard_ms_ago.to_string(),
    ]
}

fn team_row(team: &TeamStatus) -> [String; 5] {
    [
        team.team.to_string(),
        team.upper_limit.to_string(),
        team.slice.to_string(),
        team.running.to_string(),
        team.waiting.to_string(),
    ]
}
