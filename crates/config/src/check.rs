//! Validation of settings files and configuration files; reports each fault with its line.

use serde::de::DeserializeOwned;

use crate::decode::{Decoded, decode, merge_validation_faults};
use crate::document::Config;
use crate::error::Faults;
use crate::node::{Item, Node, assign_lines};
use crate::raw::RawConfig;
use crate::settings::{RawSettings, Settings};

/// Kind of a file that can be checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// Settings of one entry instance.
    Settings,
    /// Configuration of the fleet.
    Config,
}

/// Fields that occur only in a configuration.
const CONFIG_FIELDS: [&str; 5] = ["version", "zones", "services", "pools", "teams"];

/// Validates the text of a settings file or a configuration file and returns its kind.
///
/// The kind is determined from the top-level fields of the file.
pub fn check_file(text: &str) -> (FileKind, Result<(), Faults>) {
    let item = match Item::from_yaml(text) {
        Ok(item) => item,
        Err(faults) => return (FileKind::Config, Err(faults)),
    };
    let kind = kind_of(&item);
    let result = match kind {
        FileKind::Settings => check_item::<RawSettings, Settings>(&item).map(drop),
        FileKind::Config => check_item::<RawConfig, Config>(&item).map(drop),
    };
    (kind, result)
}

fn kind_of(item: &Item) -> FileKind {
    let Node::Map(entries) = &item.node else { return FileKind::Config };
    let is_config = |key: &str| CONFIG_FIELDS.contains(&key);
    let count = entries.iter().filter(|entry| is_config(&entry.key)).count();
    if count == 0 && !entries.is_empty() { FileKind::Settings } else { FileKind::Config }
}

/// Deserializes and validates a value from YAML text. Reports each fault with its line.
pub fn from_yaml<R, T>(text: &str) -> Result<T, Faults>
where
    R: DeserializeOwned,
    T: TryFrom<R, Error = Faults>,
{
    check_item::<R, T>(&Item::from_yaml(text)?)
}

/// Deserializes and validates a value from a JSON document. Reports each fault with its path.
pub fn from_json<R, T>(value: &serde_json::Value) -> Result<T, Faults>
where
    R: DeserializeOwned,
    T: TryFrom<R, Error = Faults>,
{
    check_item::<R, T>(&Item::from(value))
}

fn check_item<R, T>(item: &Item) -> Result<T, Faults>
where
    R: DeserializeOwned,
    T: TryFrom<R, Error = Faults>,
{
    if !matches!(item.node, Node::Map(_)) {
        let mut faults = Faults::one("", "must be a mapping");
        assign_lines(&mut faults, &item.lines());
        return Err(faults);
    }
    let Decoded { value, mut faults, placeholder_paths } = decode::<R>(item);
    let mut checked = None;
    match value.map(T::try_from) {
        Some(Ok(value)) => checked = Some(value),
        Some(Err(validation_faults)) => {
            merge_validation_faults(&mut faults, &placeholder_paths, validation_faults)
        }
        None => {}
    }
    assign_lines(&mut faults, &item.lines());
    match checked {
        Some(value) if faults.is_empty() => Ok(value),
        _ => Err(faults),
    }
}

impl Config {
    /// Deserializes and validates a configuration from YAML text.
    pub fn from_yaml(text: &str) -> Result<Self, Faults> {
        from_yaml::<RawConfig, Self>(text)
    }
}

impl Settings {
    /// Deserializes and validates settings from YAML text.
    pub fn from_yaml(text: &str) -> Result<Self, Faults> {
        from_yaml::<RawSettings, Self>(text)
    }
}

#[cfg(test)]
mod tests;
