//! Components shared by the tasks of an entry instance.

use std::sync::Arc;

use cassiafold_config::{ActiveConfig, InstanceId, Settings, ZoneId};
use cassiafold_dispatch::{CallerApi, Metrics};
use cassiafold_fleet::{Controller, FleetHandle, Policy};
use cassiafold_membership::{ControlLease, Escrow, Membership, Roster, Shares, StoreContact};
use cassiafold_platform::{InstanceControl, InstanceList, Store};
use prometheus_client::registry::Registry;
use tokio::task::JoinSet;

use crate::dependencies::{
    EntryDependencies, EscrowLimits, FailureDomains, ReportedLoad, ShareWeights,
};
use crate::entry::Platform;
use crate::environment::EntryEnvironment;
use crate::fleet_source::EntryFleetSource;
use crate::instances::InstanceView;
use crate::isolation::Isolation;
use crate::observer::Observer;
use crate::sources::EntrySources;
use crate::status_source::EntryStatusSource;
use crate::symptoms::Symptoms;
use crate::usage::LocalUsage;

/// Components shared by the tasks of an entry instance. Clones share one state.
#[derive(Clone)]
pub struct EntryComponents {
    instance_id: InstanceId,
    zone: ZoneId,
    config: ActiveConfig,
    usage: LocalUsage,
    roster: Roster,
    contact: StoreContact,
    escrow: Escrow,
    shares: Shares,
    control: ControlLease,
    fleet: FleetHandle,
    instances: InstanceView,
    isolation: Isolation,
    symptoms: Symptoms,
    observer: Observer,
}

impl EntryComponents {
    /// Creates the components from the settings and the handles of `membership`.
    pub fn new(
        settings: &Settings,
        membership: &Membership,
        config: ActiveConfig,
        usage: LocalUsage,
    ) -> Self {
        let (roster, instances) = (membership.roster(), InstanceView::default());
        Self {
            instance_id: settings.instance_id.clone(),
            zone: settings.zone.clone(),
            config,
            usage,
            contact: membership.store_contact(),
            escrow: membership.escrow(),
            shares: membership.shares(),
            control: membership.control(),
            fleet: FleetHandle::default(),
            isolation: Isolation::new(settings.isolated_keys_max),
            symptoms: Symptoms::default(),
            observer: Observer::new(roster.clone(), instances.clone()),
            roster,
            instances,
        }
    }

    /// Starts the request path and the tasks that update its sources.
    pub fn start_caller_api(
        &self,
        metrics: Metrics,
        background_tasks: &mut JoinSet<()>,
    ) -> CallerApi<EntryDependencies> {
        let (weights, load) = (ShareWeights::default(), ReportedLoad::default());
        let limits = EscrowLimits::new(self.escrow.clone(), self.isolation.clone());
        let dependencies = EntryDependencies {
            limits: limits.clone(),
            shares: weights.clone(),
            peers: load.clone(),
            domains: FailureDomains::new(self.fleet.clone()),
        };
        background_tasks.spawn(limits.run_updates());
        background_tasks.spawn(weights.run_updates(
            self.shares.clone(),
            self.config.clone(),
            self.instances.clone(),
            self.usage.clone(),
        ));
        background_tasks.spawn(load.run_updates(self.roster.clone()));
        let instances = self.instances.subscribe();
        CallerApi::start(dependencies, self.config.clone(), instances, self.zone.clone(), metrics)
    }

    /// Starts the tasks that track the platform's state and the load of the request path.
    pub fn spawn_background_tasks<S, I, K>(
        &self,
        platform: &Platform<S, I, K>,
        caller_api: &CallerApi<EntryDependencies>,
        background_tasks: &mut JoinSet<()>,
    ) where
        S: Store,
        I: InstanceList,
    {
        let (view, list, fleet) =
            (self.instances.clone(), platform.list.clone(), self.fleet.clone());
        background_tasks.spawn(async move { view.run_updates(list, fleet).await });
        let (fleet, store) = (self.fleet.clone(), platform.store.clone());
        background_tasks.spawn(async move { fleet.watch_store(store).await });
        let isolation = self.isolation.clone();
        let (contact, roster) = (self.contact.clone(), self.roster.clone());
        background_tasks.spawn(isolation.run_updates(contact, roster, self.config.clone()));
        let dispatcher = caller_api.dispatcher().clone();
        background_tasks.spawn(self.symptoms.clone().run_updates(dispatcher.observe()));
        background_tasks.spawn(self.usage.clone().run_updates(
            dispatcher,
            self.instances.clone(),
            self.symptoms.clone(),
            self.contact.clone(),
        ));
    }

    /// Creates the control loop of the fleet.
    pub fn controller<S, I, K>(
        &self,
        platform: &Platform<S, I, K>,
    ) -> Controller<EntryEnvironment<S, I, K>>
    where
        S: Store,
        I: InstanceList,
        K: InstanceControl,
    {
        let environment = EntryEnvironment {
            store: platform.store.clone(),
            list: platform.list.clone(),
            control: platform.control.clone(),
            config: self.config.clone(),
            observer: self.observer.clone(),
            lease: self.control.clone(),
        };
        Controller::new(
            environment,
            Policy::default(),
            self.instance_id.clone(),
            self.fleet.clone(),
        )
    }

    /// Creates the sources of the operators' interface.
    pub fn sources<S: Store>(
        &self,
        store: S,
        caller_api: CallerApi<EntryDependencies>,
        registry: Registry,
    ) -> EntrySources<S> {
        let status = EntryStatusSource {
            caller_api,
            config: self.config.clone(),
            roster: self.roster.clone(),
            escrow: self.escrow.clone(),
            contact: self.contact.clone(),
            usage: self.usage.clone(),
        };
        let fleet = EntryFleetSource {
            store: store.clone(),
            config: self.config.clone(),
            fleet: self.fleet.clone(),
            instances: self.instances.clone(),
            observer: self.observer.clone(),
            policy: Policy::default(),
            instance_id: self.instance_id.clone(),
        };
        EntrySources { store, status, fleet, registry: Arc::new(registry) }
    }
}
