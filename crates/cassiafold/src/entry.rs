//! One entry instance: its tasks and how they are joined.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{ActiveConfig, Settings};
use cassiafold_dispatch::{Callers, Metrics, Server, StopReport};
use cassiafold_event::emit;
use cassiafold_fleet::{Controller, FleetHandle, Policy};
use cassiafold_membership::{Membership, MembershipSettings};
use cassiafold_operators::{Limits as OperatorsLimits, Operators};
use cassiafold_platform::{
    EtcdSettings, EtcdStore, HttpInstanceControl, HttpInstanceList, InstanceControl, InstanceList,
    Store, StoreMetrics,
};
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use crate::edges::{Domains, EntryEdges, Limits, Load, Weights};
use crate::environment::EntryEnvironment;
use crate::error::Result;
use crate::event::EntryEvent;
use crate::fleet_source::EntryFleetSource;
use crate::instances::InstanceView;
use crate::isolation::Isolation;
use crate::observer::Observer;
use crate::sources::EntrySources;
use crate::status_source::EntryStatusSource;
use crate::symptoms::Symptoms;
use crate::usage::LocalUsage;

/// Timeout of calls to the instance list and the instance control.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at readiness.
const READY_INTERVAL: Duration = Duration::from_millis(250);
/// Exit code when a stop was forced and requests were cut off.
pub const EXIT_CUT_OFF: u8 = 7;

/// Runs an entry instance until SIGTERM or SIGINT; a second signal cuts off what still runs.
pub fn run(settings: &Settings) -> Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: &Settings) -> Result<ExitCode> {
    let mut registry = Registry::with_prefix("cassiafold");
    let store_metrics = StoreMetrics::default();
    store_metrics.register(&mut registry);
    let client = settings.instance_id.clone();
    let store = EtcdStore::new(
        EtcdSettings {
            timeout: settings.store_timeout,
            ..EtcdSettings::new(settings.store_addresses.clone(), client.clone())
        },
        store_metrics,
    );
    let platform = Platform {
        store,
        list: HttpInstanceList::new(
            settings.instance_list_address,
            client.clone(),
            PLATFORM_TIMEOUT,
        ),
        control: HttpInstanceControl::new(
            settings.instance_control_address,
            client,
            PLATFORM_TIMEOUT,
        ),
    };
    let mut signals = Signals::new()?;
    let entry = Entry::start(settings, platform, registry).await?;
    emit!(EntryEvent::Started, instance = settings.instance_id, callers = entry.callers_address());
    signals.next().await;
    let report = entry.close(settings.stop_wait, signals.next()).await;
    let cut_off = !report.cut_off.is_empty();
    Ok(if cut_off { ExitCode::from(EXIT_CUT_OFF) } else { ExitCode::SUCCESS })
}

/// Signals that stop the process.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { terminate, interrupt: signal(SignalKind::interrupt())? })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Clients of the platform.
#[derive(Debug, Clone)]
pub struct Platform<S, I, K> {
    /// Client of the key-value service.
    pub store: S,
    /// Client of the instance list.
    pub list: I,
    /// Client of the instance control.
    pub control: K,
}

/// A running entry instance.
pub struct Entry {
    server: Server<EntryEdges>,
    membership: Membership,
    operators_address: SocketAddr,
    /// Ends the control loop and the operators' interface.
    stop: CancellationToken,
    /// Tasks that end with the process.
    following: JoinSet<()>,
    /// Tasks that end by themselves once `stop` is set.
    ending: JoinSet<()>,
    readiness: AbortHandle,
}

