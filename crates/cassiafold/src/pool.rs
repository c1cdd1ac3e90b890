//! The `pool list` and `pool move` commands.

use cassiafold_operators::source::{MoveResponse, PoolStatus, Selection};
use cassiafold_operators::wire::{MoveBody, PoolsResponse};
use clap::ArgMatches;

use crate::client::{ApiRequest, Client};
use crate::error::{Error, Result};
use crate::operator_command::{required, required_id, unknown_subcommand};
use crate::output::{Output, or_dash, print_json, print_table};

/// The `pool` command and its subcommands.
#[derive(Debug)]
pub enum PoolCommand {
    /// Shows pools.
    List,
    /// Moves instances to another pool.
    Move {
        /// Source pool.
        from: String,
        /// Destination pool and the instances to move.
        body: MoveBody,
    },
}

impl TryFrom<&ArgMatches> for PoolCommand {
    type Error = Error;

    fn try_from(matches: &ArgMatches) -> Result<Self> {
        match matches.subcommand() {
            Some(("list", _)) => Ok(Self::List),
            Some(("move", matches)) => {
                let to = required(matches, "to")?.into();
                let body = MoveBody { to, selection: selection(matches) };
                Ok(Self::Move { from: required_id(matches, "pool")?, body })
            }
            _ => Err(unknown_subcommand()),
        }
    }
}

fn selection(matches: &ArgMatches) -> Selection {
    if let Some(count) = matches.get_one::<u32>("count") {
        return Selection::Count(*count);
    }
    let instances = matches.get_many::<String>("instance").unwrap_or_default();
    Selection::Instances(instances.map(|id| id.as_str().into()).collect())
}

impl PoolCommand {
    /// Runs the subcommand and prints its result.
    pub async fn run(&self, client: &Client, output: Output) -> Result<()> {
        match self {
            Self::List => list(client, output).await,
            Self::Move { from, body } => move_instances(client, from, body, output).await,
        }
    }
}

async fn list(client: &Client, output: Output) -> Result<()> {
    let response: PoolsResponse = client.send(&ApiRequest::get("/pools")).await?;
    if output == Output::Json {
        return print_json(&response);
    }
    let heading = [
        "POOL",
        "SERVICE",
        "INSTANCES",
        "AVAILABLE",
        "FLOOR",
        "MAINTENANCE",
        "FAILING",
        "ARRIVING",
    ];
    print_table(heading, response.pools.iter().map(row));
    Ok(())
}

fn row(pool: &PoolStatus) -> [String; 8] {
    [
        pool.pool.to_string(),
        or_dash(pool.service.as_ref()),
        pool.instances.to_string(),
        pool.available.to_string(),
        pool.floor.to_string(),
        pool.in_maintenance.to_string(),
        pool.failing.to_string(),
        pool.arriving.to_string(),
    ]
}

async fn move_instances(
    client: &Client,
    from: &str,
    body: &MoveBody,
    output: Output,
) -> Result<()> {
    let request = ApiRequest::post(format!("/pools/{from}/move")).with_body(body)?;
    let response: MoveResponse = client.send(&request).await?;
    if output == Output::Json {
        return print_json(&response);
    }
    println!("moving from {from} to {}:", body.to);
    response.instances.iter().for_each(|instance| println!("{instance}"));
    Ok(())
}
