//! Table of all entry instances that this entry instance knows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cassiafold_config::{InstanceId, RegionId, Version, ZoneId};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::escrow::Incarnation;
use crate::identity::Identity;
use crate::relay::{Member, Target, ranked, targets};
use crate::usage::Usage;

/// Time without a heartbeat after which an entry instance no longer counts as live.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of entry instances that read the configuration often; more than one, as one of them may
/// be unable to reach the key-value service.
const CONFIG_READERS: usize = 2;
/// Key with which the readers are chosen by rendezvous hashing.
const CONFIG_READER_HASH_KEY: &str = "configuration";
/// Time without a heartbeat after which an unregistered entry instance is removed; departures are
/// kept for the same time.
const REMOVE_AFTER: Duration = Duration::from_secs(600);

/// Path by which the reports of an entry instance arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Directly, from an entry instance in the own zone.
    SameZone,
    /// From an entry instance of another zone.
    OtherZone,
    /// Relayed by an entry instance of the own zone that received them from another zone.
    Relayed,
}

/// Heartbeat of an entry instance.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    /// Identifier of the entry instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Incarnation number of its run.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat within the run.
    pub sequence: u64,
    /// Configuration version in force there.
    pub config_version: Version,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Its running and waiting requests.
    pub usage: Arc<Usage>,
}

/// Known state of one entry instance.
#[derive(Debug, Clone)]
struct EntryState {
    heartbeat: Heartbeat,
    heartbeat_at: Option<Instant>,
    added_at: Instant,
    route: Route,
    region: Option<RegionId>,
    address: Option<SocketAddr>,
    registered: bool,
}

/// Configuration version that an entry instance has confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Confirmation {
    /// Identifier of the entry instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Version in force there according to its last heartbeat; zero if unknown.
    pub version: Version,
    /// Whether it accepts new requests; `None` if it is not live.
    pub ready: Option<bool>,
    /// Time since its last heartbeat, or since it became known.
    pub age: Duration,
}

/// Configuration versions that all known entry instances have in force, this one included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Confirmations {
    /// One for each entry instance, in order of id.
    pub list: Vec<Confirmation>,
}

impl Confirmations {
    /// Returns the entry instances that have not confirmed `version`.
    pub fn missing(&self, version: Version) -> impl Iterator<Item = &Confirmation> {
        self.list.iter().filter(move |confirmation| confirmation.version < version)
    }
}

/// A live entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveEntry {
    /// Identifier of the entry instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Incarnation number of its run.
    pub incarnation: Incarnation,
}

/// Run of an entry instance that has left, and the time at which it left.
#[derive(Debug, Clone, Copy)]
struct Departure {
    incarnation: Incarnation,
    left_at: Instant,
}

/// Table of all entry instances. Clones share it.
#[derive(Debug, Clone)]
pub struct Roster {
    me: Identity,
    table: Arc<Mutex<Table>>,
    changes: Arc<watch::Sender<u64>>,
}

#[derive(Debug)]
struct Table {
    own: Heartbeat,
    entries: BTreeMap<InstanceId, EntryState>,
    departures: BTreeMap<InstanceId, Departure>,
    highest_version: Version,
}

