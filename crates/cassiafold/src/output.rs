//! Output of results: tables for people, JSON for programs.

use clap::ArgMatches;
use serde::Serialize;

use crate::error::Result;

/// How results are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Tables and sentences.
    Text,
    /// One JSON document.
    Json,
}

impl From<&ArgMatches> for Output {
    fn from(matches: &ArgMatches) -> Self {
        let json = matches.get_one::<String>("output").is_some_and(|name| name == "json");
        if json { Self::Json } else { Self::Text }
    }
}

/// Prints a value as indented JSON.
pub fn print_json(value: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
