//! Typed messages and their Cap'n Proto encoding.

use std::net::SocketAddr;
use std::sync::Arc;

use cassiafold_config::{InstanceId, RegionId, Version, ZoneId};

use crate::error::WireError;
use crate::limits::{CONFIG_BYTES_MAX, ID_BYTES_MAX, NAMES_MAX, PROTOCOL_VERSION};
use crate::peer_capnp::{
    self, config_document, entry_report, hello, instance_symptom, instance_usage, leave, report,
};

/// Introduces an entry instance to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Identifier of the entry instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Configuration version in force there.
    pub config_version: Version,
    /// Incarnation number of its run.
    pub incarnation: u64,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
}

/// A team's requests for one service. Names are sent as positions in the table of the connection;
/// counts saturate at the maximum of their type.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueUsage {
    /// Position of the service's name.
    pub service: u16,
    /// Position of the team's name.
    pub team: u16,
    /// Number of running requests.
    pub running: u16,
    /// Number of waiting requests.
    pub waiting: u16,
}

/// Requests that an entry instance runs on one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceUsage {
    /// Position of the backend server's name.
    pub instance: u16,
    /// Number of running requests.
    pub running: u16,
}

/// Failure of a backend server as one entry instance observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Symptom {
    /// It refuses connections or cannot be reached.
    Unreachable,
    /// It accepts requests and does not respond.
    Hanging,
    /// Every request that it starts fails.
    FailingAll,
}

impl From<peer_capnp::Symptom> for Symptom {
    fn from(wire: peer_capnp::Symptom) -> Self {
        match wire {
            peer_capnp::Symptom::Unreachable => Self::Unreachable,
            peer_capnp::Symptom::Hanging => Self::Hanging,
            peer_capnp::Symptom::FailingAll => Self::FailingAll,
        }
    }
}

impl From<Symptom> for peer_capnp::Symptom {
    fn from(symptom: Symptom) -> Self {
        match symptom {
            Symptom::Unreachable => Self::Unreachable,
            Symptom::Hanging => Self::Hanging,
            Symptom::FailingAll => Self::FailingAll,
        }
    }
}

/// A failing backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceSymptom {
    /// Position of the backend server's name.
    pub instance: u16,
    /// How it fails.
    pub symptom: Symptom,
}

/// Heartbeat of one entry instance with the changes of its usage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryReport {
    /// Position of the entry instance's name.
    pub entry: u16,
    /// Position of its zone's name.
    pub zone: u16,
    /// Incarnation number of its run.
    pub incarnation: u64,
    /// Sequence number of the heartbeat, raised with each one.
    pub heartbeat: u64,
    /// Configuration version in force there.
    pub config_version: Version,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Queues whose usage changed.
    pub queues: Vec<QueueUsage>,
    /// Backend servers whose running requests changed.
    pub instances: Vec<InstanceUsage>,
    /// Number of the fleet document that it applies.
    pub fleet_number: u64,
    /// Running requests on draining backend servers.
    pub draining: Vec<InstanceUsage>,
    /// Failing backend servers.
    pub symptoms: Vec<InstanceSymptom>,
    /// Whether it can reach the key-value service.
    pub store_reachable: bool,
}

/// Report of an entry instance to a peer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Names appended to the table of the connection.
    pub names: Vec<Arc<str>>,
    /// Highest revision of the ledger of upper limits known to the sender.
    pub ledger_revision: u64,
    /// Reports of the sender and of the entry instances for which it relays.
    pub entries: Vec<EntryReport>,
}

/// A versioned configuration as JSON; the document is empty if the callee has no newer one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigDocument {
    /// Version of the configuration.
    pub version: Version,
    /// The document.
    pub document: Vec<u8>,
}

/// Notifies a peer that an entry instance leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leave {
    /// Identifier of the entry instance.
    pub id: InstanceId,
    /// Incarnation number of its run.
    pub incarnation: u64,
}

fn checked_id(
    field: &'static str,
    text: capnp::Result<capnp::text::Reader<'_>>,
) -> Result<Arc<str>, WireError> {
    let text = text?.to_str()?;
    if text.is_empty() || text.len() > ID_BYTES_MAX {
        return Err(WireError::IdLength { field, bytes: text.len() });
    }
    Ok(text.into())
}

impl TryFrom<hello::Reader<'_>> for Hello {
    type Error = WireError;

    fn try_from(reader: hello::Reader<'_>) -> Result<Self, WireError> {
        let protocol_version = reader.get_protocol_version();
        if protocol_version != PROTOCOL_VERSION {
            return Err(WireError::ProtocolVersion(protocol_version));
        }
        Ok(Self {
            id: checked_id("hello.id", reader.get_id())?,
            zone: checked_id("hello.zone", reader.get_zone())?,
            region: checked_id("hello.region", reader.get_region())?,
            config_version: reader.get_config_version(),
            incarnation: reader.get_incarnation(),
            address: reader.get_address()?.to_str()?.parse()?,
        })
    }
}

impl Hello {
    /// Writes the message.
    pub fn write(&self, mut builder: hello::Builder<'_>) {
        builder.set_id(&*self.id);
        builder.set_zone(&*self.zone);
        builder.set_region(&*self.region);
        builder.set_protocol_version(PROTOCOL_VERSION);
        builder.set_config_version(self.config_version);
        builder.set_incarnation(self.incarnation);
        builder.set_address(self.address.to_string().as_str());
    }
}

