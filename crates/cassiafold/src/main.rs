//! Fleet capacity and maintenance manager.

mod check;
mod cli;
mod command;
mod completions;
mod demo;
mod entry;
mod error;
mod logs;
mod output;

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
