//! Untyped tree of a settings file or a configuration document, with the line of each value.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, Spanned};

use crate::error::{Fault, Faults};

/// A value and its location in the file.
#[derive(Debug)]
pub struct Item {
    /// Line of the file, counted from 1; `None` for a JSON document.
    pub line: Option<usize>,
    /// Source text of an unquoted scalar in a YAML document.
    pub plain: Option<Arc<str>>,
    /// The value.
    pub node: Node,
}

/// A value of a document.
#[derive(Debug)]
pub enum Node {
    /// No value.
    Null,
    /// A boolean.
    Bool(bool),
    /// A whole number.
    Unsigned(u64),
    /// A negative whole number.
    Signed(i64),
    /// Any other number.
    Float(f64),
    /// Text.
    Text(Arc<str>),
    /// A list.
    List(Vec<Item>),
    /// A mapping in the order of the file; keys may be duplicated.
    Map(Vec<Entry>),
}

/// One entry of a mapping.
#[derive(Debug)]
pub struct Entry {
    /// Key of the entry.
    pub key: Arc<str>,
    /// Line of the key.
    pub line: Option<usize>,
    /// Value of the entry.
    pub value: Item,
}

impl Item {
    /// Parses YAML text.
    pub fn from_yaml(text: &str) -> Result<Self, Faults> {
        let options = serde_saphyr::options! { duplicate_keys: DuplicateKeyPolicy::PassThrough };
        match serde_saphyr::from_str_with_options::<Spanned<RawNode>>(text, options) {
            Ok(spanned) => Ok(Self::from_spanned(spanned, text)),
            Err(error) => Err(parse_fault(&error)),
        }
    }

    fn from_spanned(spanned: Spanned<RawNode>, text: &str) -> Self {
        let line = line_of(&spanned);
        let mut plain = None;
        let node = match spanned.value {
            RawNode::Scalar(node) => {
                plain = source_text(&spanned.defined, text);
                node
            }
            RawNode::List(list) => {
                Node::List(list.into_iter().map(|item| Self::from_spanned(item, text)).collect())
            }
            RawNode::Map(entries) => {
                let entry = |(key, value): (Spanned<Arc<str>>, Spanned<RawNode>)| Entry {
                    line: line_of(&key),
                    key: key.value,
                    value: Self::from_spanned(value, text),
                };
                Node::Map(entries.into_iter().map(entry).collect())
            }
        };
        Self { line, plain, node }
    }

    /// Returns the lines of all values by path.
    pub fn lines(&self) -> BTreeMap<String, usize> {
        let mut lines = BTreeMap::new();
        self.collect_lines("", &mut lines);
        lines
    }

    fn collect_lines(&self, path: &str, lines: &mut BTreeMap<String, usize>) {
        if let Some(line) = self.line {
            lines.entry(path.to_owned()).or_insert(line);
        }
        match &self.node {
            Node::List(items) => {
                for (index, item) in items.iter().enumerate() {
                    item.collect_lines(&index_path(path, index), lines);
                }
            }
            Node::Map(entries) => {
                for entry in entries {
                    let path = key_path(path, &entry.key);
                    if let Some(line) = entry.line {
                        lines.insert(path.clone(), line);
                    }
                    entry.value.collect_lines(&path, lines);
                }
            }
            _ => {}
        }
    }
}

/// Returns the path of an entry of the mapping at `path`.
pub fn key_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

/// Returns the path of an element of the list at `path`.
pub fn index_path(path: &str, index: usize) -> String {
    format!("{path}[{index}]")
}

/// Returns the path of the value that contains the one at `path`.
pub fn parent_path(path: &str) -> Option<&str> {
    if path.is_empty() {
        return None;
    }
    Some(path.rfind(['.', '[']).map_or("", |end| &path[..end]))
}

/// Sets the line of each fault without one to that of its path or of the nearest containing value,
/// and sorts the faults by line.
pub fn assign_lines(faults: &mut Faults, lines: &BTreeMap<String, usize>) {
    for fault in faults.list.iter_mut().filter(|fault| fault.line.is_none()) {
        let mut path = Some(fault.path.as_str());
        while let Some(ancestor) = path {
            if let Some(line) = lines.get(ancestor) {
                fault.line = Some(*line);
                break;
            }
            path = parent_path(ancestor);
        }
    }
    faults.list.sort_by_key(|fault| fault.line);
}