impl Entry {
    /// Starts an entry instance. Must be called within a runtime.
    pub async fn start<S, I, K>(
        settings: &Settings,
        platform: Platform<S, I, K>,
        mut registry: Registry,
    ) -> Result<Self>
    where
        S: Store,
        I: InstanceList,
        K: InstanceControl,
    {
        let config = ActiveConfig::default();
        let usage = LocalUsage::default();
        let peers_listener = TcpListener::bind(settings.peers_address).await?;
        let callers_listener = TcpListener::bind(settings.callers_address).await?;
        let operators_listener = TcpListener::bind(settings.operators_address).await?;
        let mut member = MembershipSettings::from(settings);
        member.identity.address = peers_listener.local_addr()?;
        let membership = Membership::start(
            member,
            peers_listener,
            platform.store.clone(),
            config.clone(),
            usage.clone(),
        )?;
        let (roster, contact) = (membership.roster(), membership.store_contact());
        let (fleet, instances) = (FleetHandle::default(), InstanceView::default());
        let isolation = Isolation::new(settings.isolated_keys_max);
        let (weights, load) = (Weights::default(), Load::default());
        let limits = Limits::new(membership.escrow(), isolation.clone());
        let edges = EntryEdges {
            limits: limits.clone(),
            shares: weights.clone(),
            peers: load.clone(),
            domains: Domains::new(fleet.clone()),
        };
        let metrics = Metrics::default();
        metrics.register(&mut registry);
        let callers = Callers::start(
            edges,
            config.clone(),
            instances.subscribe(),
            settings.zone.clone(),
            metrics,
        );
        let symptoms = Symptoms::default();
        let observer = Observer::new(roster.clone(), instances.clone());

        let mut following = JoinSet::new();
        let dispatcher = callers.dispatcher().clone();
        following.spawn(symptoms.clone().follow(dispatcher.observe()));
        let follow_list = (instances.clone(), platform.list.clone(), fleet.clone());
        following.spawn(async move { follow_list.0.follow(follow_list.1, follow_list.2).await });
        let follow_fleet = (fleet.clone(), platform.store.clone());
        following.spawn(async move { follow_fleet.0.follow(follow_fleet.1).await });
        following.spawn(limits.follow());
        following.spawn(weights.follow(
            membership.shares(),
            config.clone(),
            instances.clone(),
            usage.clone(),
        ));
        following.spawn(load.follow(roster.clone()));
        following.spawn(isolation.follow(contact.clone(), roster.clone(), config.clone()));
        let sampled = usage.clone();
        following.spawn(sampled.follow(dispatcher, instances.clone(), symptoms, contact.clone()));

        let stop = CancellationToken::new();
        let mut ending = JoinSet::new();
        let environment = EntryEnvironment {
            store: platform.store.clone(),
            list: platform.list,
            control: platform.control,
            config: config.clone(),
            observer: observer.clone(),
            lease: membership.control(),
        };
        let me = settings.instance_id.clone();
        let controller = Controller::new(environment, Policy::default(), me.clone(), fleet.clone());
        ending.spawn(controller.run(stop.clone().cancelled_owned()));
        let status = EntryStatusSource {
            callers: callers.clone(),
            config: config.clone(),
            roster,
            escrow: membership.escrow(),
            contact,
            usage,
        };
        let fleet_source = EntryFleetSource {
            store: platform.store.clone(),
            config: config.clone(),
            fleet,
            instances,
            observer,
            policy: Policy::default(),
            me,
        };
        let sources = EntrySources {
            store: platform.store,
            status,
            fleet: fleet_source,
            registry: Arc::new(registry),
        };
        let operators_address = operators_listener.local_addr()?;
        let operators = Operators::new(
            sources,
            config,
            settings.operators_key_hash,
            OperatorsLimits::from(settings),
        );
        ending.spawn(cassiafold_operators::serve(
            operators_listener,
            operators.router(),
            stop.clone().cancelled_owned(),
        ));
        let server = Server::start(callers_listener, callers)?;
        let readiness = following.spawn(announce(server.callers().clone(), membership.ready()));
        Ok(Self { server, membership, operators_address, stop, following, ending, readiness })
    }

    /// Address on which callers are served.
    pub fn callers_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Address on which operators are served.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators_address
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.server.callers().is_ready()
    }

    /// Stops gracefully, then leaves the fleet. When `forced` completes first, what still runs is
    /// cut off.
    pub async fn close(mut self, wait: Duration, forced: impl Future<Output = ()>) -> StopReport {
        self.readiness.abort();
        self.membership.set_ready(false);
        let report = self.server.close(wait, forced).await;
        self.stop.cancel();
        while self.ending.join_next().await.is_some() {}
        self.membership.close().await;
        self.following.abort_all();
        emit!(EntryEvent::Stopped, cut_off = report.cut_off.len());
        report
    }
}

/// Tells the other entry instances whether this one is ready.
async fn announce(callers: Callers<EntryEdges>, ready: cassiafold_membership::Readiness) {
    loop {
        ready.set(callers.is_ready());
        tokio::time::sleep(READY_INTERVAL).await;
    }
}
