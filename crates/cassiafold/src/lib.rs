//! Fleet capacity and maintenance manager: the implementation of the `cassiafold` command.

mod change;
mod check;
mod cli;
mod client;
mod command;
mod completions;
mod components;
mod config;
mod credential;
mod demo;
mod dependencies;
mod entry;
mod environment;
mod error;
pub mod event;
mod explain;
mod fleet_source;
mod instances;
mod isolation;
mod key;
mod load;
pub mod log_queue;
mod logs;
mod observer;
mod operator_command;
mod output;
mod pool;
mod report;
mod serve;
mod sources;
mod standin;
mod status;
mod status_source;
mod symptoms;
mod usage;
mod wave;
mod zone;

use std::process::ExitCode;

/// Parses the command line, runs the requested command and returns its exit code.
pub fn run() -> ExitCode {
    let command = match command::Command::try_from(cli::build().get_matches()) {
        Ok(command) => command,
        Err(error) => return error::report(&error),
    };
    let log = match logs::init(&command.log_format, command.log_output()) {
        Ok(log) => log,
        Err(error) => return error::report(&error.into()),
    };
    let result = command.run();
    log.close();
    match result {
        Ok(code) => code,
        Err(error) => error::report(&error),
    }
}
