//! The `config get`, `config patch` and `config history` commands.

use std::io::Read;
use std::path::{Path, PathBuf};

use cassiafold_config::patch::{JSON_PATCH, MERGE_PATCH};
use cassiafold_config::raw::RawConfig;
use cassiafold_operators::history::HistoryRecord;
use cassiafold_operators::wire::HistoryResponse;
use clap::ArgMatches;
use http::Method;
use serde_json::Value;

use crate::change::print_change;
use crate::client::{ApiRequest, Client};
use crate::error::{Error, Result};
use crate::operator_command::unknown_subcommand;
use crate::output::{Output, or_dash, print_json, print_table, utc_time};

const MILLISECONDS_PER_SECOND: u64 = 1_000;

/// The `config` command and its subcommands.
#[derive(Debug)]
pub enum ConfigCommand {
    /// Prints the newest configuration.
    Get,
    /// Patches the configuration, which creates the next version.
    Patch(PatchOptions),
    /// Shows the authors of recent versions.
    History {
        /// Maximum number of versions to show.
        limit: u16,
    },
}

/// Options of `config patch`.
#[derive(Debug)]
pub struct PatchOptions {
    file: PathBuf,
    base_version: u64,
    write_id: Option<String>,
}

impl TryFrom<&ArgMatches> for ConfigCommand {
    type Error = Error;

    fn try_from(matches: &ArgMatches) -> Result<Self> {
        match matches.subcommand() {
            Some(("get", _)) => Ok(Self::Get),
            Some(("patch", matches)) => Ok(Self::Patch(PatchOptions {
                file: matches.get_one::<PathBuf>("file").cloned().unwrap_or_default(),
                base_version: matches.get_one::<u64>("base").copied().unwrap_or_default(),
                write_id: matches.get_one::<String>("write-id").cloned(),
            })),
            Some(("history", matches)) => {
                let limit = matches.get_one::<u16>("limit").copied().unwrap_or_default();
                Ok(Self::History { limit })
            }
            _ => Err(unknown_subcommand()),
        }
    }
}

impl ConfigCommand {
    /// Runs the subcommand and prints its result.
    pub async fn run(&self, client: &Client, output: Output) -> Result<()> {
        match self {
            Self::Get => get(client, output).await,
            Self::Patch(options) => patch(client, options, output).await,
            Self::History { limit } => history(client, *limit, output).await,
        }
    }
}

async fn get(client: &Client, output: Output) -> Result<()> {
    let config: RawConfig = client.send(&ApiRequest::get("/config")).await?;
    if output == Output::Json {
        return print_json(&config);
    }
    let text = serde_saphyr::to_string(&config);
    print!("{}", text.map_err(|error| Error::Usage(error.to_string()))?);
    Ok(())
}

async fn patch(client: &Client, options: &PatchOptions, output: Output) -> Result<()> {
    let patch = read_patch(&options.file)?;
    let media_type = if patch.is_array() { JSON_PATCH } else { MERGE_PATCH };
    let request = ApiRequest::new(Method::PATCH, "/config")
        .with_body(&patch)?
        .with_patch(options.base_version, media_type)
        .with_write_id(options.write_id.as_deref());
    print_change(&client.send(&request).await?, output)
}

fn read_patch(path: &Path) -> Result<Value> {
    let read_error = |source| Error::ReadFile { path: path.to_owned(), source };
    let text = if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(read_error)?;
        text
    } else {
        std::fs::read_to_string(path).map_err(read_error)?
    };
    serde_saphyr::from_str(&text).map_err(|error| Error::Usage(error.without_snippet().to_string()))
}

async fn history(client: &Client, limit: u16, output: Output) -> Result<()> {
    let response: HistoryResponse =
        client.send(&ApiRequest::get(format!("/config/history?limit={limit}"))).await?;
    if output == Output::Json {
        return print_json(&response);
    }
    print_table(["VERSION", "OPERATOR", "TIME", "PATCH"], response.versions.iter().map(row));
    Ok(())
}

fn row(record: &HistoryRecord) -> [String; 4] {
    let change = record.change.as_ref();
    [
        record.version.to_string(),
        or_dash(change.map(|change| &change.operator)),
        or_dash(
            change.map(|change| utc_time(change.unix_s.saturating_mul(MILLISECONDS_PER_SECOND))),
        ),
        or_dash(change.and_then(|change| change.patch.as_ref())),
    ]
}
