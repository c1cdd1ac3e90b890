//! Messages of the JSON gateway of etcd v3, with the fields that the client uses.
//!
//! The gateway encodes bytes in base64 and 64-bit integers as strings, and omits fields with the
//! default value of their type.

use std::fmt;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A 64-bit integer, encoded as a string and decoded from a string or a number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Int64(pub i64);

impl Int64 {
    fn is_default(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Int64Visitor)
    }
}

struct Int64Visitor;

impl Visitor<'_> for Int64Visitor {
    type Value = Int64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a 64-bit integer or its decimal string")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Int64, E> {
        text.parse().map(Int64).map_err(E::custom)
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Int64, E> {
        Ok(Int64(number))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Int64, E> {
        i64::try_from(number).map(Int64).map_err(E::custom)
    }
}

/// Bytes, encoded in base64.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Base64(pub Bytes);

impl Base64 {
    fn is_default(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<&str> for Base64 {
    fn from(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(Base64Visitor)
    }
}

struct Base64Visitor;

impl Visitor<'_> for Base64Visitor {
    type Value = Base64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes in base64")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Base64, E> {
        BASE64_STANDARD.decode(text).map(|bytes| Base64(bytes.into())).map_err(E::custom)
    }
}

macro_rules! messages {
    ($($(#[$meta:meta])* pub struct $name:ident {
        $($(#[$field_meta:meta])* $field:ident: $type:ty $(, skip $skip:expr)?;)*
    })+) => {$(
        $(#[$meta])*
        #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
        pub struct $name {$(
            $(#[$field_meta])*
            #[serde(default $(, skip_serializing_if = $skip)?)]
            pub $field: $type,
        )*}
    )+};
}

messages! {
    /// Header of each response.
    pub struct Header {
        /// Revision of the store.
        revision: Int64, skip "Int64::is_default";
    }

    /// A stored key.
    pub struct KeyValue {
        /// The key.
        key: Base64;
        /// Revision at which the key was created.
        create_revision: Int64, skip "Int64::is_default";
        /// Revision of the last write.
        mod_revision: Int64, skip "Int64::is_default";
        /// The value.
        value: Base64, skip "Base64::is_default";
    }

    /// Request of `/v3/kv/range`.
    pub struct RangeRequest {
        /// The first key.
        key: Base64;
        /// End of the range, exclusive; empty for one key.
        range_end: Base64, skip "Base64::is_default";
        /// Maximum number of keys to return; zero for all.
        limit: Int64, skip "Int64::is_default";
        /// Revision to read; zero for the latest.
        revision: Int64, skip "Int64::is_default";
    }

    /// Response of `/v3/kv/range`.
    pub struct RangeResponse {
        /// Header of the response.
        header: Option<Header>;
        /// Keys and values, ordered by key.
        kvs: Vec<KeyValue>, skip "Vec::is_empty";
        /// Whether there are more keys beyond the limit.
        more: bool, skip "is_false";
    }

    /// Condition of a transaction.
    pub struct CompareMessage {
        /// The key.
        key: Base64;
        /// Compared property of the key.
        target: CompareTarget;
        /// Comparison operator.
        result: CompareResult;
        /// Revision of the creation, for [`CompareTarget::Create`].
        create_revision: Option<Int64>, skip "Option::is_none";
        /// Revision of the last write, for [`CompareTarget::Mod`].
        mod_revision: Option<Int64>, skip "Option::is_none";
    }

    /// A put within a transaction.
    pub struct PutRequest {
        /// The key.
        key: Base64;
        /// The value.
        value: Base64, skip "Base64::is_default";
        /// Lease of the key; zero for none.
        lease: Int64, skip "Int64::is_default";
    }

    /// A removal within a transaction.
    pub struct DeleteRangeRequest {
        /// The key.
        key: Base64;
    }

    /// One operation of a transaction.
    pub struct RequestOp {
        /// A put.
        request_put: Option<PutRequest>, skip "Option::is_none";
        /// A removal.
        request_delete_range: Option<DeleteRangeRequest>, skip "Option::is_none";
    }

    /// Request of `/v3/kv/txn`.
    pub struct TxnRequest {
        /// Conditions, all of which must hold.
        compare: Vec<CompareMessage>;
        /// Operations that take effect if the conditions hold.
        success: Vec<RequestOp>;
    }

    /// Response of `/v3/kv/txn`.
    pub struct TxnResponse {
        /// Header of the response.
        header: Option<Header>;
        /// Whether the conditions held.
        succeeded: bool, skip "is_false";
    }

    /// Request of `/v3/lease/grant`.
    pub struct LeaseGrantRequest {
        /// Time to live, in seconds.
        #[serde(rename = "TTL")]
        ttl_s: Int64;
    }

    /// Request of `/v3/lease/keepalive` and `/v3/lease/revoke`.
    pub struct LeaseRequest {
        /// The lease.
        #[serde(rename = "ID")]
        id: Int64;
    }

    /// Response of the lease calls.
    pub struct LeaseResponse {
        /// Header of the response.
        header: Option<Header>;
        /// The lease.
        #[serde(rename = "ID")]
        id: Int64, skip "Int64::is_default";
        /// Time to live, in seconds; zero once it has expired.
        #[serde(rename = "TTL")]
        ttl_s: Int64, skip "Int64::is_default";
    }

    /// Parameters of a new watch.
    pub struct WatchCreateRequest {
        /// The first key.
        key: Base64;
        /// End of the range, exclusive.
        range_end: Base64, skip "Base64::is_default";
        /// First revision to deliver.
        start_revision: Int64, skip "Int64::is_default";
        /// Whether the service reports its revision while there are no changes.
        progress_notify: bool, skip "is_false";
    }

    /// Request of `/v3/watch`.
    pub struct WatchRequest {
        /// Parameters of the watch.
        create_request: WatchCreateRequest;
    }

    /// A change.
    pub struct Event {
        /// Kind of the change.
        #[serde(rename = "type")]
        kind: EventKind, skip "EventKind::is_put";
        /// The key after the change.
        kv: Option<KeyValue>, skip "Option::is_none";
    }

    /// Message of a watch.
    pub struct WatchResponse {
        /// Header of the message.
        header: Option<Header>;
        /// Whether the watch was created.
        created: bool, skip "is_false";
        /// Whether the service has canceled the watch.
        canceled: bool, skip "is_false";
        /// Oldest revision that can be watched, if the watch was canceled by a compaction.
        compact_revision: Int64, skip "Int64::is_default";
        /// Changes, ordered by revision.
        events: Vec<Event>, skip "Vec::is_empty";
    }

    /// Body of an error.
    pub struct ErrorBody {
        /// Status code of gRPC.
        code: i32;
        /// Message of the error.
        message: String;
    }

    /// Error within a stream.
    pub struct StreamError {
        /// Status code of gRPC.
        #[serde(alias = "code")]
        grpc_code: i32;
        /// Message of the error.
        message: String;
    }
}

/// One message of a streaming response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamMessage<T> {
    /// A message.
    Result(T),
    /// The error that ends the stream.
    Error(StreamError),
}

/// Property of a key that a condition compares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// Number of writes of the key since its creation.
    #[default]
    Version,
    /// Revision of the creation.
    Create,
    /// Revision of the last write.
    Mod,
}

/// Comparison operator of a condition.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareResult {
    /// The two are equal.
    #[default]
    Equal,
}

/// Kind of a change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// The key was written.
    #[default]
    Put,
    /// The key was removed.
    Delete,
}

impl EventKind {
    fn is_put(&self) -> bool {
        *self == Self::Put
    }
}

fn is_false(flag: &bool) -> bool {
    !flag
}
