//! Delta encoding of reports: each report contains only changes since the previous one on the same
//! connection.
//!
//! Sender and receiver of a connection keep the same table of names and the same usage of each
//! reported entry instance. Both start empty when the connection opens.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use cassiafold_config::{InstanceId, ZoneId};
use cassiafold_wire::{
    EntryReport, InstanceSymptom, InstanceUsage, NAMES_MAX, QueueUsage, Report, WireError,
};

use crate::escrow::Incarnation;
use crate::roster::Heartbeat;
use crate::usage::{QueueId, TeamUsage, Usage};

/// Smallest change of a count that is sent, as a divisor of the count.
const CHANGE_DIVISOR: u32 = 8;

/// Position of a name in the table of the connection.
type Position = u16;

/// Encodes the reports of the sending side of a connection.
#[derive(Debug, Default)]
pub struct ReportEncoder {
    names: HashMap<Arc<str>, Position>,
    new_names: Vec<Arc<str>>,
    sent: HashMap<InstanceId, SentState>,
}

#[derive(Debug, Default)]
struct SentState {
    incarnation: Incarnation,
    usage: Usage,
}

impl ReportEncoder {
    /// Returns the report that brings the receiver up to date. Includes the usage of backend
    /// servers only if `with_instances` is set. Fails if the table of names is full; the caller
    /// has to reconnect then.
    pub fn encode(
        &mut self,
        entries: &[Heartbeat],
        with_instances: bool,
        ledger_revision: u64,
    ) -> Result<Report, WireError> {
        let reports: Result<Vec<_>, _> =
            entries.iter().map(|heartbeat| self.entry(heartbeat, with_instances)).collect();
        let reports = reports?;
        let names = std::mem::take(&mut self.new_names);
        Ok(Report { names, ledger_revision, entries: reports })
    }

    fn entry(
        &mut self,
        heartbeat: &Heartbeat,
        with_instances: bool,
    ) -> Result<EntryReport, WireError> {
        let mut sent = self.sent.remove(&heartbeat.id).unwrap_or_default();
        if sent.incarnation != heartbeat.incarnation {
            sent = SentState { incarnation: heartbeat.incarnation, usage: Usage::default() };
        }
        let queues = self.queues(&mut sent.usage.queues, &heartbeat.usage.queues)?;
        let instances = match with_instances {
            true => self.instances(&mut sent.usage.instances, &heartbeat.usage.instances)?,
            false => Vec::new(),
        };
        self.sent.insert(heartbeat.id.clone(), sent);
        let draining = self.draining(&heartbeat.usage)?;
        let symptoms = self.symptoms(&heartbeat.usage)?;
        Ok(EntryReport {
            entry: self.position(&heartbeat.id)?,
            zone: self.position(&heartbeat.zone)?,
            incarnation: heartbeat.incarnation,
            heartbeat: heartbeat.sequence,
            config_version: heartbeat.config_version,
            ready: heartbeat.ready,
            queues,
            instances,
            fleet_number: heartbeat.usage.fleet_number,
            draining,
            symptoms,
            store_reachable: heartbeat.usage.store_reachable,
        })
    }

    fn draining(&mut self, usage: &Usage) -> Result<Vec<InstanceUsage>, WireError> {
        let draining = usage.draining.iter().map(|(id, running)| {
            let instance = self.position(id)?;
            Ok(InstanceUsage { instance, running: saturate(*running) })
        });
        draining.collect()
    }

    fn symptoms(&mut self, usage: &Usage) -> Result<Vec<InstanceSymptom>, WireError> {
        let symptoms = usage.symptoms.iter().map(|(id, symptom)| {
            Ok(InstanceSymptom { instance: self.position(id)?, symptom: *symptom })
        });
        symptoms.collect()
    }

    fn queues(
        &mut self,
        sent: &mut BTreeMap<QueueId, TeamUsage>,
        current: &BTreeMap<QueueId, TeamUsage>,
    ) -> Result<Vec<QueueUsage>, WireError> {
        let mut changes = Vec::new();
        let removed = sent.keys().filter(|queue| !current.contains_key(queue)).cloned();
        let removed: Vec<_> = removed.map(|queue| (queue, TeamUsage::default())).collect();
        let present = current.iter().map(|(queue, usage)| (queue.clone(), *usage));
        for (queue, usage) in removed.into_iter().chain(present) {
            let before = sent.get(&queue).copied().unwrap_or_default();
            if !is_significant_change(before, usage) {
                continue;
            }
            changes.push(QueueUsage {
                service: self.position(&queue.service)?,
                team: self.position(&queue.team)?,
                running: saturate(usage.running),
                waiting: saturate(usage.waiting),
            });
            if usage == TeamUsage::default() {
                sent.remove(&queue);
            } else {
                sent.insert(queue, usage);
            }
        }
        Ok(changes)
    }

