//! Operator commands, run against the operators' interface of an entry instance.

use std::process::ExitCode;

use cassiafold_config::id::is_valid_id;
use clap::ArgMatches;

use crate::client::Client;
use crate::config::ConfigCommand;
use crate::error::{Error, Result};
use crate::explain::ExplainCommand;
use crate::key::KeyCommand;
use crate::output::Output;
use crate::pool::PoolCommand;
use crate::report::ReportCommand;
use crate::status::StatusCommand;
use crate::wave::WaveCommand;
use crate::zone::ZoneCommand;

/// An operator command with its client and output format.
#[derive(Debug)]
pub struct OperatorCommand {
    client: Client,
    output: Output,
    action: Action,
}

#[derive(Debug)]
enum Action {
    Status(StatusCommand),
    Config(ConfigCommand),
    Key(KeyCommand),
    Zone(ZoneCommand),
    Pool(PoolCommand),
    Wave(WaveCommand),
    Explain(ExplainCommand),
    Report(ReportCommand),
}

impl OperatorCommand {
    /// Parses an operator command from the matches of its subcommand.
    ///
    /// Returns `Error::Usage` if the command or an argument is invalid.
    pub fn from_matches(name: &str, matches: &ArgMatches) -> Result<Self> {
        let action = match name {
            "status" => Action::Status(StatusCommand),
            "config" => Action::Config(matches.try_into()?),
            "key" => Action::Key(matches.try_into()?),
            "zone" => Action::Zone(matches.try_into()?),
            "pool" => Action::Pool(matches.try_into()?),
            "wave" => Action::Wave(matches.try_into()?),
            "report" => Action::Report(matches.try_into()?),
            "explain" => Action::Explain(matches.try_into()?),
            _ => return Err(Error::Usage(format!("unknown command {name}"))),
        };
        let client = innermost_matches(matches).try_into()?;
        Ok(Self { client, output: Output::from(innermost_matches(matches)), action })
    }

    /// Runs the command and prints its result.
    pub fn run(&self) -> Result<ExitCode> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(self.run_action())?;
        Ok(ExitCode::SUCCESS)
    }

    async fn run_action(&self) -> Result<()> {
        let (client, output) = (&self.client, self.output);
        match &self.action {
            Action::Status(command) => command.run(client, output).await,
            Action::Config(command) => command.run(client, output).await,
            Action::Key(command) => command.run(client, output).await,
            Action::Zone(command) => command.run(client, output).await,
            Action::Pool(command) => command.run(client, output).await,
            Action::Wave(command) => command.run(client, output).await,
            Action::Report(command) => command.run(client, output).await,
            Action::Explain(command) => command.run(client, output).await,
        }
    }
}

/// Returns the matches of the innermost subcommand, which hold the global options.
fn innermost_matches(matches: &ArgMatches) -> &ArgMatches {
    matches.subcommand().map_or(matches, |(_, inner)| innermost_matches(inner))
}

/// Returns a required argument of a subcommand.
pub fn required(matches: &ArgMatches, id: &str) -> Result<String> {
    let value = matches.get_one::<String>(id).cloned();
    value.ok_or_else(|| Error::Usage(format!("{id} is missing")))
}

/// Returns a required argument that is the id of a zone, pool, team or wave.
pub fn required_id(matches: &ArgMatches, id: &str) -> Result<String> {
    let value = required(matches, id)?;
    if !is_valid_id(&value) {
        return Err(Error::Usage(format!("{value} is no id of a {id}")));
    }
    Ok(value)
}

/// Returns the error for a missing or unknown subcommand.
pub fn unknown_subcommand() -> Error {
    Error::Usage("unknown subcommand".into())
}
