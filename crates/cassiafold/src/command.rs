//! Turns the matches of the command line into one checked value and runs it.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;

use crate::demo;
use crate::error::{Error, Result};

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text for each event.
    Text,
    /// One JSON object for each event.
    Json,
}

/// A checked command.
#[derive(Debug)]
pub struct Command {
    /// How log lines are written.
    pub logs: LogFormat,
    action: Action,
}

#[derive(Debug)]
enum Action {
    Demo(DemoOptions),
}

/// Options of `demo`.
#[derive(Debug)]
pub struct DemoOptions {
    /// Sends one request and stops.
    pub once: bool,
    /// Configuration file to serve.
    pub config: Option<PathBuf>,
}

impl TryFrom<ArgMatches> for Command {
    type Error = Error;

    fn try_from(matches: ArgMatches) -> Result<Self> {
        let json = matches.get_one::<String>("log-format").is_some_and(|name| name == "json");
        let logs = if json { LogFormat::Json } else { LogFormat::Text };
        let action = match matches.subcommand() {
            Some(("demo", matches)) => Action::Demo(DemoOptions {
                once: matches.get_flag("once"),
                config: matches.get_one::<PathBuf>("config").cloned(),
            }),
            _ => return Err(Error::Usage("unknown command".into())),
        };
        Ok(Self { logs, action })
    }
}

impl Command {
    /// Runs the command and returns its exit code.
    pub fn run(&self) -> Result<ExitCode> {
        match &self.action {
            Action::Demo(options) => demo::run(options),
        }
    }
}
