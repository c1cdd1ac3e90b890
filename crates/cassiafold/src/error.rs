//! Errors of the program and their exit codes.

use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use cassiafold_config::Faults;
use cassiafold_operators::OperatorsCode;
use cassiafold_operators::problem::WireProblem;

/// Longest time for which the end of the process waits for the reader of standard error.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Errors that end a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line or an input is invalid.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The settings or the configuration are invalid.
    #[error("{0}")]
    Faults(#[from] Faults),
    /// The platform's settings are invalid.
    #[error("{0}")]
    PlatformSettings(#[from] cassiafold_adapter::SettingsError),
    /// A task without which the process cannot serve panicked.
    #[error("{0}")]
    TaskPanicked(#[from] cassiafold_jobs::task_panic::TaskPanicked),
    /// The network or the runtime failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A request to an entry instance failed.
    #[error("request failed: {0}")]
    Request(#[from] hyper::Error),
    /// JSON could not be parsed or serialized.
    #[error("malformed JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// No entry instance responded.
    #[error("no entry instance answered: {0}")]
    Unreachable(String),
    /// The operators' interface refused the request.
    #[error("{}", problem_text(.0))]
    Refused(Box<WireProblem>),
    /// The request may have taken effect.
    #[error("the outcome is unknown ({reason}); the write id is {write_id}")]
    OutcomeUnknown {
        /// Write id with which the request can be repeated.
        write_id: String,
        /// Why no response was received.
        reason: String,
    },
}

fn problem_text(problem: &WireProblem) -> String {
    let mut text = format!("{} (code {})", problem.title, problem.code);
    if let Some(version) = problem.current_version {
        text.push_str(&format!("\nthe configuration has version {version}"));
    }
    if let Some(detail) = &problem.detail {
        text.push_str(&format!("\n{detail}"));
    }
    for fault in &problem.faults.list {
        text.push_str(&format!("\n{fault}"));
    }
    text
}

/// One exit code of the program.
#[derive(Debug, Clone, Copy)]
pub struct ExitRow {
    /// Number of the exit code.
    pub number: u8,
    /// Meaning of the exit code.
    pub meaning: &'static str,
}

const fn row(number: u8, meaning: &'static str) -> ExitRow {
    ExitRow { number, meaning }
}

/// Every exit code of the program.
pub const EXIT_CODES: [ExitRow; 11] = [
    row(0, "done"),
    row(2, "the command line cannot be understood"),
    row(3, "a file cannot be read"),
    row(4, "settings, a configuration or a patch are at fault"),
    row(5, "the network, the runtime or an output failed"),
    row(6, "no entry instance answered; nothing was changed"),
    row(7, "the operators' interface refused the request"),
    row(8, "the patch was made from another version"),
    row(9, "the outcome of a change is unknown; repeat it with its write id"),
    row(10, "the entry instance could not do it now; nothing was changed"),
    row(101, "the program panicked"),
];

impl Error {
    /// Returns the exit code for this error, as listed in `docs/CODES.md`.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Usage(_) => 2,
            Self::ReadFile { .. } => 3,
            Self::Faults(_) | Self::PlatformSettings(_) => 4,
            Self::Io(_) | Self::Json(_) => 5,
            Self::Request(_) | Self::Unreachable(_) => 6,
            Self::Refused(problem) => refusal_code(problem),
            Self::OutcomeUnknown { .. } => 9,
            Self::TaskPanicked(_) => 101,
        })
    }
}

fn refusal_code(problem: &WireProblem) -> u8 {
    let is = |code: OperatorsCode| problem.code == code.row().number;
    match problem.status {
        _ if is(OperatorsCode::ConfigInvalid) => 4,
        _ if is(OperatorsCode::VersionStale) => 8,
        _ if is(OperatorsCode::OutcomeUnknown) || is(OperatorsCode::TimedOut) => 9,
        500.. => 10,
        _ => 7,
    }
}

/// Prints an error and returns its exit code.
pub fn report(error: &Error) -> ExitCode {
    let text = format!("cassiafold: {error}\n");
    let (printed, ended) = mpsc::sync_channel::<()>(0);
    let print = move || {
        // Standard error may be closed; the exit code tells the rest.
        let _ = io::stderr().write_all(text.as_bytes());
        drop(printed);
    };
    if thread::Builder::new().spawn(print).is_ok() {
        let _ = ended.recv_timeout(REPORT_TIMEOUT);
    }
    error.exit_code()
}
