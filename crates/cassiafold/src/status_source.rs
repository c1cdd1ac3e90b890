//! State of the entry instances, as shown by the operators' interface.

use cassiafold_config::ActiveConfig;
use cassiafold_dispatch::{CallerApi, Dependencies};
use cassiafold_membership::{Confirmation, Escrow, Roster, StoreContact};
use cassiafold_operators::StatusSource;
use cassiafold_operators::source::{EntryStatus, Status, TeamStatus};

use crate::usage::LocalUsage;

/// State of the entry instances as known to this one.
pub struct EntryStatusSource<E: Dependencies> {
    /// The request path.
    pub caller_api: CallerApi<E>,
    /// Configuration in force.
    pub config: ActiveConfig,
    /// Membership of the entry instances.
    pub roster: Roster,
    /// Escrow of the upper limits.
    pub escrow: Escrow,
    /// Reachability of the key-value service.
    pub contact: StoreContact,
    /// Usage of this entry instance.
    pub usage: LocalUsage,
}

impl<E: Dependencies> Clone for EntryStatusSource<E> {
    fn clone(&self) -> Self {
        Self {
            caller_api: self.caller_api.clone(),
            config: self.config.clone(),
            roster: self.roster.clone(),
            escrow: self.escrow.clone(),
            contact: self.contact.clone(),
            usage: self.usage.clone(),
        }
    }
}

impl<E: Dependencies> StatusSource for EntryStatusSource<E> {
    async fn status(&self) -> Status {
        let me = self.roster.me();
        let mut entries: Vec<EntryStatus> =
            self.roster.confirmations().list.into_iter().map(entry).collect();
        for entry in entries.iter_mut().filter(|entry| entry.instance_id == me.id) {
            entry.version = self.config.version();
        }
        Status {
            instance_id: me.id.clone(),
            zone: me.zone.clone(),
            ready: self.caller_api.is_ready(),
            store_reachable: self.contact.is_reachable(),
            entries,
            teams: self.teams(),
        }
    }
}

impl<E: Dependencies> EntryStatusSource<E> {
    fn teams(&self) -> Vec<TeamStatus> {
        let Some(config) = self.config.load() else { return Vec::new() };
        let waiting = self.usage.load().waiting_by_team();
        let teams = config.teams.iter().map(|(id, team)| TeamStatus {
            team: id.clone(),
            upper_limit: team.upper_limit,
            slice: self.escrow.usable(id),
            running: self.escrow.in_use(id),
            waiting: waiting.get(id).copied().unwrap_or(0),
        });
        teams.collect()
    }
}

fn entry(confirmation: Confirmation) -> EntryStatus {
    EntryStatus {
        instance_id: confirmation.id,
        zone: confirmation.zone,
        version: confirmation.version,
        ready: confirmation.ready,
        heard_ms_ago: confirmation.age.as_millis() as u64,
    }
}
