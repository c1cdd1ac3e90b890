//! Conversions between the messages of the gateway and the types of the store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::message::{
    Base64, CompareMessage, CompareTarget, DeleteRangeRequest, Event, EventKind, Header, Int64,
    KeyValue, LeaseResponse, PutRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse,
};
use crate::store::{
    Change, Compare, LeaseId, Operation, Record, Revision, StoreError, Write, WriteOutcome,
};

/// A message that breaks the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// A key is not UTF-8.
    #[error("key is not UTF-8")]
    Key,
    /// A revision is negative or too large.
    #[error("revision out of range")]
    Revision,
    /// The header is missing.
    #[error("header is missing")]
    Header,
    /// A required part is missing, or there is an unexpected one.
    #[error("missing or unexpected part")]
    Part,
    /// A time to live is out of range.
    #[error("time to live out of range")]
    TimeToLive,
}

impl From<MessageError> for StoreError {
    fn from(error: MessageError) -> Self {
        Self::Malformed(error.to_string().into())
    }
}

impl From<Revision> for Int64 {
    fn from(revision: Revision) -> Self {
        Self(i64::try_from(revision).unwrap_or(i64::MAX))
    }
}

impl TryFrom<Int64> for Revision {
    type Error = MessageError;

    fn try_from(number: Int64) -> Result<Self, MessageError> {
        Self::try_from(number.0).map_err(|_| MessageError::Revision)
    }
}

impl TryFrom<&Base64> for Arc<str> {
    type Error = MessageError;

    fn try_from(bytes: &Base64) -> Result<Self, MessageError> {
        std::str::from_utf8(&bytes.0).map(Self::from).map_err(|_| MessageError::Key)
    }
}

/// Returns the revision of the store in a response.
pub fn revision(header: &Option<Header>) -> Result<Revision, MessageError> {
    header.as_ref().ok_or(MessageError::Header)?.revision.try_into()
}

/// Returns the exclusive end of the range of keys that start with `prefix`.
pub fn prefix_end(prefix: &str) -> Base64 {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Base64(end.into());
        }
    }
    Base64(Bytes::from_static(b"\0"))
}

/// Returns the start of the range of keys that start with `prefix`.
pub fn prefix_start(prefix: &str) -> Base64 {
    match prefix {
        "" => Base64(Bytes::from_static(b"\0")),
        _ => prefix.into(),
    }
}

impl From<Record> for KeyValue {
    fn from(record: Record) -> Self {
        let revision = Int64::from(record.revision);
        Self {
            key: (&*record.key).into(),
            create_revision: revision,
            mod_revision: revision,
            value: Base64(record.value),
        }
    }
}

impl TryFrom<KeyValue> for Record {
    type Error = MessageError;

    fn try_from(kv: KeyValue) -> Result<Self, MessageError> {
        let key = (&kv.key).try_into()?;
        Ok(Self { key, value: kv.value.0, revision: kv.mod_revision.try_into()? })
    }
}

impl TryFrom<RangeResponse> for Vec<Record> {
    type Error = MessageError;

    fn try_from(response: RangeResponse) -> Result<Self, MessageError> {
        response.kvs.into_iter().map(Record::try_from).collect()
    }
}

impl From<&Write> for TxnRequest {
    fn from(write: &Write) -> Self {
        let key = Base64::from(&*write.key);
        let mut compare = CompareMessage { key: key.clone(), ..CompareMessage::default() };
        match write.compare {
            Compare::Absent => {
                compare.target = CompareTarget::Create;
                compare.create_revision = Some(Int64(0));
            }
            Compare::Revision(revision) => {
                compare.target = CompareTarget::Mod;
                compare.mod_revision = Some(revision.into());
            }
        }
        Self { compare: vec![compare], success: vec![operation(key, &write.operation)] }
    }
}

fn operation(key: Base64, operation: &Operation) -> RequestOp {
    match operation {
        Operation::Put { value, lease } => {
            let lease = Int64(lease.unwrap_or_default());
            let put = PutRequest { key, value: Base64(value.clone()), lease };
            RequestOp { request_put: Some(put), request_delete_range: None }
        }
        Operation::Delete => {
            let delete = DeleteRangeRequest { key };
            RequestOp { request_put: None, request_delete_range: Some(delete) }
        }
    }
}

impl TryFrom<TxnRequest> for Write {
    type Error = MessageError;

    fn try_from(txn: TxnRequest) -> Result<Self, MessageError> {
        let ([compare], [success]) = (&txn.compare[..], &txn.success[..]) else {
            return Err(MessageError::Part);
        };
        let (key, operation) = match (&success.request_put, &success.request_delete_range) {
            (Some(put), None) => {
                let lease = Some(put.lease.0).filter(|lease| *lease != 0);
                (&put.key, Operation::Put { value: put.value.0.clone(), lease })
            }
            (None, Some(delete)) => (&delete.key, Operation::Delete),
            _ => return Err(MessageError::Part),
        };
        if *key != compare.key {
            return Err(MessageError::Part);
        }
        Ok(Self { key: key.try_into()?, compare: compare.try_into()?, operation })
    }
}

impl TryFrom<&CompareMessage> for Compare {
    type Error = MessageError;

    fn try_from(compare: &CompareMessage) -> Result<Self, MessageError> {
        match (compare.target, compare.create_revision, compare.mod_revision) {
            (CompareTarget::Create, Some(Int64(0)), None) => Ok(Self::Absent),
            (CompareTarget::Mod, None, Some(revision)) => Ok(Self::Revision(revision.try_into()?)),
            _ => Err(MessageError::Part),
        }
    }
}

impl TryFrom<TxnResponse> for WriteOutcome {
    type Error = MessageError;

    fn try_from(response: TxnResponse) -> Result<Self, MessageError> {
        let revision = revision(&response.header)?;
        Ok(if response.succeeded { Self::Written(revision) } else { Self::Conflict })
    }
}

/// Returns the identifier of the lease in a grant response.
pub fn granted_lease(response: &LeaseResponse) -> Result<LeaseId, MessageError> {
    match response.id.0 {
        0 => Err(MessageError::Part),
        id => Ok(id),
    }
}

/// Returns the time to live in a renewal response, or `None` if the lease has expired.
pub fn renewed_ttl(response: &LeaseResponse) -> Result<Option<Duration>, MessageError> {
    revision(&response.header)?;
    let ttl_s = u64::try_from(response.ttl_s.0).map_err(|_| MessageError::TimeToLive)?;
    Ok((ttl_s > 0).then(|| Duration::from_secs(ttl_s)))
}

impl From<Change> for Event {
    fn from(change: Change) -> Self {
        let key = Base64::from(&*change.key);
        let removed = KeyValue { key, mod_revision: change.revision.into(), ..KeyValue::default() };
        match change.record {
            Some(record) => Self { kind: EventKind::Put, kv: Some(record.into()) },
            None => Self { kind: EventKind::Delete, kv: Some(removed) },
        }
    }
}

impl TryFrom<Event> for Change {
    type Error = MessageError;

    fn try_from(event: Event) -> Result<Self, MessageError> {
        let record = Record::try_from(event.kv.ok_or(MessageError::Part)?)?;
        let (key, revision) = (record.key.clone(), record.revision);
        let record = (event.kind == EventKind::Put).then_some(record);
        Ok(Self { key, record, revision })
    }
}
