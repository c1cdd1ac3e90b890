//! Deserializer of one value of a tree.

use std::collections::BTreeSet;

use serde::de::value::StrDeserializer;
use serde::de::{Deserializer, IntoDeserializer, Visitor};

use super::access::{Entries, Items};
use super::{DecodeError, PassState};
use crate::node::{Entry, Item, Node, key_path};

/// Placeholder for a faulty text. It also parses as a socket address.
const TEXT_PLACEHOLDER: &str = "127.0.0.1:1";

/// Minimum Jaro-Winkler similarity at which a known field is suggested for an unknown one.
const SUGGESTION_SIMILARITY_MIN: f64 = 0.8;

/// Deserializer of one value; without an item it yields a placeholder.
pub(super) struct Reader<'a> {
    /// The value to deserialize.
    pub(super) item: Option<&'a Item>,
    /// Path of the value.
    pub(super) path: String,
    /// State of the pass, which collects the faults.
    pub(super) state: &'a PassState<'a>,
}

impl<'a> Reader<'a> {
    /// Returns the value, or `None` if a placeholder must be used.
    fn node(&self) -> Option<&'a Node> {
        if self.state.failed_paths.contains(&self.path) {
            return None;
        }
        self.item.map(|item| &item.node)
    }

    /// Records a fault of this value, which the caller replaces by a placeholder.
    fn reject(&self, message: impl Into<String>) {
        self.state.placeholder_paths.borrow_mut().insert(self.path.clone());
        self.state.push_fault(&self.path, message);
    }

    fn unsigned(&self, max: u64) -> u64 {
        match self.node() {
            None => 1,
            Some(Node::Unsigned(value)) if *value <= max => *value,
            Some(_) => {
                self.reject(format!("must be a whole number from 0 to {max}"));
                1
            }
        }
    }

    fn signed(&self, min: i64, max: i64) -> i64 {
        let value = match self.node() {
            None => return 1,
            Some(Node::Unsigned(value)) => i64::try_from(*value).ok(),
            Some(Node::Signed(value)) => Some(*value),
            Some(_) => None,
        };
        value.filter(|value| (min..=max).contains(value)).unwrap_or_else(|| {
            self.reject(format!("must be a whole number from {min} to {max}"));
            1
        })
    }

    fn float(&self) -> f64 {
        match self.node() {
            None => 1.0,
            Some(Node::Unsigned(value)) => *value as f64,
            Some(Node::Signed(value)) => *value as f64,
            Some(Node::Float(value)) if value.is_finite() => *value,
            Some(_) => {
                self.reject("must be a number");
                1.0
            }
        }
    }

    fn text(&self) -> &'a str {
        let plain = self.item.and_then(|item| item.plain.as_deref());
        match self.node() {
            None => TEXT_PLACEHOLDER,
            Some(Node::Text(text)) => text,
            Some(Node::Bool(_) | Node::Unsigned(_) | Node::Signed(_) | Node::Float(_))
                if plain.is_some() =>
            {
                plain.unwrap_or_default()
            }
            Some(_) => {
                self.reject("must be text");
                TEXT_PLACEHOLDER
            }
        }
    }

    fn entries(&self) -> &'a [Entry] {
        match self.node() {
            None => &[],
            Some(Node::Map(entries)) => entries,
            Some(_) => {
                self.reject("must be a mapping");
                &[]
            }
        }
    }

    fn items(&self) -> &'a [Item] {
        match self.node() {
            None => &[],
            Some(Node::List(items)) => items,
            Some(_) => {
                self.reject("must be a list");
                &[]
            }
        }
    }

    /// Returns the last entry of each key and records earlier ones as faults.
    fn distinct_entries(&self) -> Vec<&'a Entry> {
        let entries = self.entries();
        let mut seen = BTreeSet::new();
        let mut distinct = Vec::new();
        for entry in entries.iter().rev() {
            if seen.insert(&entry.key) {
                distinct.push(entry);
            } else {
                self.state.push_fault(&key_path(&self.path, &entry.key), "is given more than once");
            }
        }
        distinct.reverse();
        distinct
    }

    /// Returns the entries whose keys are in `fields` and records the others as faults.
    fn known_entries(&self, fields: &'static [&'static str]) -> Vec<&'a Entry> {
        let (known, unknown): (Vec<_>, Vec<_>) =
            self.distinct_entries().into_iter().partition(|entry| fields.contains(&&*entry.key));
        for entry in unknown {
            self.state
                .push_fault(&key_path(&self.path, &entry.key), unknown_field(&entry.key, fields));
        }
        known
    }

    fn map_access(&self, fields: &[&'static str], entries: Vec<&'a Entry>) -> Entries<'a> {
        let absent = |field: &&&str| !entries.iter().any(|entry| *entry.key == ***field);
        let missing = fields.iter().filter(absent).copied().collect();
        Entries::new(entries, missing, &self.path, self.state)
    }
}

