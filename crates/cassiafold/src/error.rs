//! Errors of the program and their exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use cassiafold_config::Faults;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Errors that end a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line cannot be understood.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// Settings or a configuration are at fault.
    #[error("{0}")]
    Faults(#[from] Faults),
    /// The network or the runtime failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A request to an entry instance failed.
    #[error("request failed: {0}")]
    Request(#[from] hyper::Error),
    /// A result cannot be written as JSON.
    #[error("malformed JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl Error {
    /// Exit code of the program for this error, as listed in `docs/CODES.md`.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Usage(_) => 2,
            Self::ReadFile { .. } => 3,
            Self::Faults(_) => 4,
            Self::Io(_) | Self::Json(_) => 5,
            Self::Request(_) => 6,
        })
    }
}

/// Prints an error and returns its exit code.
pub fn report(error: &Error) -> ExitCode {
    eprintln!("cassiafold: {error}");
    error.exit_code()
}
