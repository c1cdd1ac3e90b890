//! Membership of one entry instance in the fleet: starts and stops the tasks of this crate.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cassiafold_config::{ActiveConfig, Settings, ZoneId};
use cassiafold_platform::Store;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use crate::config_sync::{self, ConfigSync, ConfigSyncCounts};
use crate::contact::StoreContact;
use crate::control::ControlLease;
use crate::directory;
use crate::escrow::{Escrow, EscrowSettings, Incarnation, Keeper};
use crate::identity::Identity;
use crate::peers::{Peers, PeersSettings, Traffic};
use crate::roster::{Confirmations, LiveEntry, Roster};
use crate::shares::Shares;
use crate::usage::UsageSource;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for one task on close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings of the membership of one entry instance.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// This run of the entry instance.
    pub identity: Identity,
    /// Time to live of leases in the key-value service.
    pub lease_ttl: Duration,
    /// Durations of the escrow.
    pub escrow: EscrowSettings,
    /// Connections to other entry instances.
    pub peers: PeersSettings,
}

impl From<&Settings> for MembershipSettings {
    fn from(settings: &Settings) -> Self {
        let identity = Identity {
            id: settings.instance_id.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            address: settings.peers_address,
            incarnation: incarnation(SystemTime::now()),
        };
        let lease_ttl = settings.lease_ttl;
        let escrow =
            EscrowSettings { slice_validity: settings.limits_hold, ..EscrowSettings::default() };
        let seeds = settings.seed_addresses.clone();
        let peers = PeersSettings { seeds, ..PeersSettings::default() };
        Self { identity, lease_ttl, escrow, peers }
    }
}

/// Returns the incarnation number of a run: its start in microseconds since the Unix epoch.
pub fn incarnation(started: SystemTime) -> Incarnation {
    started.duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Switch that sets whether this entry instance reports that it accepts new requests.
#[derive(Debug, Clone)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether this entry instance reports that it accepts new requests.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }
}

/// Membership of one entry instance in the fleet.
#[derive(Debug)]
pub struct Membership {
    escrow: Escrow,
    roster: Roster,
    shares: Shares,
    control: ControlLease,
    config_sync: ConfigSync,
    contact: StoreContact,
    ready: Arc<AtomicBool>,
    peers: Peers,
    stop: CancellationToken,
    closing: Vec<JoinHandle<()>>,
    background: Vec<JoinHandle<()>>,
}

impl Membership {
    /// Joins the fleet. `listener` accepts connections of other entry instances at the address in
    /// `settings`; received configurations are put in force in `config`; `usage` provides the
    /// usage of this entry instance.
    pub fn start<S: Store, U: UsageSource>(
        settings: MembershipSettings,
        listener: TcpListener,
        store: S,
        config: ActiveConfig,
        usage: U,
    ) -> io::Result<Self> {
        let (me, ttl) = (settings.identity, settings.lease_ttl);
        let (escrow, roster) = (Escrow::default(), Roster::new(me.clone()));
        let (config_sync, contact) = (ConfigSync::new(config.clone()), StoreContact::default());
        let (stop, control) = (CancellationToken::new(), ControlLease::default());
        let ready = Arc::new(AtomicBool::new(false));
        let keeper = Keeper::new(
            me.holder(),
            settings.escrow,
            store.clone(),
            config.clone(),
            usage.clone(),
            escrow.clone(),
        );
        let revision_hint = keeper.revision_hint();
        let peers = Peers::start(
            listener,
            settings.peers,
            roster.clone(),
            config_sync.clone(),
            revision_hint,
        )?;
        let closing = vec![
            tokio::spawn(keeper.run(stop.clone().cancelled_owned())),
            tokio::spawn(directory::register(
                store.clone(),
                me.clone(),
                ttl,
                stop.clone(),
                contact.clone(),
            )),
            tokio::spawn(control.clone().run(store.clone(), me, ttl, stop.clone())),
        ];
        let background = vec![
            tokio::spawn(directory::follow(store.clone(), roster.clone(), contact.clone())),
            tokio::spawn(config_sync::follow(
                store,
                config_sync.clone(),
                roster.clone(),
                contact.clone(),
            )),
            tokio::spawn(run_heartbeat(roster.clone(), config.clone(), usage, ready.clone())),
        ];
        let shares = Shares::new(roster.clone(), config);
        Ok(Self {
            escrow,
            roster,
            shares,
            control,
            config_sync,
            contact,
            ready,
            peers,
            stop,
            closing,
            background,
        })
    }

    /// Returns the source of permits within the upper limits of teams.
    pub fn escrow(&self) -> Escrow {
        self.escrow.clone()
    }

    /// Returns the shares of teams over all entry instances.
    pub fn shares(&self) -> Shares {
        self.shares.clone()
    }

    /// Returns the state of the control role.
    pub fn control(&self) -> ControlLease {
        self.control.clone()
    }

    /// Returns the table of all entry instances.
    pub fn roster(&self) -> Roster {
        self.roster.clone()
    }

    /// Returns the configuration version that each entry instance has in force.
    pub fn confirmations(&self) -> Confirmations {
        self.roster.confirmations()
    }

    /// Returns the live entry instances of a zone, or of all zones.
    pub fn live(&self, zone: Option<&ZoneId>) -> Vec<LiveEntry> {
        self.roster.live(zone)
    }

    /// Returns the counts of offered configurations.
    pub fn config_sync_counts(&self) -> ConfigSyncCounts {
        self.config_sync.counts()
    }

    /// Returns the record of when the key-value service last responded.
    pub fn store_contact(&self) -> StoreContact {
        self.contact.clone()
    }

    /// Returns the counters of bytes and calls between this entry instance and others.
    pub fn traffic(&self) -> Traffic {
        self.peers.traffic()
    }

    /// Returns the switch for whether this entry instance reports that it accepts new requests.
    pub fn ready(&self) -> Readiness {
        Readiness(self.ready.clone())
    }

    /// Sets whether this entry instance reports that it accepts new requests.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Leaves the fleet: releases slices, registration and control role, and notifies the peers.
    /// Call it when no requests are running; tokens of running requests become free only later.
    pub async fn close(self) {
        for task in &self.background {
            task.abort();
        }
        self.stop.cancel();
        let peers = self.peers.close();
        let tasks = self.closing.into_iter().map(|task| timeout(CLOSE_TIMEOUT, task));
        tokio::join!(peers, futures_util::future::join_all(tasks));
    }
}

/// Advances the heartbeat at an interval and whenever a configuration is put in force.
async fn run_heartbeat<U: UsageSource>(
    roster: Roster,
    config: ActiveConfig,
    usage: U,
    ready: Arc<AtomicBool>,
) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut adopted = config.subscribe();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = adopted.changed() => {}
        }
        let now = Arc::new(usage.usage());
        roster.advance_heartbeat(now, config.version(), ready.load(Ordering::Relaxed));
    }
}
