//! The `check` command, which validates settings files and configuration files.

use std::path::Path;
use std::process::ExitCode;

use cassiafold_adapter::config_text;
use cassiafold_config::{Faults, FileKind, check_file};
use cassiafold_jobs::cluster::ClusterConfig;
use cassiafold_jobs::config_check::{check_config, differences};
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
    /// What is allowed, but probably not meant.
    #[serde(skip_serializing_if = "Faults::is_empty")]
    warnings: Faults,
    /// What differs from the configuration in force.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    differences: Vec<String>,
}

/// Checks each file, prints every fault and returns a failure code if there are any.
pub fn run(options: &CheckOptions) -> Result<ExitCode> {
    let in_force = options.against.as_deref().map(read_in_force).transpose()?;
    let results = options.files.iter().map(|path| check(path, in_force.as_ref()));
    let results: Vec<CheckResult> = results.collect::<Result<_>>()?;
    match options.output {
        Output::Text => results.iter().for_each(print_result),
        Output::Json => print_json(&results)?,
    }
    let no_faults = results.iter().all(|result| result.faults.is_empty());
    if no_faults { Ok(ExitCode::SUCCESS) } else { Ok(Error::Faults(Faults::default()).exit_code()) }
}

fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path)
        .map_err(|source| Error::ReadFile { path: path.to_owned(), source })
}

/// Reads the configuration in force.
fn read_in_force(path: &Path) -> Result<ClusterConfig> {
    let (config, faults) = config_text::read_config(&read(path)?);
    config.ok_or(Error::Faults(faults))
}

fn check(path: &Path, in_force: Option<&ClusterConfig>) -> Result<CheckResult> {
    let text = read(path)?;
    if config_text::is_config(&text) {
        return Ok(check_platform_config(path, &text, in_force));
    }
    let (kind, result) = check_file(&text);
    let kind = match kind {
        FileKind::Settings => "settings",
        FileKind::Config => "configuration",
    };
    let faults = result.err().unwrap_or_default();
    let (warnings, differences) = Default::default();
    Ok(CheckResult { file: path.display().to_string(), kind, faults, warnings, differences })
}

/// Checks a configuration of the users' platform.
fn check_platform_config(path: &Path, text: &str, in_force: Option<&ClusterConfig>) -> CheckResult {
    let (config, mut faults) = config_text::read_config(text);
    let report = config.as_ref().map(check_config).unwrap_or_default();
    faults.list.extend(report.errors.list);
    let differences = match (in_force, &config) {
        (Some(in_force), Some(config)) => differences(in_force, config),
        _ => Vec::new(),
    };
    CheckResult {
        file: path.display().to_string(),
        kind: "platform configuration",
        faults,
        warnings: report.warnings,
        differences,
    }
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
    for warning in &result.warnings.list {
        println!("{file}: warning: {}: {}", warning.path, warning.message);
    }
    for difference in &result.differences {
        println!("{file}: differs: {difference}");
    }
}
