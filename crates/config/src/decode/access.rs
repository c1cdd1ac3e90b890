//! Access to the elements of lists and the entries of mappings.

use serde::de::value::StrDeserializer;
use serde::de::{DeserializeSeed, IntoDeserializer, MapAccess, SeqAccess};

use super::reader::Reader;
use super::{DecodeError, PassState};
use crate::node::{Entry, Item, index_path, key_path};

/// Elements of a list.
pub(super) struct Items<'a, 'p> {
    items: std::iter::Enumerate<std::slice::Iter<'a, Item>>,
    path: &'p str,
    state: &'a PassState<'a>,
}

impl<'a, 'p> Items<'a, 'p> {
    /// Returns access to the elements of the list at `path`.
    pub(super) fn new(items: &'a [Item], path: &'p str, state: &'a PassState<'a>) -> Self {
        Self { items: items.iter().enumerate(), path, state }
    }
}

impl<'de> SeqAccess<'de> for Items<'_, '_> {
    type Error = DecodeError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, DecodeError> {
        let Some((index, item)) = self.items.next() else { return Ok(None) };
        let path = index_path(self.path, index);
        seed.deserialize(Reader { item: Some(item), path, state: self.state }).map(Some)
    }
}

/// Entries of a mapping, followed by placeholders for the missing fields at which an earlier pass
/// ended.
pub(super) struct Entries<'a> {
    entries: std::vec::IntoIter<&'a Entry>,
    missing: std::vec::IntoIter<&'static str>,
    value: Option<(Option<&'a Item>, String)>,
    path: String,
    state: &'a PassState<'a>,
}

impl<'a> Entries<'a> {
    /// Returns access to the entries of the mapping at `path`; `missing` lists the fields that it
    /// lacks.
    pub(super) fn new(
        entries: Vec<&'a Entry>,
        missing: Vec<&'static str>,
        path: &str,
        state: &'a PassState<'a>,
    ) -> Self {
        let (entries, missing) = (entries.into_iter(), missing.into_iter());
        Self { entries, missing, value: None, path: path.to_owned(), state }
    }
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
        let failed_paths = self.state.failed_paths;
        let missing = self.missing.by_ref().find(|field| {
            let path = key_path(&self.path, field);
            failed_paths.contains(&path)
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
        seed.deserialize(Reader { item, path, state: self.state })
    }
}
