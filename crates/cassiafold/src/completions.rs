//! The `completions` command, which writes shell completions.

use std::process::ExitCode;

use clap_complete::Shell;

use crate::cli;
use crate::error::Result;

/// Writes the completion script for `shell` to standard output.
pub fn run(shell: Shell) -> Result<ExitCode> {
    let mut command = cli::build();
    let name = command.get_name().to_owned();
    clap_complete::generate(shell, &mut command, name, &mut std::io::stdout());
    Ok(ExitCode::SUCCESS)
}
