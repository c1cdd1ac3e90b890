//! Command-line definition.

mod operator_commands;

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};
use clap_complete::Shell;

use crate::error::EXIT_CODES;
use crate::load;

/// Builds the definition of the command line.
pub fn build() -> Command {
    Command::new("cassiafold")
        .about("Fleet capacity and maintenance manager")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(log_format())
        .arg(output())
        .subcommand(demo())
        .subcommand(entry())
        .subcommand(serve())
        .subcommand(standin())
        .subcommand(load::options::command())
        .subcommand(check())
        .subcommand(credential())
        .subcommand(completions())
        .subcommands(operator_commands::all())
        .after_help(exit_codes())
}

fn exit_codes() -> String {
    let rows = EXIT_CODES.iter().map(|row| format!("  {:>3}  {}\n", row.number, row.meaning));
    format!("Exit codes:\n{}", rows.collect::<String>())
}

fn log_format() -> Arg {
    Arg::new("log-format")
        .long("log-format")
        .help("How log lines are written")
        .value_parser(["text", "json"])
        .default_value("text")
        .global(true)
}

fn output() -> Arg {
    Arg::new("output")
        .long("output")
        .help("How results are written")
        .value_parser(["text", "json"])
        .default_value("text")
        .global(true)
}

fn demo() -> Command {
    Command::new("demo")
        .about("Runs entry instances, backend servers and a stand-in platform on loopback")
        .arg(
            Arg::new("once")
                .long("once")
                .help("Sends one request, prints its answer and stops")
                .action(clap::ArgAction::SetTrue),
        )
        .arg(
            Arg::new("config")
                .long("config")
                .help("Configuration to serve in place of the built-in one")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn entry() -> Command {
    Command::new("entry")
        .about("Runs an entry instance until it is told to stop")
        .after_help("The first SIGTERM or SIGINT stops gracefully, a second one cuts off.")
        .arg(
            Arg::new("settings")
                .long("settings")
                .help("Settings file of this entry instance")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn serve() -> Command {
    Command::new("serve")
        .about("Runs an entry instance on the platform that its settings file describes")
        .after_help(
            "The settings file is the one that the platform names in the environment. Log lines \
             go to standard output. SIGTERM stops gracefully.",
        )
}

fn standin() -> Command {
    Command::new("standin")
        .about("Runs a stand-in platform and backend servers on loopback until it is interrupted")
        .after_help("Writes one line of JSON with its addresses once it is ready.")
        .arg(
            Arg::new("settings")
                .help("File with the addresses and the backend servers")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Checks settings files and configuration files and reports every fault")
        .arg(
            Arg::new("files")
                .help("Files to check")
                .value_name("FILE")
                .num_args(1..)
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("against")
                .long("against")
                .help("Configuration in force on the users' platform, to show what changes")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn credential() -> Command {
    Command::new("credential").about("Makes an operators' credential and shows it with its hash")
}

fn completions() -> Command {
    Command::new("completions").about("Writes the completions of a shell").arg(
        Arg::new("shell").value_name("SHELL").required(true).value_parser(value_parser!(Shell)),
    )
}
