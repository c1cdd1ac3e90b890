//! `zone out` and `zone in`.

use clap::ArgMatches;

use crate::change::print_change;
use crate::client::{Call, Client};
use crate::error::{Error, Result};
use crate::output::Output;
use crate::verb::{required_id, unknown_subcommand};

/// `zone` and its subcommands.
#[derive(Debug)]
pub struct ZoneVerb {
    zone: String,
    action: &'static str,
}

impl TryFrom<&ArgMatches> for ZoneVerb {
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

impl ZoneVerb {
    /// Runs the subcommand and prints its result.
    pub async fn run(&self, client: &Client, output: Output) -> Result<()> {
        let call = Call::post(format!("/zones/{}/{}", self.zone, self.action));
        print_change(&client.call(&call).await?, output)
    }
}
