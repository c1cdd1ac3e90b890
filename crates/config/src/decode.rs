//! Reads typed values from an untyped tree and notes every fault on the way.
//!
//! A value of the wrong type is noted and a stand-in of the right type takes its place, so that
//! reading goes on. Faults that serde itself finds (a missing field, text that a type refuses) end
//! a pass; the next pass puts a stand-in at that path.

mod access;
mod reader;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;

use serde::de::DeserializeOwned;

use crate::decode::reader::Reader;
use crate::error::Faults;
use crate::node::{Item, key_path, parent_path};

/// Passes after which the remaining faults are not looked for.
const PASSES_MAX: usize = 1_000;

/// A value read from a tree, with the faults found in the tree.
#[derive(Debug)]
pub struct Decoded<T> {
    /// The value; faulty parts of it are stand-ins. `None` when nothing could be read.
    pub value: Option<T>,
    /// Every fault found.
    pub faults: Faults,
    /// Paths of the stand-ins.
    pub spoiled: BTreeSet<String>,
}

/// Reads a value from `item`.
pub fn decode<T: DeserializeOwned>(item: &Item) -> Decoded<T> {
    let mut ended = Faults::default();
    let mut standins = BTreeSet::new();
    for _ in 0..PASSES_MAX {
        let sink = Sink {
            faults: RefCell::default(),
            spoiled: RefCell::new(standins.clone()),
            standins: &standins,
        };
        let result = T::deserialize(Reader { item: Some(item), path: String::new(), sink: &sink });
        let mut faults = sink.faults.into_inner();
        let spoiled = sink.spoiled.into_inner();
        faults.list.extend(ended.list.iter().cloned());
        let error = match result {
            Ok(value) => return Decoded { value: Some(value), faults, spoiled },
            Err(error) => error,
        };
        let path = error.path.unwrap_or_default();
        ended.push(path.clone(), error.message);
        if !standins.insert(path) {
            return Decoded { value: None, faults: ended, spoiled };
        }
    }
    ended.push("", format!("more than {PASSES_MAX} faults; the rest was not looked for"));
    Decoded { value: None, faults: ended, spoiled: standins }
}

/// Adds the faults that `checked` found, less those that follow from stand-ins.
pub fn merge_checked(read: &mut Faults, spoiled: &BTreeSet<String>, checked: Faults) {
    let is_spoiled = |path: &str| spoiled.iter().any(|other| within(path, other));
    let sound = checked.list.into_iter().filter(|fault| {
        let related = fault.related.as_deref().is_some_and(is_spoiled);
        !related && !is_spoiled(&fault.path)
    });
    read.list.extend(sound);
}

fn within(path: &str, outer: &str) -> bool {
    let mut place = Some(path);
    while let Some(path) = place {
        if path == outer {
            return true;
        }
        place = parent_path(path);
    }
    false
}

struct Sink<'a> {
    faults: RefCell<Faults>,
    spoiled: RefCell<BTreeSet<String>>,
    standins: &'a BTreeSet<String>,
}

impl Sink<'_> {
    fn note(&self, path: &str, message: impl Into<String>) {
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
