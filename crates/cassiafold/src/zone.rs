//! The `zone out` and `zone in` commands.

use clap::ArgMatches;

use crate::change::print_change;
use crate::client::{ApiRequest, Client};
use crate::error::{Error, Result};
use crate::operator_command::{required_id, unknown_subcommand};
use crate::output::Output;

/// The `zone` command and its subcommands.
#[derive(Debug)]
pub struct ZoneCommand {
    zone: String,
    action: &'static str,
}

impl TryFrom<&ArgMatches> for ZoneCommand {
    type Error = Error;

    fn try_from(matches: &ArgMatches) -> Result<Self> {
        let (action, matches) = match matches.subcommand() {
            Some(("out", matches)) => ("out", matches),
            Some(("in", matches)) => ("in", matches),
            _ => return Err(unknown_subcommand()),
        };
        Ok(Self { zone: required_id(matches, "zone")?, action })
    }
}

impl ZoneCommand {
    /// Runs the subcommand and prints its result.
    pub async fn run(&self, client: &Client, output: Output) -> Result<()> {
        let request = ApiRequest::post(format!("/zones/{}/{}", self.zone, self.action));
        print_change(&client.send(&request).await?, output)
    }
}
