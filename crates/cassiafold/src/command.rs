//! Parses the command-line matches into a validated command and runs it.

use std::path::PathBuf;
use std::process::ExitCode;

use cassiafold_config::Settings;
use clap::ArgMatches;
use clap_complete::Shell;

use crate::error::{Error, Result};
use crate::load::LoadOptions;
use crate::operator_command::OperatorCommand;
use crate::output::Output;
use crate::{check, completions, credential, demo, entry, load, serve, standin};

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per event.
    Text,
    /// One JSON object per event.
    Json,
}

/// Where log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// A validated command.
#[derive(Debug)]
pub struct Command {
    /// Format of log lines.
    pub log_format: LogFormat,
    action: Action,
}

#[derive(Debug)]
enum Action {
    Demo(DemoOptions),
    Entry(Box<Settings>),
    Serve,
    Standin(PathBuf),
    Load(LoadOptions),
    Check(CheckOptions),
    Credential(Output),
    Completions(Shell),
    OperatorCommand(Box<OperatorCommand>),
}

/// Options of `demo`.
#[derive(Debug)]
pub struct DemoOptions {
    /// Whether the demo stops after one request.
    pub once: bool,
    /// Configuration file that replaces the built-in one.
    pub config: Option<PathBuf>,
}

/// Options of `check`.
#[derive(Debug)]
pub struct CheckOptions {
    /// Files to check.
    pub files: Vec<PathBuf>,
    /// Configuration in force, with which configurations of the users' platform are compared.
    pub against: Option<PathBuf>,
    /// Format of the results.
    pub output: Output,
}

impl From<&ArgMatches> for DemoOptions {
    fn from(matches: &ArgMatches) -> Self {
        Self {
            once: matches.get_flag("once"),
            config: matches.get_one::<PathBuf>("config").cloned(),
        }
    }
}

impl From<&ArgMatches> for CheckOptions {
    fn from(matches: &ArgMatches) -> Self {
        let files = matches.get_many::<PathBuf>("files").unwrap_or_default().cloned().collect();
        let against = matches.get_one::<PathBuf>("against").cloned();
        Self { files, against, output: Output::from(matches) }
    }
}

impl TryFrom<ArgMatches> for Command {
    type Error = Error;

    fn try_from(matches: ArgMatches) -> Result<Self> {
        let json = matches.get_one::<String>("log-format").is_some_and(|name| name == "json");
        let log_format = if json { LogFormat::Json } else { LogFormat::Text };
        let action = match matches.subcommand() {
            Some(("demo", matches)) => Action::Demo(matches.into()),
            Some(("entry", matches)) => Action::Entry(Box::new(entry_settings(matches)?)),
            Some(("serve", _)) => Action::Serve,
            Some(("standin", matches)) => Action::Standin(settings(matches)?),
            Some(("load", matches)) => Action::Load(matches.try_into()?),
            Some(("check", matches)) => Action::Check(matches.into()),
            Some(("credential", matches)) => Action::Credential(Output::from(matches)),
            Some(("completions", matches)) => Action::Completions(shell(matches)?),
            Some((name, matches)) => {
                Action::OperatorCommand(Box::new(OperatorCommand::from_matches(name, matches)?))
            }
            None => return Err(Error::Usage("no command given".into())),
        };
        Ok(Self { log_format, action })
    }
}

impl Command {
    /// Returns the destination of log lines. `serve` writes them to standard output, which the
    /// platform collects; all other commands use standard error.
    pub fn log_output(&self) -> LogOutput {
        match self.action {
            Action::Serve => LogOutput::Stdout,
            _ => LogOutput::Stderr,
        }
    }

    /// Runs the command and returns its exit code.
    pub fn run(&self) -> Result<ExitCode> {
        match &self.action {
            Action::Demo(options) => demo::run(options),
            Action::Entry(settings) => entry::run(settings),
            Action::Serve => serve::run(),
            Action::Standin(settings) => standin::run(settings),
            Action::Load(options) => load::run(options),
            Action::Check(options) => check::run(options),
            Action::Credential(output) => credential::run(*output),
            Action::Completions(shell) => completions::run(*shell),
            Action::OperatorCommand(operator_command) => operator_command.run(),
        }
    }
}

fn shell(matches: &ArgMatches) -> Result<Shell> {
    let shell = matches.get_one::<Shell>("shell").copied();
    shell.ok_or_else(|| Error::Usage("no shell given".into()))
}

fn entry_settings(matches: &ArgMatches) -> Result<Settings> {
    let path = settings(matches)?;
    let text = std::fs::read_to_string(&path).map_err(|source| Error::ReadFile { path, source })?;
    Ok(Settings::from_yaml(&text)?)
}

fn settings(matches: &ArgMatches) -> Result<PathBuf> {
    let settings = matches.get_one::<PathBuf>("settings").cloned();
    settings.ok_or_else(|| Error::Usage("no settings file given".into()))
}
