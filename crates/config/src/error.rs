//! Faults found in settings and configurations.

use std::fmt;

/// One fault with the place at which it was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, for example `teams.cutting.share`.
    pub path: String,
    /// What is wrong, in a user's words.
    pub message: String,
    /// Line of the file, counted from 1, where one is known.
    pub line: Option<usize>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// All faults found in one document; never empty when returned as an error.
#[derive(Debug, Clone, Default, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.joined())]
pub struct Faults {
    /// The faults in the order found.
    pub list: Vec<Fault>,
}

impl Faults {
    /// Notes a fault at `path`.
    pub fn push(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.list.push(Fault { path: path.into(), message: message.into(), line: None });
    }

    /// Returns `value` when no fault was noted, and the faults otherwise.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.list.is_empty() { Ok(value) } else { Err(self) }
    }

    fn joined(&self) -> String {
        self.list.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
    }
}
