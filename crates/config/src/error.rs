//! Validation faults of settings and configurations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A validation fault and its location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Path of the field, for example `teams.cutting.share`.
    pub path: String,
    /// Description of the fault, for people.
    pub message: String,
    /// Line of the file, counted from 1, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// Path of another field whose value contributes to the fault.
    #[serde(skip)]
    pub related: Option<String>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if self.path.is_empty() {
            return f.write_str(&self.message);
        }
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// All faults found in one document. Not empty when returned as an error.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{}", self.joined())]
#[serde(transparent)]
pub struct Faults {
    /// The faults: in the order found, or by line once lines are assigned.
    pub list: Vec<Fault>,
}

impl Faults {
    /// Adds a fault at `path`.
    pub fn push(&mut self, path: impl Into<String>, message: impl Into<String>) {
        let (path, message) = (path.into(), message.into());
        self.list.push(Fault { path, message, line: None, related: None });
    }

    /// Adds a fault at `path` that also depends on the field at `related`.
    pub fn push_related(
        &mut self,
        path: impl Into<String>,
        related: impl Into<String>,
        message: impl Into<String>,
    ) {
        let (path, message, related) = (path.into(), message.into(), Some(related.into()));
        self.list.push(Fault { path, message, line: None, related });
    }

    /// Returns a list with a single fault.
    pub fn one(path: impl Into<String>, message: impl Into<String>) -> Self {
        let mut faults = Self::default();
        faults.push(path, message);
        faults
    }

    /// Returns whether the list has no faults.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns `value` if there are no faults, and the faults otherwise.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.list.is_empty() { Ok(value) } else { Err(self) }
    }

    fn joined(&self) -> String {
        self.list.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
    }
}
