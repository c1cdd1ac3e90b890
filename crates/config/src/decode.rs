//! Reads typed values from an untyped tree and notes every fault on the way.
//!
//! A value of the wrong type is noted and a stand-in of the right type takes its place, so that
//! reading goes on. Faults that serde itself finds (a missing field, text that a type refuses) end
//! a pass; the next pass puts a stand-in at that path.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;

use serde::de::value::{Error as PlainError, StrDeserializer};
use serde::de::{
    DeserializeOwned, DeserializeSeed, Deserializer, Error as _, IntoDeserializer, MapAccess,
    SeqAccess, Visitor,
};

use crate::error::Faults;
use crate::node::{Entry, Item, Node, index_path, key_path, parent_path};

/// Passes after which the remaining faults are not looked for.
const PASSES_MAX: usize = 1_000;

/// Text that stands in for a faulty one; it also reads as a socket address.
const TEXT_STANDIN: &str = "127.0.0.1:1";

/// Likeness above which a known field is suggested for an unknown one.
const SUGGESTION_LIKENESS: f64 = 0.8;

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

impl From<PlainError> for DecodeError {
    fn from(error: PlainError) -> Self {
        Self::custom(error)
    }
}

/// Deserializer of one value; without an item it yields a stand-in.
struct Reader<'a> {
    item: Option<&'a Item>,
    path: String,
    sink: &'a Sink<'a>,
}

impl<'a> Reader<'a> {
    /// The value, or `None` where a stand-in must be yielded.
    fn node(&self) -> Option<&'a Node> {
        if self.sink.standins.contains(&self.path) {
            return None;
        }
        self.item.map(|item| &item.node)
    }

    /// Notes that a stand-in takes the place of this value.
    fn note(&self, message: impl Into<String>) {
        self.sink.spoiled.borrow_mut().insert(self.path.clone());
        self.sink.note(&self.path, message);
    }

    fn unsigned(&self, max: u64) -> u64 {
        match self.node() {
            None => 1,
            Some(Node::Unsigned(value)) if *value <= max => *value,
            Some(_) => {
                self.note(format!("must be a whole number from 0 to {max}"));
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
            self.note(format!("must be a whole number from {min} to {max}"));
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
                self.note("must be a number");
                1.0
            }
        }
    }

    fn text(&self) -> &'a str {
        let plain = self.item.and_then(|item| item.plain.as_deref());
        match self.node() {
            None => TEXT_STANDIN,
            Some(Node::Text(text)) => text,
            Some(Node::Bool(_) | Node::Unsigned(_) | Node::Signed(_) | Node::Float(_))
                if plain.is_some() =>
            {
                plain.unwrap_or_default()
            }
            Some(_) => {
                self.note("must be text");
                TEXT_STANDIN
            }
        }
    }

    fn entries(&self) -> &'a [Entry] {
        match self.node() {
            None => &[],
            Some(Node::Map(entries)) => entries,
            Some(_) => {
                self.note("must be a mapping");
                &[]
            }
        }
    }

    fn items(&self) -> &'a [Item] {
        match self.node() {
            None => &[],
            Some(Node::List(items)) => items,
            Some(_) => {
                self.note("must be a list");
                &[]
            }
        }
    }

    /// The last entry of each key; earlier ones are noted as faults.
    fn distinct(&self) -> Vec<&'a Entry> {
        let entries = self.entries();
        let mut seen = BTreeSet::new();
        let mut distinct = Vec::new();
        for entry in entries.iter().rev() {
            if seen.insert(&entry.key) {
                distinct.push(entry);
            } else {
                self.sink.note(&key_path(&self.path, &entry.key), "is given more than once");
            }
        }
        distinct.reverse();
        distinct
    }

    fn known(&self, fields: &'static [&'static str]) -> Vec<&'a Entry> {
        let (known, unknown): (Vec<_>, Vec<_>) =
            self.distinct().into_iter().partition(|entry| fields.contains(&&*entry.key));
        for entry in unknown {
            self.sink.note(&key_path(&self.path, &entry.key), unknown_field(&entry.key, fields));
        }
        known
    }

    fn access(&self, fields: &[&'static str], entries: Vec<&'a Entry>) -> Entries<'a> {
        let absent = |field: &&&str| !entries.iter().any(|entry| *entry.key == ***field);
        Entries {
            missing: fields.iter().filter(absent).copied().collect::<Vec<_>>().into_iter(),
            entries: entries.into_iter(),
            value: None,
            path: self.path.clone(),
            sink: self.sink,
        }
    }
}

fn unknown_field(name: &str, fields: &[&str]) -> String {
    let likeness = |field: &str| strsim::jaro_winkler(name, field);
    let nearest = fields.iter().max_by(|a, b| likeness(a).total_cmp(&likeness(b)));
    match nearest.filter(|field| likeness(field) >= SUGGESTION_LIKENESS) {
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
                self.note("must be true or false");
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
        let items = self.items().iter().enumerate();
        let access = Items { items, path: &self.path, sink: self.sink };
        visitor.visit_seq(access).map_err(|error| error.at(&self.path))
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        let access = self.access(&[], self.distinct());
        visitor.visit_map(access).map_err(|error| error.at(&self.path))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        let access = self.access(fields, self.known(fields));
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
            self.note(format!("must be one of {}", variants.join(", ")));
        }
        let variant = known.or(variants.first()).copied().unwrap_or_default();
        let variant: StrDeserializer<'_, DecodeError> = variant.into_deserializer();
        visitor.visit_enum(variant).map_err(|error| error.at(&self.path))
    }

    serde::forward_to_deserialize_any! {
        i128 u128 char bytes byte_buf unit unit_struct tuple tuple_struct identifier ignored_any
    }
}

/// Elements of a list.
struct Items<'a, 'p> {
    items: std::iter::Enumerate<std::slice::Iter<'a, Item>>,
    path: &'p str,
    sink: &'a Sink<'a>,
}

impl<'de> SeqAccess<'de> for Items<'_, '_> {
    type Error = DecodeError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, DecodeError> {
        let Some((index, item)) = self.items.next() else { return Ok(None) };
        let path = index_path(self.path, index);
        seed.deserialize(Reader { item: Some(item), path, sink: self.sink }).map(Some)
    }
}

/// Entries of a mapping, then stand-ins of the missing fields that an earlier pass found.
struct Entries<'a> {
    entries: std::vec::IntoIter<&'a Entry>,
    missing: std::vec::IntoIter<&'static str>,
    value: Option<(Option<&'a Item>, String)>,
    path: String,
    sink: &'a Sink<'a>,
}

impl<'de> MapAccess<'de> for Entries<'_> {
    type Error = DecodeError;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, DecodeError> {
        if let Some(entry) = self.entries.next() {
            self.value = Some((Some(&entry.value), key_path(&self.path, &entry.key)));
            let key: StrDeserializer<'_, DecodeError> = (&*entry.key).into_deserializer();
            return seed.deserialize(key).map(Some);
        }
        let standins = self.sink.standins;
        let missing = self.missing.by_ref().find(|field| {
            let path = key_path(&self.path, field);
            standins.contains(&path)
        });
        let Some(field) = missing else { return Ok(None) };
        self.value = Some((None, key_path(&self.path, field)));
        let key: StrDeserializer<'_, DecodeError> = field.into_deserializer();
        seed.deserialize(key).map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(
        &mut self,
        seed: V,
    ) -> Result<V::Value, DecodeError> {
        let (item, path) = self.value.take().unwrap_or_default();
        seed.deserialize(Reader { item, path, sink: self.sink })
    }
}