impl Roster {
    /// Creates a table that contains only this entry instance.
    pub fn new(me: Identity) -> Self {
        let own = Heartbeat {
            id: me.id.clone(),
            zone: me.zone.clone(),
            incarnation: me.incarnation,
            sequence: 0,
            config_version: 0,
            ready: false,
            usage: Arc::default(),
        };
        let table = Table {
            own,
            entries: BTreeMap::new(),
            departures: BTreeMap::new(),
            highest_version: 0,
        };
        let changes = Arc::new(watch::Sender::new(0));
        Self { me, table: Arc::new(Mutex::new(table)), changes }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the identity of this entry instance.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Returns a receiver that is notified when peers should be contacted immediately: the own
    /// state has changed, or a peer has a newer configuration.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Advances the own heartbeat. Notifies the receivers if the configuration version or readiness
    /// has changed, so that peers get a report immediately.
    pub fn advance_heartbeat(&self, usage: Arc<Usage>, config_version: Version, ready: bool) {
        let mut table = self.lock();
        let changed = table.own.config_version != config_version || table.own.ready != ready;
        table.own.sequence += 1;
        table.own.usage = usage;
        table.own.config_version = config_version;
        table.own.ready = ready;
        table.highest_version = table.highest_version.max(config_version);
        table.remove_expired();
        drop(table);
        if changed {
            self.notify();
        }
    }

    /// Records a heartbeat. Older ones and those of a run that has left are ignored.
    pub fn record_heartbeat(&self, heartbeat: Heartbeat, route: Route) {
        if heartbeat.id == self.me.id {
            return;
        }
        let mut table = self.lock();
        let version = heartbeat.config_version;
        if table.record_heartbeat(heartbeat, route) && version > table.highest_version {
            table.highest_version = version;
            drop(table);
            self.notify();
        }
    }

    /// Records location and address of an entry instance.
    pub fn record_identity(&self, identity: &Identity) {
        if identity.id != self.me.id {
            self.lock().record_identity(identity);
        }
    }

    /// Sets which entry instances are registered in the key-value service.
    pub fn set_registered(&self, identities: &[Identity]) {
        let mut table = self.lock();
        for identity in identities.iter().filter(|identity| identity.id != self.me.id) {
            table.record_identity(identity);
        }
        for (id, entry) in &mut table.entries {
            entry.registered = identities.iter().any(|identity| identity.id == *id);
        }
    }

    /// Removes an entry instance that leaves, and rejects later heartbeats of its run.
    pub fn record_leave(&self, id: &InstanceId, incarnation: Incarnation) {
        let mut table = self.lock();
        if table.entries.get(id).is_some_and(|entry| entry.heartbeat.incarnation <= incarnation) {
            table.entries.remove(id);
        }
        table.departures.insert(id.clone(), Departure { incarnation, left_at: Instant::now() });
    }

    /// Returns the entry instances with a known address and their configuration versions, this one
    /// first.
    pub fn known_entries(&self) -> Vec<(Identity, Version)> {
        let table = self.lock();
        let own = (self.me.clone(), table.own.config_version);
        let others = table.entries.values().filter_map(EntryState::identity);
        std::iter::once(own).chain(others).collect()
    }

    /// Returns the targets to which this entry instance reports now.
    pub fn targets(&self) -> BTreeSet<Target> {
        targets(&self.me.id, &self.me.zone, &self.lock().members())
    }

    /// Returns the addresses of a target in order of preference.
    pub fn addresses(&self, target: &Target) -> Vec<SocketAddr> {
        let table = self.lock();
        let ids = match target {
            Target::Entry(id) => vec![id.clone()],
            Target::Zone(zone) => {
                let members = table.members();
                let of_zone = members.iter().filter(|member| member.zone == *zone);
                let ranked = ranked(of_zone, &self.me.zone);
                ranked.into_iter().map(|member| member.id.clone()).collect()
            }
        };
        ids.iter().filter_map(|id| table.entries.get(id)?.address).collect()
    }

    /// Returns whether this entry instance is one of those that read the configuration often. They
    /// are chosen among the live ones, so that each side of a network partition has its own.
    pub fn is_config_reader(&self) -> bool {
        let live = self.live(None).into_iter();
        let members: Vec<Member> =
            live.map(|entry| Member { id: entry.id, zone: entry.zone, live: true }).collect();
        let readers =
            ranked(members.iter(), CONFIG_READER_HASH_KEY).into_iter().take(CONFIG_READERS);
        readers.into_iter().any(|member| member.id == self.me.id)
    }

    /// Returns the heartbeats to report to a target. A target in the own zone gets the own one and
    /// those of other zones received directly; another zone gets those of the own zone.
    pub fn outgoing(&self, target: &Target) -> Vec<Heartbeat> {
        let table = self.lock();
        let route = match target {
            Target::Entry(_) => Route::OtherZone,
            Target::Zone(_) => Route::SameZone,
        };
        let others = table.entries.values();
        let relayed = others.filter(|entry| entry.route == route && entry.is_live());
        let relayed = relayed.map(|entry| entry.heartbeat.clone());
        std::iter::once(table.own.clone()).chain(relayed).collect()
    }

    /// Returns the live entry instances of a zone, or of all zones, this one included.
    pub fn live(&self, zone: Option<&ZoneId>) -> Vec<LiveEntry> {
        let table = self.lock();
        let others = table.entries.values().filter(|entry| entry.is_live());
        let all = std::iter::once(&table.own).chain(others.map(|entry| &entry.heartbeat));
        let wanted = all.filter(|heartbeat| zone.is_none_or(|zone| heartbeat.zone == *zone));
        wanted
            .map(|heartbeat| LiveEntry {
                id: heartbeat.id.clone(),
                zone: heartbeat.zone.clone(),
                incarnation: heartbeat.incarnation,
            })
            .collect()
    }

    /// Returns the usage of each live entry instance, this one first.
    pub fn usages(&self) -> Vec<(InstanceId, Arc<Usage>)> {
        let table = self.lock();
        let others = table.entries.values().filter(|entry| entry.is_live());
        let all = std::iter::once(&table.own).chain(others.map(|entry| &entry.heartbeat));
        all.map(|heartbeat| (heartbeat.id.clone(), heartbeat.usage.clone())).collect()
    }

    /// Returns the last known configuration version of each entry instance. Those that are neither
    /// live nor registered are left out.
    pub fn confirmations(&self) -> Confirmations {
        let table = self.lock();
        let own = Confirmation {
            id: table.own.id.clone(),
            zone: table.own.zone.clone(),
            version: table.own.config_version,
            ready: Some(table.own.ready),
            age: Duration::ZERO,
        };
        let others = table.entries.values().filter(|entry| entry.registered || entry.is_live());
        let mut list: Vec<_> = others.map(EntryState::confirmation).chain([own]).collect();
        list.sort_by(|a, b| a.id.cmp(&b.id));
        Confirmations { list }
    }
}

impl Table {
    fn record_heartbeat(&mut self, heartbeat: Heartbeat, route: Route) -> bool {
        if self.has_left(&heartbeat.id, heartbeat.incarnation) {
            return false;
        }
        let now = Instant::now();
        let Some(entry) = self.entries.get_mut(&heartbeat.id) else {
            let state = EntryState::new(heartbeat, route, Some(now));
            self.entries.insert(state.heartbeat.id.clone(), state);
            return true;
        };
        let order = |heartbeat: &Heartbeat| (heartbeat.incarnation, heartbeat.sequence);
        if entry.is_live() && order(&heartbeat) <= order(&entry.heartbeat) {
            return false;
        }
        entry.heartbeat = heartbeat;
        entry.heartbeat_at = Some(now);
        entry.route = route;
        true
    }

