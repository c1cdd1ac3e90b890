//! The `check` command, which validates settings files and configuration files.

use std::path::Path;
use std::process::ExitCode;

use cassiafold_config::{Faults, FileKind, check_file};
use serde::Serialize;

use crate::command::CheckOptions;
use crate::error::{Error, Result};
use crate::output::{Output, print_json};

/// Result of checking one file.
#[derive(Debug, Serialize)]
struct CheckResult {
    file: String,
    kind: &'static str,
    faults: Faults,
}

/// Checks each file, prints every fault and returns a failure code if there are any.
pub fn run(options: &CheckOptions) -> Result<ExitCode> {
    let results: Vec<CheckResult> =
        options.files.iter().map(|path| check(path)).collect::<Result<_>>()?;
    match options.output {
        Output::Text => results.iter().for_each(print_result),
        Output::Json => print_json(&results)?,
    }
    let no_faults = results.iter().all(|result| result.faults.is_empty());
    if no_faults { Ok(ExitCode::SUCCESS) } else { Ok(Error::Faults(Faults::default()).exit_code()) }
}

fn check(path: &Path) -> Result<CheckResult> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::ReadFile { path: path.to_owned(), source })?;
    let (kind, result) = check_file(&text);
    let kind = match kind {
        FileKind::Settings => "settings",
        FileKind::Config => "configuration",
    };
    let faults = result.err().unwrap_or_default();
    Ok(CheckResult { file: path.display().to_string(), kind, faults })
}

fn print_result(result: &CheckResult) {
    let file = &result.file;
    if result.faults.is_empty() {
        println!("{file}: {} without faults", result.kind);
    }
    for fault in &result.faults.list {
        let line = fault.line.map(|line| format!("{line}: ")).unwrap_or_default();
        let path = if fault.path.is_empty() { "" } else { &format!("{}: ", fault.path) };
        println!("{file}:{line}{path}{}", fault.message);
    }
}
