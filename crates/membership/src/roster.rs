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
pub const HEARD_MAX: Duration = Duration::from_secs(5);
/// Entry instances that read the configuration often; more than one, as one may have lost the
/// key-value service.
const READERS: usize = 2;
/// Name for which readers are chosen by rendezvous hashing.
const READER_HASH_KEY: &str = "configuration";
/// Time without a heartbeat or a registration after which an entry instance is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// From whom reports of an entry instance come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// From itself, in the own zone.
    Mate,
    /// From another zone.
    OtherZone,
    /// From an entry instance of the own zone that has them from another zone.
    ThroughMate,
}

/// Heartbeat of an entry instance as received.
#[derive(Debug, Clone)]
pub struct Heard {
    /// Identifier of the entry instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Number of its run.
    pub incarnation: Incarnation,
    /// Number of the heartbeat.
    pub heartbeat: u64,
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
    heard: Heard,
    heard_at: Option<Instant>,
    seen_at: Instant,
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
    wake: Arc<watch::Sender<u64>>,
}

#[derive(Debug)]
struct Table {
    own: Heard,
    entries: BTreeMap<InstanceId, EntryState>,
    left: BTreeMap<InstanceId, Departure>,
    highest_version: Version,
}

impl Roster {
    /// A table that knows only this entry instance.
    pub fn new(me: Identity) -> Self {
        let own = Heard {
            id: me.id.clone(),
            zone: me.zone.clone(),
            incarnation: me.incarnation,
            heartbeat: 0,
            config_version: 0,
            ready: false,
            usage: Arc::default(),
        };
        let table =
            Table { own, entries: BTreeMap::new(), left: BTreeMap::new(), highest_version: 0 };
        let wake = Arc::new(watch::Sender::new(0));
        Self { me, table: Arc::new(Mutex::new(table)), wake }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// This entry instance.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Receiver that is notified when there is something to report or to ask for at once.
    pub fn woken(&self) -> watch::Receiver<u64> {
        self.wake.subscribe()
    }

    fn notify(&self) {
        self.wake.send_modify(|count| *count += 1);
    }

    /// Raises the own heartbeat. Peers are told at once when the version has changed.
    pub fn beat(&self, usage: Arc<Usage>, config_version: Version, ready: bool) {
        let mut table = self.lock();
        let changed = table.own.config_version != config_version || table.own.ready != ready;
        table.own.heartbeat += 1;
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
    pub fn hear(&self, heard: Heard, route: Route) {
        if heard.id == self.me.id {
            return;
        }
        let mut table = self.lock();
        let version = heard.config_version;
        if table.hear(heard, route) && version > table.highest_version {
            table.highest_version = version;
            drop(table);
            self.notify();
        }
    }

    /// Learns place and address of an entry instance.
    pub fn learn(&self, identity: &Identity) {
        if identity.id != self.me.id {
            self.lock().learn(identity);
        }
    }

    /// Takes over the registrations in the key-value service.
    pub fn set_registered(&self, identities: &[Identity]) {
        let mut table = self.lock();
        for identity in identities.iter().filter(|identity| identity.id != self.me.id) {
            table.learn(identity);
        }
        for (id, entry) in &mut table.entries {
            entry.registered = identities.iter().any(|identity| identity.id == *id);
        }
    }

    /// Removes an entry instance that leaves.
    pub fn leave(&self, id: &InstanceId, incarnation: Incarnation) {
        let mut table = self.lock();
        if table.entries.get(id).is_some_and(|entry| entry.heard.incarnation <= incarnation) {
            table.entries.remove(id);
        }
        table.left.insert(id.clone(), Departure { incarnation, at: Instant::now() });
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
            Target::Mate(id) => vec![id.clone()],
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
    pub fn reads_often(&self) -> bool {
        let live = self.live(None).into_iter();
        let members: Vec<Member> =
            live.map(|entry| Member { id: entry.id, zone: entry.zone, live: true }).collect();
        let readers = ranked(members.iter(), READER_HASH_KEY).into_iter().take(READERS);
        readers.into_iter().any(|member| member.id == self.me.id)
    }

    /// What to report to a target: to the own zone this entry instance and those heard from other
    /// zones, to another zone those of the own zone.
    pub fn outgoing(&self, target: &Target) -> Vec<Heard> {
        let table = self.lock();
        let route = match target {
            Target::Mate(_) => Route::OtherZone,
            Target::Zone(_) => Route::Mate,
        };
        let others = table.entries.values();
        let relayed = others.filter(|entry| entry.route == route && entry.is_live());
        let relayed = relayed.map(|entry| entry.heard.clone());
        std::iter::once(table.own.clone()).chain(relayed).collect()
    }

    /// Live entry instances of a zone, or of all, this one included.
    pub fn live(&self, zone: Option<&ZoneId>) -> Vec<LiveEntry> {
        let table = self.lock();
        let others = table.entries.values().filter(|entry| entry.is_live());
        let all = std::iter::once(&table.own).chain(others.map(|entry| &entry.heard));
        let wanted = all.filter(|heard| zone.is_none_or(|zone| heard.zone == *zone));
        wanted
            .map(|heard| LiveEntry {
                id: heard.id.clone(),
                zone: heard.zone.clone(),
                incarnation: heard.incarnation,
            })
            .collect()
    }

    /// Requests at each live entry instance, this one first.
    pub fn usages(&self) -> Vec<(InstanceId, Arc<Usage>)> {
        let table = self.lock();
        let others = table.entries.values().filter(|entry| entry.is_live());
        let all = std::iter::once(&table.own).chain(others.map(|entry| &entry.heard));
        all.map(|heard| (heard.id.clone(), heard.usage.clone())).collect()
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
    fn hear(&mut self, heard: Heard, route: Route) -> bool {
        if self.has_left(&heard.id, heard.incarnation) {
            return false;
        }
        let now = Instant::now();
        let Some(entry) = self.entries.get_mut(&heard.id) else {
            let state = EntryState::new(heard, route, Some(now));
            self.entries.insert(state.heard.id.clone(), state);
            return true;
        };
        let order = |heard: &Heard| (heard.incarnation, heard.heartbeat);
        if entry.is_live() && order(&heard) <= order(&entry.heard) {
            return false;
        }
        entry.heard = heard;
        entry.heard_at = Some(now);
        entry.route = route;
        true
    }

    fn learn(&mut self, identity: &Identity) {
        if self.has_left(&identity.id, identity.incarnation) {
            return;
        }
        let entry = self.entries.entry(identity.id.clone()).or_insert_with(|| {
            let heard = Heard {
                id: identity.id.clone(),
                zone: identity.zone.clone(),
                incarnation: identity.incarnation,
                heartbeat: 0,
                config_version: 0,
                ready: false,
                usage: Arc::default(),
            };
            EntryState::new(heard, Route::ThroughMate, None)
        });
        if identity.incarnation >= entry.heard.incarnation || !entry.is_live() {
            entry.region = Some(identity.region.clone());
            entry.address = Some(identity.address);
        }
    }

    fn has_left(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        self.left.get(id).is_some_and(|left| incarnation <= left.incarnation)
    }

    fn forget(&mut self) {
        self.left.retain(|_, left| left.at.elapsed() < FORGET_AFTER);
        self.entries.retain(|_, entry| entry.registered || entry.silence() < FORGET_AFTER);
    }

    fn members(&self) -> Vec<Member> {
        let entries = self.entries.values();
        let member = |entry: &EntryState| Member {
            id: entry.heard.id.clone(),
            zone: entry.heard.zone.clone(),
            live: entry.is_live() && entry.route == Route::Mate,
        };
        entries.filter(|entry| entry.address.is_some()).map(member).collect()
    }
}

impl EntryState {
    fn new(heard: Heard, route: Route, heard_at: Option<Instant>) -> Self {
        Self {
            heard,
            heard_at,
            seen_at: Instant::now(),
            route,
            region: None,
            address: None,
            registered: false,
        }
    }

    fn silence(&self) -> Duration {
        self.heard_at.unwrap_or(self.seen_at).elapsed()
    }

    fn is_live(&self) -> bool {
        self.heard_at.is_some_and(|heard_at| heard_at.elapsed() < HEARD_MAX)
    }

    fn identity(&self) -> Option<(Identity, Version)> {
        let identity = Identity {
            id: self.heard.id.clone(),
            zone: self.heard.zone.clone(),
            region: self.region.clone()?,
            address: self.address?,
            incarnation: self.heard.incarnation,
        };
        Some((identity, self.heard.config_version))
    }

    fn confirmation(&self) -> Confirmation {
        Confirmation {
            id: self.heard.id.clone(),
            zone: self.heard.zone.clone(),
            version: self.heard.config_version,
            ready: self.is_live().then_some(self.heard.ready),
            age: self.silence(),
        }
    }
}

#[cfg(test)]
mod tests;