    fn record_identity(&mut self, identity: &Identity) {
        if self.has_left(&identity.id, identity.incarnation) {
            return;
        }
        let entry = self.entries.entry(identity.id.clone()).or_insert_with(|| {
            let heartbeat = Heartbeat {
                id: identity.id.clone(),
                zone: identity.zone.clone(),
                incarnation: identity.incarnation,
                sequence: 0,
                config_version: 0,
                ready: false,
                usage: Arc::default(),
            };
            EntryState::new(heartbeat, Route::Relayed, None)
        });
        if identity.incarnation >= entry.heartbeat.incarnation || !entry.is_live() {
            entry.region = Some(identity.region.clone());
            entry.address = Some(identity.address);
        }
    }

    fn has_left(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        self.departures.get(id).is_some_and(|departure| incarnation <= departure.incarnation)
    }

    fn remove_expired(&mut self) {
        self.departures.retain(|_, departure| departure.left_at.elapsed() < REMOVE_AFTER);
        self.entries.retain(|_, entry| entry.registered || entry.heartbeat_age() < REMOVE_AFTER);
    }

    fn members(&self) -> Vec<Member> {
        let entries = self.entries.values();
        let member = |entry: &EntryState| Member {
            id: entry.heartbeat.id.clone(),
            zone: entry.heartbeat.zone.clone(),
            live: entry.is_live() && entry.route == Route::SameZone,
        };
        entries.filter(|entry| entry.address.is_some()).map(member).collect()
    }
}

impl EntryState {
    fn new(heartbeat: Heartbeat, route: Route, heartbeat_at: Option<Instant>) -> Self {
        Self {
            heartbeat,
            heartbeat_at,
            added_at: Instant::now(),
            route,
            region: None,
            address: None,
            registered: false,
        }
    }

    fn heartbeat_age(&self) -> Duration {
        self.heartbeat_at.unwrap_or(self.added_at).elapsed()
    }

    fn is_live(&self) -> bool {
        self.heartbeat_at.is_some_and(|heartbeat_at| heartbeat_at.elapsed() < HEARTBEAT_TIMEOUT)
    }

    fn identity(&self) -> Option<(Identity, Version)> {
        let identity = Identity {
            id: self.heartbeat.id.clone(),
            zone: self.heartbeat.zone.clone(),
            region: self.region.clone()?,
            address: self.address?,
            incarnation: self.heartbeat.incarnation,
        };
        Some((identity, self.heartbeat.config_version))
    }

    fn confirmation(&self) -> Confirmation {
        Confirmation {
            id: self.heartbeat.id.clone(),
            zone: self.heartbeat.zone.clone(),
            version: self.heartbeat.config_version,
            ready: self.is_live().then_some(self.heartbeat.ready),
            age: self.heartbeat_age(),
        }
    }
}

#[cfg(test)]
mod tests;
