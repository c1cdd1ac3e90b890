//! The `wave start`, `wave pause`, `wave resume` and `wave status` commands.

use cassiafold_operators::source::WaveStatus;
use cassiafold_operators::wire::WavesResponse;
use clap::ArgMatches;

use crate::change::print_change;
use crate::client::{ApiRequest, Client};
use crate::error::{Error, Result};
use crate::operator_command::{required_id, unknown_subcommand};
use crate::output::{Output, or_dash, print_json, print_table};

/// The `wave` command and its subcommands.
#[derive(Debug)]
pub enum WaveCommand {
    /// Shows waves.
    Status,
    /// Starts, pauses or resumes a wave.
    Change {
        /// Id of the wave.
        wave: String,
        /// Name of the action: `start`, `pause` or `resume`.
        action: String,
    },
}

impl TryFrom<&ArgMatches> for WaveCommand {
    type Error = Error;

    fn try_from(matches: &ArgMatches) -> Result<Self> {
        match matches.subcommand() {
            Some(("status", _)) => Ok(Self::Status),
            Some((action, matches)) => {
                Ok(Self::Change { wave: required_id(matches, "wave")?, action: action.to_owned() })
            }
            None => Err(unknown_subcommand()),
        }
    }
}

impl WaveCommand {
    /// Runs the subcommand and prints its result.
    pub async fn run(&self, client: &Client, output: Output) -> Result<()> {
        match self {
            Self::Status => status(client, output).await,
            Self::Change { wave, action } => {
                let request = ApiRequest::post(format!("/waves/{wave}/{action}"));
                print_change(&client.send(&request).await?, output)
            }
        }
    }
}

async fn status(client: &Client, output: Output) -> Result<()> {
    let response: WavesResponse = client.send(&ApiRequest::get("/waves")).await?;
    if output == Output::Json {
        return print_json(&response);
    }
    let heading = ["WAVE", "ZONE", "TOTAL", "DONE", "IN_PROGRESS", "SET_BACK", "LATE", "HELD_BACK"];
    print_table(heading, response.waves.iter().map(row));
    Ok(())
}

fn row(wave: &WaveStatus) -> [String; 8] {
    [
        wave.wave.to_string(),
        or_dash(wave.zone.as_ref()),
        wave.total.to_string(),
        wave.done.to_string(),
        wave.in_progress.join(" "),
        wave.set_back.to_string(),
        if wave.late { "yes" } else { "no" }.to_owned(),
        or_dash(wave.held_back.as_ref().map(|reason| &reason.meaning)),
    ]
}
