//! Patches that produce the next version of the configuration.

use json_patch::PatchOperation;
use serde_json::{Map, Value};

use crate::check::from_json;
use crate::document::Config;
use crate::error::Faults;
use crate::id::Version;
use crate::raw::{RawChange, RawConfig};

/// Media type of a merge patch (RFC 7396).
pub const MERGE_PATCH: &str = "application/merge-patch+json";
/// Media type of a list of patch operations (RFC 6902).
pub const JSON_PATCH: &str = "application/json-patch+json";

/// Maximum size in bytes of a patch that is stored with its change record.
pub const STORED_PATCH_BYTES_MAX: usize = 8 << 10;

/// Maximum number of operations in one patch.
pub const OPERATIONS_MAX: usize = 1_000;

/// Maximum size in bytes of the document while operations are applied. Checked after each `copy`
/// operation, so that repeated copies are rejected early.
const DOCUMENT_BYTES_MAX: usize = 4 << 20;

/// Fields that the operators' interface sets and a patch must not contain.
const SERVER_SET_FIELDS: [&str; 2] = ["write_id", "change"];

/// A change to the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum Patch {
    /// Merge patch (RFC 7396): fields replace fields, `null` removes them.
    Merge(Value),
    /// Operations (RFC 6902), applied in order and atomically.
    Operations(json_patch::Patch),
}

/// Origin of a version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Number of the new version.
    pub version: Version,
    /// Identifies the write that stores the version.
    pub write_id: String,
    /// Operator who made the change.
    pub operator: std::sync::Arc<str>,
    /// Time of the change, in seconds since the Unix epoch.
    pub unix_s: u64,
}

impl Patch {
    /// Parses operations from a JSON document.
    pub fn from_operations(value: Value) -> Result<Self, Faults> {
        let patch: json_patch::Patch =
            serde_json::from_value(value).map_err(|error| Faults::one("", error.to_string()))?;
        if patch.0.len() > OPERATIONS_MAX {
            return Err(Faults::one("", format!("more than {OPERATIONS_MAX} operations")));
        }
        Ok(Self::Operations(patch))
    }

    /// Returns the media type of the patch.
    pub fn media_type(&self) -> &'static str {
        match self {
            Self::Merge(_) => MERGE_PATCH,
            Self::Operations(_) => JSON_PATCH,
        }
    }

    /// Applies this patch to `base` and validates the result. A `base` of `None` is an empty
    /// document, to which the first version is applied.
    pub fn next_config(&self, base: Option<&Config>, origin: &Origin) -> Result<Config, Faults> {
        let base_version = base.map_or(0, |config| config.version);
        let mut document = base_document(base)?;
        self.apply(&mut document)?;
        let Value::Object(mut fields) = document else {
            return Err(Faults::one("", "must be a mapping"));
        };
        check_server_set_fields(&fields, base_version, origin.version)?;
        let change = RawChange {
            operator: origin.operator.clone(),
            unix_s: origin.unix_s,
            base_version,
            media_type: self.media_type().into(),
            patch: self.stored_patch(),
        };
        fields.insert("version".to_owned(), origin.version.into());
        let mut config = from_json::<RawConfig, Config>(&Value::Object(fields))?;
        config.write_id.clone_from(&origin.write_id);
        config.change = Some(change);
        Ok(config)
    }

    /// Applies the patch to `document`. On an error, `document` may be partly modified.
    fn apply(&self, document: &mut Value) -> Result<(), Faults> {
        match self {
            Self::Merge(patch) => json_patch::merge(document, patch),
            Self::Operations(patch) => {
                for (index, operation) in patch.0.iter().enumerate() {
                    apply_operation(document, index, operation)?;
                }
            }
        }
        Ok(())
    }

    /// Returns the patch to store with its change record, or `None` if it is too large.
    fn stored_patch(&self) -> Option<Value> {
        let value = match self {
            Self::Merge(patch) => patch.clone(),
            Self::Operations(patch) => serde_json::to_value(patch).ok()?,
        };
        (value.to_string().len() <= STORED_PATCH_BYTES_MAX).then_some(value)
    }
}

fn apply_operation(
    document: &mut Value,
    index: usize,
    operation: &PatchOperation,
) -> Result<(), Faults> {
    let applied = json_patch::patch(document, std::slice::from_ref(operation));
    applied.map_err(|error| Faults::one(format!("[{index}]"), error.kind.to_string()))?;
    let copies = matches!(operation, PatchOperation::Copy(_));
    if copies && document.to_string().len() > DOCUMENT_BYTES_MAX {
        return Err(Faults::one(format!("[{index}]"), "makes the configuration too long"));
    }
    Ok(())
}

fn base_document(base: Option<&Config>) -> Result<Value, Faults> {
    let Some(config) = base else { return Ok(Value::Object(Map::new())) };
    let raw = RawConfig::from(config);
    let mut document =
        serde_json::to_value(raw).map_err(|error| Faults::one("", error.to_string()))?;
    if let Value::Object(fields) = &mut document {
        SERVER_SET_FIELDS.iter().for_each(|field| drop(fields.remove(*field)));
    }
    Ok(document)
}

fn check_server_set_fields(
    fields: &Map<String, Value>,
    base: Version,
    next: Version,
) -> Result<(), Faults> {
    let mut faults = Faults::default();
    for field in SERVER_SET_FIELDS.iter().filter(|field| fields.contains_key(**field)) {
        faults.push(*field, "is set by the operators' interface; leave it out");
    }
    let version = fields.get("version").map(Value::as_u64);
    if version.is_some_and(|version| version != Some(base) && version != Some(next)) {
        faults.push("version", format!("must be {base} or {next}, or left out"));
    }
    faults.into_result(())
}

#[cfg(test)]
mod tests;
