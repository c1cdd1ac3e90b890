//! The `key grant` and `key withdraw` commands.

use std::path::PathBuf;

use cassiafold_config::KeyHash;
use cassiafold_config::key::new_key;
use cassiafold_operators::wire::{ChangeResponse, KeyBody};
use clap::ArgMatches;
use http::Method;
use serde::Serialize;

use crate::change::print_change;
use crate::client::{ApiRequest, Client, read_secret};
use crate::error::{Error, Result};
use crate::operator_command::{required_id, unknown_subcommand};
use crate::output::{Output, print_json};

/// The `key` command and its subcommands.
#[derive(Debug)]
pub enum KeyCommand {
    /// Generates a key and grants it to a team.
    Grant {
        /// Team of the key.
        team: String,
    },
    /// Withdraws keys.
    Withdraw {
        /// Team of the keys.
        team: String,
        /// Keys to withdraw.
        selection: KeySelection,
    },
}

/// Keys to withdraw.
#[derive(Debug)]
pub enum KeySelection {
    /// The key with this hash.
    Hash(String),
    /// The key in this file.
    File(PathBuf),
    /// All keys of the team.
    All,
}

/// A granted key. It is shown once and not stored.
#[derive(Serialize)]
struct GrantedKey<'a> {
    key: &'a str,
    key_hash: &'a str,
    #[serde(flatten)]
    change: &'a ChangeResponse,
}

impl TryFrom<&ArgMatches> for KeyCommand {
    type Error = Error;

    fn try_from(matches: &ArgMatches) -> Result<Self> {
        match matches.subcommand() {
            Some(("grant", matches)) => Ok(Self::Grant { team: required_id(matches, "team")? }),
            Some(("withdraw", matches)) => Ok(Self::Withdraw {
                team: required_id(matches, "team")?,
                selection: matches.into(),
            }),
            _ => Err(unknown_subcommand()),
        }
    }
}

impl From<&ArgMatches> for KeySelection {
    fn from(matches: &ArgMatches) -> Self {
        if let Some(hash) = matches.get_one::<String>("key-hash") {
            return Self::Hash(hash.clone());
        }
        match matches.get_one::<PathBuf>("key-file") {
            Some(path) => Self::File(path.clone()),
            None => Self::All,
        }
    }
}

impl KeyCommand {
    /// Runs the subcommand and prints its result.
    pub async fn run(&self, client: &Client, output: Output) -> Result<()> {
        match self {
            Self::Grant { team } => grant(client, team, output).await,
            Self::Withdraw { team, selection } => withdraw(client, team, selection, output).await,
        }
    }
}

async fn grant(client: &Client, team: &str, output: Output) -> Result<()> {
    let key = new_key();
    let key_hash = KeyHash::of(&key).to_hex();
    let body = KeyBody { team: team.into(), key_hash: key_hash.clone() };
    let response: Result<ChangeResponse> =
        client.send(&ApiRequest::post("/keys").with_body(&body)?).await;
    if let Err(Error::OutcomeUnknown { .. }) = &response {
        eprintln!("the key with hash {key_hash} may have been granted; withdraw it by its hash");
    }
    let change = &response?;
    if output == Output::Json {
        return print_json(&GrantedKey { key: &key, key_hash: &key_hash, change });
    }
    println!("key {key}");
    println!("hash {key_hash}");
    println!("the key is shown once and kept nowhere");
    print_change(change, output)
}

async fn withdraw(
    client: &Client,
    team: &str,
    selection: &KeySelection,
    output: Output,
) -> Result<()> {
    let hash = match selection {
        KeySelection::Hash(hash) => Some(hash.clone()),
        KeySelection::File(path) => Some(KeyHash::of(&read_secret(path)?).to_hex()),
        KeySelection::All => None,
    };
    if hash.as_deref().is_some_and(|hash| KeyHash::from_hex(hash).is_none()) {
        return Err(Error::Usage("a key hash has 64 hexadecimal digits".into()));
    }
    let query = hash.map(|hash| format!("&key_hash={hash}")).unwrap_or_default();
    let request = ApiRequest::new(Method::DELETE, format!("/keys?team={team}{query}"));
    print_change(&client.send(&request).await?, output)
}
