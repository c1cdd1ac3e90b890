//! Runs entry instances in one process, over TCP on loopback, with an in-memory store and counters
//! of store bytes.

#![allow(dead_code, reason = "each example uses a part of this module")]

pub mod counting;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cassiafold_config::ActiveConfig;
use cassiafold_config::raw::RawConfig;
use cassiafold_membership::{
    EscrowSettings, Identity, Membership, MembershipSettings, PeersSettings, Usage, UsageSource,
};
use cassiafold_standin::MemoryStore;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use self::counting::{CountingStore, StoreBytes};

/// Any failure of an example.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// Longest wait until the entry instances know each other.
const JOIN_MAX: Duration = Duration::from_secs(30);
const LEASE_TTL: Duration = Duration::from_secs(10);

/// Source of a usage that the example sets.
#[derive(Debug, Clone, Default)]
pub struct SetUsage(Arc<Mutex<Usage>>);

impl SetUsage {
    /// Changes the usage.
    pub fn change(&self, change: impl FnOnce(&mut Usage)) {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

impl UsageSource for SetUsage {
    fn usage(&self) -> Usage {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// One entry instance.
pub struct Entry {
    /// Identifier, which is also the name of its store client.
    pub id: String,
    /// Index of its zone.
    pub zone: usize,
    /// Its membership.
    pub membership: Membership,
    /// Its configuration.
    pub config: ActiveConfig,
    /// Its usage.
    pub usage: SetUsage,
    /// Bytes between it and the store.
    pub store_bytes: StoreBytes,
}

/// Starts entry instances, distributed round-robin over the zones, and waits until all know each
/// other.
pub async fn start(store: &MemoryStore, entries: usize, zones: usize) -> Result<Vec<Entry>, Error> {
    let mut fleet = Vec::new();
    for index in 0..entries {
        fleet.push(start_one(store, index, index % zones).await?);
    }
    let end = Instant::now() + JOIN_MAX;
    while fleet.iter().any(|entry| entry.membership.live(None).len() < entries) {
        if Instant::now() > end {
            return Err("the entry instances do not know each other in time".into());
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(fleet)
}

async fn start_one(store: &MemoryStore, index: usize, zone: usize) -> Result<Entry, Error> {
    let id = format!("entry-{index}");
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address: SocketAddr = listener.local_addr()?;
    let identity = Identity {
        id: id.as_str().into(),
        zone: format!("zone-{zone}").into(),
        region: "north".into(),
        address,
        incarnation: 1,
    };
    let settings = MembershipSettings {
        identity,
        lease_ttl: LEASE_TTL,
        escrow: EscrowSettings::default(),
        peers: PeersSettings::default(),
    };
    let (config, usage) = (ActiveConfig::default(), SetUsage::default());
    let store_bytes = StoreBytes::default();
    let client = CountingStore::new(store.client(id.as_str()), store_bytes.clone());
    let membership = Membership::start(settings, listener, client, config.clone(), usage.clone())?;
    membership.set_ready(true);
    Ok(Entry { id, zone, membership, config, usage, store_bytes })
}

/// Stops all entry instances.
pub async fn close(fleet: Vec<Entry>) {
    let closing = fleet.into_iter().map(|entry| entry.membership.close());
    futures_util::future::join_all(closing).await;
}

/// Returns a configuration document with this many teams, in the form that the requirements state.
pub fn document(version: u64, teams: usize, upper_limit: u32) -> Result<Vec<u8>, Error> {
    let names = (0..teams).map(team);
    let key_hash = "84d53ce2f18ae4856edfe631810f984b8c78bf3c0e136bac89e45642c5c85b37";
    let team = |name: String| {
        let mut hash = key_hash.to_owned();
        hash.replace_range(
            ..name.len().min(8),
            &format!("{:08x}", hash_of(&name))[..name.len().min(8)],
        );
        (name, json!({"share": 1, "upper_limit": upper_limit, "key_hashes": [hash]}))
    };
    let teams: serde_json::Map<String, Value> = names.map(team).collect();
    let value = json!({
        "version": version, "zones": {}, "pools": {},
        "services": {"portal": {"floor_count": 0}}, "teams": teams,
    });
    let raw: RawConfig = serde_json::from_value(value)?;
    Ok(serde_json::to_vec(&raw)?)
}

fn hash_of(name: &str) -> u32 {
    name.bytes().fold(17, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)))
}

/// Returns the name of a team.
pub fn team(index: usize) -> String {
    format!("team-{index:03}")
}