impl TryFrom<entry_report::Reader<'_>> for EntryReport {
    type Error = WireError;

    fn try_from(reader: entry_report::Reader<'_>) -> Result<Self, WireError> {
        let queues = reader.get_queues()?.iter().map(|queue| QueueUsage {
            service: queue.get_service(),
            team: queue.get_team(),
            running: queue.get_running(),
            waiting: queue.get_waiting(),
        });
        let instances = reader.get_instances()?.iter().map(InstanceUsage::from);
        let draining = reader.get_draining()?.iter().map(InstanceUsage::from);
        let symptoms = reader.get_symptoms()?.iter().map(InstanceSymptom::try_from);
        Ok(Self {
            entry: reader.get_entry(),
            zone: reader.get_zone(),
            incarnation: reader.get_incarnation(),
            heartbeat: reader.get_heartbeat(),
            config_version: reader.get_config_version(),
            ready: reader.get_ready(),
            queues: queues.collect(),
            instances: instances.collect(),
            fleet_number: reader.get_fleet_number(),
            draining: draining.collect(),
            symptoms: symptoms.collect::<Result<_, _>>()?,
            store_reachable: reader.get_store_reachable(),
        })
    }
}

impl EntryReport {
    fn write(&self, mut builder: entry_report::Builder<'_>) {
        builder.set_entry(self.entry);
        builder.set_zone(self.zone);
        builder.set_incarnation(self.incarnation);
        builder.set_heartbeat(self.heartbeat);
        builder.set_config_version(self.config_version);
        builder.set_ready(self.ready);
        if !self.queues.is_empty() {
            let mut list = builder.reborrow().init_queues(self.queues.len() as u32);
            for (index, queue) in self.queues.iter().enumerate() {
                let mut item = list.reborrow().get(index as u32);
                item.set_service(queue.service);
                item.set_team(queue.team);
                item.set_running(queue.running);
                item.set_waiting(queue.waiting);
            }
        }
        builder.set_fleet_number(self.fleet_number);
        builder.set_store_reachable(self.store_reachable);
        if !self.instances.is_empty() {
            let list = builder.reborrow().init_instances(self.instances.len() as u32);
            write_usages(&self.instances, list);
        }
        if !self.draining.is_empty() {
            let list = builder.reborrow().init_draining(self.draining.len() as u32);
            write_usages(&self.draining, list);
        }
        if !self.symptoms.is_empty() {
            let mut list = builder.init_symptoms(self.symptoms.len() as u32);
            for (index, symptom) in self.symptoms.iter().enumerate() {
                let mut item = list.reborrow().get(index as u32);
                item.set_instance(symptom.instance);
                item.set_symptom(symptom.symptom.into());
            }
        }
    }
}

fn write_usages(
    usages: &[InstanceUsage],
    mut list: capnp::struct_list::Builder<'_, instance_usage::Owned>,
) {
    for (index, usage) in usages.iter().enumerate() {
        let mut item = list.reborrow().get(index as u32);
        item.set_instance(usage.instance);
        item.set_running(usage.running);
    }
}

impl From<instance_usage::Reader<'_>> for InstanceUsage {
    fn from(reader: instance_usage::Reader<'_>) -> Self {
        Self { instance: reader.get_instance(), running: reader.get_running() }
    }
}

impl TryFrom<instance_symptom::Reader<'_>> for InstanceSymptom {
    type Error = WireError;

    fn try_from(reader: instance_symptom::Reader<'_>) -> Result<Self, WireError> {
        let symptom = reader.get_symptom().map_err(capnp::Error::from)?.into();
        Ok(Self { instance: reader.get_instance(), symptom })
    }
}

impl TryFrom<report::Reader<'_>> for Report {
    type Error = WireError;

    fn try_from(reader: report::Reader<'_>) -> Result<Self, WireError> {
        let names = reader.get_names()?;
        if names.len() as usize > NAMES_MAX {
            return Err(WireError::Names(names.len() as usize));
        }
        let names = names.iter().map(|name| checked_id("report.names", name));
        let entries = reader.get_entries()?;
        Ok(Self {
            names: names.collect::<Result<_, _>>()?,
            ledger_revision: reader.get_ledger_revision(),
            entries: entries.iter().map(EntryReport::try_from).collect::<Result<_, _>>()?,
        })
    }
}

impl Report {
    /// Writes the message.
    pub fn write(&self, mut builder: report::Builder<'_>) {
        builder.set_ledger_revision(self.ledger_revision);
        if !self.names.is_empty() {
            let mut names = builder.reborrow().init_names(self.names.len() as u32);
            for (index, name) in self.names.iter().enumerate() {
                names.set(index as u32, &**name);
            }
        }
        let mut entries = builder.init_entries(self.entries.len() as u32);
        for (index, entry) in self.entries.iter().enumerate() {
            entry.write(entries.reborrow().get(index as u32));
        }
    }
}

impl TryFrom<config_document::Reader<'_>> for ConfigDocument {
    type Error = WireError;

    fn try_from(reader: config_document::Reader<'_>) -> Result<Self, WireError> {
        let document = reader.get_document()?;
        if document.len() > CONFIG_BYTES_MAX {
            return Err(WireError::DocumentLength(document.len()));
        }
        Ok(Self { version: reader.get_version(), document: document.to_vec() })
    }
}

impl ConfigDocument {
    /// Writes the message.
    pub fn write(&self, mut builder: config_document::Builder<'_>) {
        builder.set_version(self.version);
        builder.set_document(&self.document);
    }
}

impl TryFrom<leave::Reader<'_>> for Leave {
    type Error = WireError;

    fn try_from(reader: leave::Reader<'_>) -> Result<Self, WireError> {
        let id = checked_id("leave.id", reader.get_id())?;
        Ok(Self { id, incarnation: reader.get_incarnation() })
    }
}

impl Leave {
    /// Writes the message.
    pub fn write(&self, mut builder: leave::Builder<'_>) {
        builder.set_id(&*self.id);
        builder.set_incarnation(self.incarnation);
    }
}

#[cfg(test)]
mod tests;
