//! What this entry instance knows of all entry instances.

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

/// Time without a heartbeat after which an entry instance does not count as live.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);
/// Entry instances that read the configuration often; more than one, as one may have lost the
/// key-value service.
const CONFIG_READERS: usize = 2;
/// Name for which readers are chosen by rendezvous hashing.
const CONFIG_READER_HASH_KEY: &str = "configuration";
/// Time without a heartbeat or a registration after which an entry instance is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// From whom reports of an entry instance come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// From itself, in the own zone.
    SameZone,
    /// From another zone.
    OtherZone,
    /// From an entry instance of the own zone that has them from another zone.
    Relayed,
}

/// Heartbeat of an entry instance as received.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    /// Identifier of the entry instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Number of its run.
    pub incarnation: Incarnation,
    /// Number of the heartbeat.
    pub sequence: u64,
    /// Configuration version in force there.
    pub config_version: Version,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Its requests.
    pub usage: Arc<Usage>,
}

/// What is known of one entry instance.
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

/// Which configuration version an entry instance has confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Confirmation {
    /// Identifier of the entry instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Version in force there when last heard; zero when unknown.
    pub version: Version,
    /// Whether it takes new requests; `None` when it was not heard lately.
    pub ready: Option<bool>,
    /// Time since it was last heard, or since it became known.
    pub age: Duration,
}

/// What every known entry instance has in force, this one included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Confirmations {
    /// One for each entry instance, in order of id.
    pub list: Vec<Confirmation>,
}

impl Confirmations {
    /// Entry instances that have not confirmed `version`.
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
    /// Number of its run.
    pub incarnation: Incarnation,
}

/// Which run of an entry instance has left, and when.
#[derive(Debug, Clone, Copy)]
struct Departure {
    incarnation: Incarnation,
    at: Instant,
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
    /// A table that knows only this entry instance.
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

    /// This entry instance.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Receiver that is notified when there is something to report or to ask for at once.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Raises the own heartbeat. Peers are told at once when the version has changed.
    pub fn advance_heartbeat(&self, usage: Arc<Usage>, config_version: Version, ready: bool) {
        let mut table = self.lock();
        let changed = table.own.config_version != config_version || table.own.ready != ready;
        table.own.sequence += 1;
        table.own.usage = usage;
        table.own.config_version = config_version;
        table.own.ready = ready;
        table.highest_version = table.highest_version.max(config_version);
        table.forget();
        drop(table);
        if changed {
            self.notify();
        }
    }

    /// Takes in a heartbeat. Older ones and those of a run that has left are ignored.
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

    /// Learns place and address of an entry instance.
    pub fn record_identity(&self, identity: &Identity) {
        if identity.id != self.me.id {
            self.lock().record_identity(identity);
        }
    }

    /// Takes over the registrations in the key-value service.
    pub fn set_registered(&self, identities: &[Identity]) {
        let mut table = self.lock();
        for identity in identities.iter().filter(|identity| identity.id != self.me.id) {
            table.record_identity(identity);
        }
        for (id, entry) in &mut table.entries {
            entry.registered = identities.iter().any(|identity| identity.id == *id);
        }
    }

    /// Removes an entry instance that leaves.
    pub fn record_leave(&self, id: &InstanceId, incarnation: Incarnation) {
        let mut table = self.lock();
        if table.entries.get(id).is_some_and(|entry| entry.heartbeat.incarnation <= incarnation) {
            table.entries.remove(id);
        }
        table.departures.insert(id.clone(), Departure { incarnation, at: Instant::now() });
    }

    /// Entry instances known with their addresses, this one first.
    pub fn known(&self) -> Vec<(Identity, Version)> {
        let table = self.lock();
        let own = (self.me.clone(), table.own.config_version);
        let others = table.entries.values().filter_map(EntryState::identity);
        std::iter::once(own).chain(others).collect()
    }

    /// To whom this entry instance reports now.
    pub fn targets(&self) -> BTreeSet<Target> {
        targets(&self.me.id, &self.me.zone, &self.lock().members())
    }

    /// Addresses of a target, the first choice first.
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

    /// Whether this entry instance is one of those that read the configuration often: the first
    /// choices among all live ones, so that each part of a partition has its own.
    pub fn is_config_reader(&self) -> bool {
        let live = self.live(None).into_iter();
        let members: Vec<Member> =
            live.map(|entry| Member { id: entry.id, zone: entry.zone, live: true }).collect();
        let readers =
            ranked(members.iter(), CONFIG_READER_HASH_KEY).into_iter().take(CONFIG_READERS);
        readers.into_iter().any(|member| member.id == self.me.id)
    }

    /// What to report to a target: to the own zone this entry instance and those heard from other
    /// zones, to another zone those of the own zone.
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

    /// Live entry instances of a zone, or of all, this one included.
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

    /// Requests at each live entry instance, this one first.
    pub fn usages(&self) -> Vec<(InstanceId, Arc<Usage>)> {
        let table = self.lock();
        let others = table.entries.values().filter(|entry| entry.is_live());
        let all = std::iter::once(&table.own).chain(others.map(|entry| &entry.heartbeat));
        all.map(|heartbeat| (heartbeat.id.clone(), heartbeat.usage.clone())).collect()
    }

    /// Which version each entry instance has in force, as far as known. Those that have neither
    /// been heard lately nor are registered are left out.
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

    fn forget(&mut self) {
        self.departures.retain(|_, departure| departure.at.elapsed() < FORGET_AFTER);
        self.entries.retain(|_, entry| entry.registered || entry.silence() < FORGET_AFTER);
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

    fn silence(&self) -> Duration {
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
            age: self.silence(),
        }
    }
}

#[cfg(test)]
mod tests;
