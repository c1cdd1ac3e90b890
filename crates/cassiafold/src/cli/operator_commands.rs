//! Command-line definition of the operator commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};

/// Returns every command that sends requests to the operators' interface of an entry instance.
pub fn all() -> Vec<Command> {
    let commands = vec![status(), config(), key(), zone(), pool(), wave(), explain(), report()];
    commands.into_iter().map(|command| command.args(connection())).collect()
}

fn connection() -> [Arg; 4] {
    [
        Arg::new("address")
            .long("address")
            .help("Operators' addresses of entry instances, tried in turn")
            .value_name("ADDRESS")
            .env("CASSIAFOLD_ADDRESS")
            .value_delimiter(',')
            .value_parser(value_parser!(SocketAddr))
            .global(true),
        Arg::new("credential-file")
            .long("credential-file")
            .help("File with the operators' credential, in place of CASSIAFOLD_CREDENTIAL")
            .value_name("FILE")
            .env("CASSIAFOLD_CREDENTIAL_FILE")
            .value_parser(value_parser!(PathBuf))
            .global(true),
        Arg::new("operator")
            .long("operator")
            .help("Name of the operator in the history of the configuration")
            .value_name("NAME")
            .env("USER")
            .global(true),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .help("Longest wait for one entry instance, in milliseconds")
            .value_name("MILLISECONDS")
            .value_parser(value_parser!(u64).range(1..))
            .default_value("15000")
            .global(true),
    ]
}

fn command_group(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).subcommand_required(true).arg_required_else_help(true)
}

fn name(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).help(help).required(true)
}

fn report() -> Command {
    Command::new("report")
        .about("Writes a page of pools, budgets, waves, moves and failure domains over time")
        .arg(
            name("file", "HTML file to write; an existing one is replaced")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn status() -> Command {
    Command::new("status").about("Shows the version in force at each entry instance, and limits")
}

fn config() -> Command {
    command_group("config", "Reads and patches the configuration")
        .subcommand(Command::new("get").about("Prints the newest configuration"))
        .subcommand(
            Command::new("patch")
                .about("Makes the next version: a mapping is a merge patch, a list is operations")
                .arg(
                    name("file", "Patch in YAML or JSON; - reads standard input")
                        .value_parser(value_parser!(PathBuf)),
                )
                .arg(
                    Arg::new("base")
                        .long("base")
                        .help("Version that the patch was made from; 0 before the first")
                        .value_name("VERSION")
                        .required(true)
                        .value_parser(value_parser!(u64)),
                )
                .arg(
                    Arg::new("write-id")
                        .long("write-id")
                        .help("Write id of an earlier try whose outcome is unknown")
                        .value_name("ID"),
                ),
        )
        .subcommand(
            Command::new("history").about("Shows who made the last versions").arg(
                Arg::new("limit")
                    .long("limit")
                    .help("Versions to show")
                    .value_name("NUMBER")
                    .value_parser(value_parser!(u16))
                    .default_value("20"),
            ),
        )
}

fn key() -> Command {
    let team = || Arg::new("team").long("team").help("Team of the key").required(true);
    command_group("key", "Grants and withdraws keys of teams")
        .subcommand(Command::new("grant").about("Makes a key and shows it once").arg(team()))
        .subcommand(
            Command::new("withdraw")
                .about("Withdraws one key or all keys of a team")
                .arg(team())
                .arg(
                    Arg::new("key-hash")
                        .long("key-hash")
                        .help("Hash of the key")
                        .value_name("HEXADECIMAL"),
                )
                .arg(
                    Arg::new("key-file")
                        .long("key-file")
                        .help("File with the key")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf)),
                )
                .arg(
                    Arg::new("all")
                        .long("all")
                        .help("All keys of the team")
                        .action(ArgAction::SetTrue),
                )
                .group(ArgGroup::new("which").args(["key-hash", "key-file", "all"]).required(true)),
        )
}

fn zone() -> Command {
    command_group("zone", "Takes availability zones out and brings them back")
        .subcommand(
            Command::new("out").about("Takes a zone out").arg(name("zone", "Availability zone")),
        )
        .subcommand(
            Command::new("in").about("Brings a zone back").arg(name("zone", "Availability zone")),
        )
}

fn pool() -> Command {
    command_group("pool", "Shows pools and moves instances between them")
        .subcommand(Command::new("list").about("Shows pools with their instances"))
        .subcommand(
            Command::new("move")
                .about("Moves instances to another pool")
                .arg(name("pool", "Pool that gives"))
                .arg(Arg::new("to").long("to").help("Pool that takes").required(true))
                .arg(
                    Arg::new("count")
                        .long("count")
                        .help("Number of instances")
                        .value_parser(value_parser!(u32).range(1..)),
                )
                .arg(
                    Arg::new("instance")
                        .long("instance")
                        .help("Instance to move; can be given more than once")
                        .action(ArgAction::Append),
                )
                .group(ArgGroup::new("which").args(["count", "instance"]).required(true)),
        )
}

fn wave() -> Command {
    let wave = || name("wave", "Maintenance wave");
    command_group("wave", "Starts, pauses and shows maintenance waves")
        .subcommand(Command::new("start").about("Lets a wave begin now").arg(wave()))
        .subcommand(Command::new("pause").about("Starts no further step of a wave").arg(wave()))
        .subcommand(Command::new("resume").about("Lets a paused wave go on").arg(wave()))
        .subcommand(Command::new("status").about("Shows waves with their progress"))
}

fn explain() -> Command {
    let subjects = ["instance", "pool", "team", "wave"];
    Command::new("explain")
        .about("Shows the last decisions about one thing")
        .arg(name("subject", "Kind of the thing").value_parser(subjects))
        .arg(name("id", "Id of the thing"))
}
