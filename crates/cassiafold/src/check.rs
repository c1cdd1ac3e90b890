//! Checks settings files and configuration files.

use std::path::Path;
use std::process::ExitCode;

use cassiafold_config::{Faults, FileKind, check_file};
use serde::Serialize;

use crate::command::CheckOptions;
use crate::error::{Error, Result};
use crate::output::{Output, print_json};

/// Verdict on one file.
#[derive(Debug, Serialize)]
struct Verdict {
    file: String,
    kind: &'static str,
    faults: Faults,
}

/// Checks each file, prints every fault, and fails when there is one.
pub fn run(options: &CheckOptions) -> Result<ExitCode> {
    let verdicts: Vec<Verdict> =
        options.files.iter().map(|path| check(path)).collect::<Result<_>>()?;
    match options.output {
        Output::Text => verdicts.iter().for_each(print_verdict),
        Output::Json => print_json(&verdicts)?,
    }
    let sound = verdicts.iter().all(|verdict| verdict.faults.is_empty());
    if sound { Ok(ExitCode::SUCCESS) } else { Ok(Error::Faults(Faults::default()).exit_code()) }
}

fn check(path: &Path) -> Result<Verdict> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::ReadFile { path: path.to_owned(), source })?;
    let (kind, result) = check_file(&text);
    let kind = match kind {
        FileKind::Settings => "settings",
        FileKind::Config => "configuration",
    };
    let faults = result.err().unwrap_or_default();
    Ok(Verdict { file: path.display().to_string(), kind, faults })
}

fn print_verdict(verdict: &Verdict) {
    let file = &verdict.file;
    if verdict.faults.is_empty() {
        println!("{file}: {} without faults", verdict.kind);
    }
    for fault in &verdict.faults.list {
        let line = fault.line.map(|line| format!("{line}: ")).unwrap_or_default();
        let path = if fault.path.is_empty() { "" } else { &format!("{}: ", fault.path) };
        println!("{file}:{line}{path}{}", fault.message);
    }
}
