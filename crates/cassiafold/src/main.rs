//! Fleet capacity and maintenance manager.

mod change;
mod check;
mod cli;
mod client;
mod command;
mod completions;
mod config;
mod demo;
mod entry;
mod error;
mod explain;
mod key;
mod load;
mod logs;
mod output;
mod pool;
mod standin;
mod status;
mod verb;
mod wave;
mod zone;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = match command::Command::try_from(cli::build().get_matches()) {
        Ok(command) => command,
        Err(error) => return error::report(&error),
    };
    logs::init(&command.logs);
    match command.run() {
        Ok(code) => code,
        Err(error) => error::report(&error),
    }
}
