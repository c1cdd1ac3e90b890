//! `report`.

use std::path::PathBuf;

use cassiafold_operators::wire::ReportAnswer;
use clap::ArgMatches;
use serde_json::json;

use crate::client::{ApiRequest, Client};
use crate::error::{Error, Result};
use crate::output::{Output, print_json};

/// `report`, with the file that it writes.
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
    /// Writes the page and prints where it is.
    pub async fn run(&self, client: &Client, output: Output) -> Result<()> {
        let answer: ReportAnswer = client.send(&ApiRequest::get("/report")).await?;
        std::fs::write(&self.file, &answer.page)?;
        if output == Output::Json {
            return print_json(&json!({ "file": self.file, "bytes": answer.page.len() }));
        }
        println!("wrote {}", self.file.display());
        Ok(())
    }
}
