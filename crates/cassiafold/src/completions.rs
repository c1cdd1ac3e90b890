//! Completions of the command line for a shell.

use std::process::ExitCode;

use clap_complete::Shell;

use crate::cli;
use crate::error::Result;

/// Writes the completions of `shell` to standard output.
pub fn run(shell: Shell) -> Result<ExitCode> {
    let mut command = cli::build();
    let name = command.get_name().to_owned();
    clap_complete::generate(shell, &mut command, name, &mut std::io::stdout());
    Ok(ExitCode::SUCCESS)
}