    fn instances(
        &mut self,
        sent: &mut BTreeMap<InstanceId, u32>,
        current: &BTreeMap<InstanceId, u32>,
    ) -> Result<Vec<InstanceUsage>, WireError> {
        let mut changes = Vec::new();
        let removed = sent.keys().filter(|id| !current.contains_key(*id)).cloned();
        let removed: Vec<_> = removed.map(|id| (id, 0)).collect();
        let present = current.iter().map(|(id, running)| (id.clone(), *running));
        for (id, running) in removed.into_iter().chain(present) {
            if sent.get(&id).copied().unwrap_or(0) == running {
                continue;
            }
            let instance = self.position(&id)?;
            changes.push(InstanceUsage { instance, running: saturate(running) });
            if running == 0 {
                sent.remove(&id);
            } else {
                sent.insert(id, running);
            }
        }
        Ok(changes)
    }

    fn position(&mut self, name: &Arc<str>) -> Result<Position, WireError> {
        if let Some(position) = self.names.get(name) {
            return Ok(*position);
        }
        let next = self.names.len();
        let position = Position::try_from(next).map_err(|_| WireError::Names(next + 1))?;
        self.names.insert(name.clone(), position);
        self.new_names.push(name.clone());
        Ok(position)
    }
}

/// Returns whether a count of the queue changed to or from zero or by enough to be sent.
fn is_significant_change(before: TeamUsage, current: TeamUsage) -> bool {
    let differs = |before: u32, current: u32| {
        let zero = (before == 0) != (current == 0);
        zero || before.abs_diff(current) > before / CHANGE_DIVISOR
    };
    differs(before.running, current.running) || differs(before.waiting, current.waiting)
}

fn saturate(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}

/// Decodes the reports on the receiving side of a connection.
#[derive(Debug, Default)]
pub struct ReportDecoder {
    names: Vec<Arc<str>>,
    received: HashMap<InstanceId, ReceivedState>,
}

#[derive(Debug, Default)]
struct ReceivedState {
    incarnation: Incarnation,
    usage: Arc<Usage>,
}

impl ReportDecoder {
    /// Applies a report and returns the heartbeats in it.
    pub fn decode(&mut self, report: Report) -> Result<Vec<Heartbeat>, WireError> {
        let count = self.names.len() + report.names.len();
        if count > NAMES_MAX {
            return Err(WireError::Names(count));
        }
        self.names.extend(report.names);
        report.entries.iter().map(|entry| self.entry(entry)).collect()
    }

    fn entry(&mut self, entry: &EntryReport) -> Result<Heartbeat, WireError> {
        let id: InstanceId = self.name(entry.entry)?;
        let zone: ZoneId = self.name(entry.zone)?;
        let mut state = self.received.remove(&id).unwrap_or_default();
        if state.incarnation != entry.incarnation {
            state = ReceivedState { incarnation: entry.incarnation, usage: Arc::default() };
        }
        self.apply(Arc::make_mut(&mut state.usage), entry)?;
        let usage = state.usage.clone();
        self.received.insert(id.clone(), state);
        Ok(Heartbeat {
            id,
            zone,
            incarnation: entry.incarnation,
            sequence: entry.heartbeat,
            config_version: entry.config_version,
            ready: entry.ready,
            usage,
        })
    }

    fn apply(&self, usage: &mut Usage, entry: &EntryReport) -> Result<(), WireError> {
        for change in &entry.queues {
            let (service, team) = (self.name(change.service)?, self.name(change.team)?);
            let (running, waiting) = (u32::from(change.running), u32::from(change.waiting));
            let queue = QueueId { service, team };
            if running == 0 && waiting == 0 {
                usage.queues.remove(&queue);
            } else {
                usage.queues.insert(queue, TeamUsage { running, waiting });
            }
        }
        usage.fleet_number = entry.fleet_number;
        usage.store_reachable = entry.store_reachable;
        usage.draining.clear();
        for draining in &entry.draining {
            usage.draining.insert(self.name(draining.instance)?, draining.running.into());
        }
        usage.symptoms.clear();
        for failing in &entry.symptoms {
            usage.symptoms.insert(self.name(failing.instance)?, failing.symptom);
        }
        for change in &entry.instances {
            let instance = self.name(change.instance)?;
            if change.running == 0 {
                usage.instances.remove(&instance);
            } else {
                usage.instances.insert(instance, u32::from(change.running));
            }
        }
        Ok(())
    }

    fn name(&self, position: Position) -> Result<Arc<str>, WireError> {
        let name = self.names.get(usize::from(position));
        name.cloned().ok_or(WireError::Position(position))
    }
}

#[cfg(test)]
mod tests;