fn parse_fault(error: &serde_saphyr::Error) -> Faults {
    let line = error.location().map(|location| location.line() as usize);
    let message = error.without_snippet().to_string();
    Faults { list: vec![Fault { path: String::new(), message, line, related: None }] }
}

fn line_of<T>(spanned: &Spanned<T>) -> Option<usize> {
    let line = spanned.referenced.line() as usize;
    (line > 0).then_some(line)
}

fn source_text(location: &serde_saphyr::Location, text: &str) -> Option<Arc<str>> {
    let span = location.span();
    let start = span.byte_offset()? as usize;
    let length = span.byte_len()? as usize;
    text.get(start..start.checked_add(length)?).map(Arc::from)
}

enum RawNode {
    Scalar(Node),
    List(Vec<Spanned<RawNode>>),
    Map(Vec<(Spanned<Arc<str>>, Spanned<RawNode>)>),
}

impl<'de> Deserialize<'de> for RawNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = RawNode;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<RawNode, E> {
        Ok(RawNode::Scalar(Node::Null))
    }

    fn visit_none<E>(self) -> Result<RawNode, E> {
        Ok(RawNode::Scalar(Node::Null))
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<RawNode, D::Error> {
        deserializer.deserialize_any(self)
    }

    fn visit_bool<E>(self, value: bool) -> Result<RawNode, E> {
        Ok(RawNode::Scalar(Node::Bool(value)))
    }

    fn visit_u64<E>(self, value: u64) -> Result<RawNode, E> {
        Ok(RawNode::Scalar(Node::Unsigned(value)))
    }

    fn visit_i64<E>(self, value: i64) -> Result<RawNode, E> {
        let node = u64::try_from(value).map_or(Node::Signed(value), Node::Unsigned);
        Ok(RawNode::Scalar(node))
    }

    fn visit_f64<E>(self, value: f64) -> Result<RawNode, E> {
        Ok(RawNode::Scalar(Node::Float(value)))
    }

    fn visit_i128<E>(self, value: i128) -> Result<RawNode, E> {
        Ok(RawNode::Scalar(Node::Float(value as f64)))
    }

    fn visit_u128<E>(self, value: u128) -> Result<RawNode, E> {
        Ok(RawNode::Scalar(Node::Float(value as f64)))
    }

    fn visit_str<E>(self, value: &str) -> Result<RawNode, E> {
        Ok(RawNode::Scalar(Node::Text(value.into())))
    }

    fn visit_bytes<E>(self, value: &[u8]) -> Result<RawNode, E> {
        Ok(RawNode::Scalar(Node::Text(String::from_utf8_lossy(value).into())))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<RawNode, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = access.next_element()? {
            list.push(item);
        }
        Ok(RawNode::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<RawNode, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = access.next_entry()? {
            entries.push(entry);
        }
        Ok(RawNode::Map(entries))
    }
}

impl From<&serde_json::Value> for Item {
    fn from(value: &serde_json::Value) -> Self {
        use serde_json::Value;
        let node = match value {
            Value::Null => Node::Null,
            Value::Bool(value) => Node::Bool(*value),
            Value::Number(number) => Node::from(number),
            Value::String(text) => Node::Text(text.as_str().into()),
            Value::Array(list) => Node::List(list.iter().map(Self::from).collect()),
            Value::Object(map) => {
                let entry = |(key, value): (&String, &Value)| Entry {
                    key: key.as_str().into(),
                    line: None,
                    value: Self::from(value),
                };
                Node::Map(map.iter().map(entry).collect())
            }
        };
        Self { line: None, plain: None, node }
    }
}

impl From<&serde_json::Number> for Node {
    fn from(number: &serde_json::Number) -> Self {
        if let Some(value) = number.as_u64() {
            return Self::Unsigned(value);
        }
        if let Some(value) = number.as_i64() {
            return Self::Signed(value);
        }
        Self::Float(number.as_f64().unwrap_or(f64::NAN))
    }
}
