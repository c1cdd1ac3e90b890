//! The `report` command, which writes an HTML page about the fleet.

use std::path::PathBuf;

use cassiafold_operators::wire::ReportResponse;
use clap::ArgMatches;
use serde_json::json;

use crate::client::{ApiRequest, Client};
use crate::error::{Error, Result};
use crate::output::{Output, print_json};

/// The `report` command with its output file.
#[derive(Debug)]
pub struct ReportCommand {
    file: PathBuf,
}

impl TryFrom<&ArgMatches> for ReportCommand {
    type Error = Error;

    fn try_from(matches: &ArgMatches) -> Result<Self> {
        let file = matches.get_one::<PathBuf>("file").cloned();
        let file = file.ok_or_else(|| Error::Usage("no file given".into()))?;
        Ok(Self { file })
    }
}

impl ReportCommand {
    /// Writes the page and prints its path.
    pub async fn run(&self, client: &Client, output: Output) -> Result<()> {
        let response: ReportResponse = client.send(&ApiRequest::get("/report")).await?;
        std::fs::write(&self.file, &response.page)?;
        if output == Output::Json {
            return print_json(&json!({ "file": self.file, "bytes": response.page.len() }));
        }
        println!("wrote {}", self.file.display());
        Ok(())
    }
}