fn unknown_field(name: &str, fields: &[&str]) -> String {
    let similarity = |field: &str| strsim::jaro_winkler(name, field);
    let nearest = fields.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    match nearest.filter(|field| similarity(field) >= SUGGESTION_SIMILARITY_MIN) {
        Some(field) => format!("unknown field; did you mean {field}?"),
        None => format!("unknown field; known are {}", fields.join(", ")),
    }
}

macro_rules! unsigned {
    ($($method:ident $visit:ident $type:ident;)+) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
            let value = $type::try_from(self.unsigned($type::MAX.into())).unwrap_or($type::MAX);
            visitor.$visit(value).map_err(|error: DecodeError| error.at(&self.path))
        })+
    };
}

macro_rules! signed {
    ($($method:ident $visit:ident $type:ident;)+) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
            let value = self.signed($type::MIN.into(), $type::MAX.into());
            let value = $type::try_from(value).unwrap_or($type::MAX);
            visitor.$visit(value).map_err(|error: DecodeError| error.at(&self.path))
        })+
    };
}

impl<'de> Deserializer<'de> for Reader<'_> {
    type Error = DecodeError;

    unsigned! {
        deserialize_u8 visit_u8 u8;
        deserialize_u16 visit_u16 u16;
        deserialize_u32 visit_u32 u32;
        deserialize_u64 visit_u64 u64;
    }

    signed! {
        deserialize_i8 visit_i8 i8;
        deserialize_i16 visit_i16 i16;
        deserialize_i32 visit_i32 i32;
        deserialize_i64 visit_i64 i64;
    }

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        match self.node() {
            None | Some(Node::Null) => visitor.visit_unit(),
            Some(Node::Bool(value)) => visitor.visit_bool(*value),
            Some(Node::Unsigned(value)) => visitor.visit_u64(*value),
            Some(Node::Signed(value)) => visitor.visit_i64(*value),
            Some(Node::Float(value)) => visitor.visit_f64(*value),
            Some(Node::Text(text)) => visitor.visit_str(text),
            Some(Node::List(_)) => self.deserialize_seq(visitor),
            Some(Node::Map(_)) => self.deserialize_map(visitor),
        }
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        let value = match self.node() {
            None => false,
            Some(Node::Bool(value)) => *value,
            Some(_) => {
                self.reject("must be true or false");
                false
            }
        };
        visitor.visit_bool(value)
    }

    fn deserialize_f32<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        visitor.visit_f64(self.float())
    }

    fn deserialize_f64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        visitor.visit_f64(self.float())
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        visitor.visit_str(self.text()).map_err(|error: DecodeError| error.at(&self.path))
    }

    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        self.deserialize_str(visitor)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        match self.node() {
            None | Some(Node::Null) => visitor.visit_none(),
            Some(_) => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        let access = Items::new(self.items(), &self.path, self.state);
        visitor.visit_seq(access).map_err(|error| error.at(&self.path))
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        let access = self.map_access(&[], self.distinct_entries());
        visitor.visit_map(access).map_err(|error| error.at(&self.path))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        let access = self.map_access(fields, self.known_entries(fields));
        visitor.visit_map(access).map_err(|error| error.at(&self.path))
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        let text = self.text();
        let known = variants.iter().find(|variant| **variant == text);
        if known.is_none() {
            self.reject(format!("must be one of {}", variants.join(", ")));
        }
        let variant = known.or(variants.first()).copied().unwrap_or_default();
        let variant: StrDeserializer<'_, DecodeError> = variant.into_deserializer();
        visitor.visit_enum(variant).map_err(|error| error.at(&self.path))
    }

    serde::forward_to_deserialize_any! {
        i128 u128 char bytes byte_buf unit unit_struct tuple tuple_struct identifier ignored_any
    }
}
