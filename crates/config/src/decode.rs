//! Deserializes typed values from an untyped tree and collects all faults.
//!
//! A value of the wrong type is recorded as a fault and replaced by a placeholder of the expected
//! type, so that deserialization continues. An error that serde reports itself (a missing field,
//! text that a type rejects) ends the pass; the next pass uses a placeholder at that path.

mod access;
mod reader;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;

use serde::de::DeserializeOwned;

use crate::decode::reader::Reader;
use crate::error::Faults;
use crate::node::{Item, key_path, parent_path};

/// Maximum number of passes over one document, and so of faults that each end a pass.
const PASSES_MAX: usize = 1_000;

/// A deserialized value and the faults found in its tree.
#[derive(Debug)]
pub struct Decoded<T> {
    /// The value, with placeholders for its faulty parts. `None` if deserialization failed.
    pub value: Option<T>,
    /// All faults found.
    pub faults: Faults,
    /// Paths of the placeholders.
    pub placeholder_paths: BTreeSet<String>,
}

/// Deserializes a value from `item`.
pub fn decode<T: DeserializeOwned>(item: &Item) -> Decoded<T> {
    let mut serde_faults = Faults::default();
    let mut failed_paths = BTreeSet::new();
    for _ in 0..PASSES_MAX {
        let state = PassState {
            faults: RefCell::default(),
            placeholder_paths: RefCell::new(failed_paths.clone()),
            failed_paths: &failed_paths,
        };
        let result =
            T::deserialize(Reader { item: Some(item), path: String::new(), state: &state });
        let mut faults = state.faults.into_inner();
        let placeholder_paths = state.placeholder_paths.into_inner();
        faults.list.extend(serde_faults.list.iter().cloned());
        let error = match result {
            Ok(value) => return Decoded { value: Some(value), faults, placeholder_paths },
            Err(error) => error,
        };
        let path = error.path.unwrap_or_default();
        serde_faults.push(path.clone(), error.message);
        if !failed_paths.insert(path) {
            return Decoded { value: None, faults: serde_faults, placeholder_paths };
        }
    }
    serde_faults.push("", format!("more than {PASSES_MAX} faults; the rest was not looked for"));
    Decoded { value: None, faults: serde_faults, placeholder_paths: failed_paths }
}

/// Adds the validation faults in `checked`, except those at or related to placeholders, which
/// follow from a fault that is already reported.
pub fn merge_validation_faults(
    read: &mut Faults,
    placeholder_paths: &BTreeSet<String>,
    checked: Faults,
) {
    let is_placeholder = |path: &str| placeholder_paths.iter().any(|other| is_within(path, other));
    let independent = checked.list.into_iter().filter(|fault| {
        let related = fault.related.as_deref().is_some_and(is_placeholder);
        !related && !is_placeholder(&fault.path)
    });
    read.list.extend(independent);
}

/// Returns whether `path` is `outer` or below it.
fn is_within(path: &str, outer: &str) -> bool {
    let mut ancestor = Some(path);
    while let Some(path) = ancestor {
        if path == outer {
            return true;
        }
        ancestor = parent_path(path);
    }
    false
}

/// State of one pass over a document.
struct PassState<'a> {
    faults: RefCell<Faults>,
    placeholder_paths: RefCell<BTreeSet<String>>,
    /// Paths at which an earlier pass ended; this pass uses placeholders there.
    failed_paths: &'a BTreeSet<String>,
}

impl PassState<'_> {
    fn push_fault(&self, path: &str, message: impl Into<String>) {
        self.faults.borrow_mut().push(path, message);
    }
}

#[derive(Debug)]
struct DecodeError {
    message: String,
    field: Option<&'static str>,
    path: Option<String>,
}

impl DecodeError {
    fn at(mut self, path: &str) -> Self {
        if self.path.is_none() {
            self.path = Some(match self.field {
                Some(field) => key_path(path, field),
                None => path.to_owned(),
            });
        }
        self
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for DecodeError {}

impl serde::de::Error for DecodeError {
    fn custom<T: fmt::Display>(message: T) -> Self {
        Self { message: message.to_string(), field: None, path: None }
    }

    fn missing_field(field: &'static str) -> Self {
        Self { message: "is missing".to_owned(), field: Some(field), path: None }
    }
}
