//! The `credential` command, which generates an operators' credential and its hash.

use std::process::ExitCode;

use cassiafold_config::KeyHash;
use cassiafold_config::key::new_key;
use serde::Serialize;

use crate::error::Result;
use crate::output::{Output, print_json};

/// A new credential. It is shown once and not stored.
#[derive(Serialize)]
struct NewCredential {
    credential: String,
    operators_key_hash: String,
}

/// Prints a random credential and its hash, which belongs in the settings file.
pub fn run(output: Output) -> Result<ExitCode> {
    let credential = new_key();
    let operators_key_hash = KeyHash::of(&credential).to_hex();
    if output == Output::Json {
        print_json(&NewCredential { credential, operators_key_hash })?;
        return Ok(ExitCode::SUCCESS);
    }
    println!("credential {credential}");
    println!("operators_key_hash: {operators_key_hash}");
    println!("the credential is shown once and kept nowhere");
    Ok(ExitCode::SUCCESS)
}
