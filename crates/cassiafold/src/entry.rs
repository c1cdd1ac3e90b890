//! Runs an entry instance: wires its tasks together and stops them gracefully.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use cassiafold_config::{ActiveConfig, Settings};
use cassiafold_dispatch::{CallerApi, Metrics, Server, StopReport};
use cassiafold_event::emit;
use cassiafold_membership::{Membership, MembershipSettings};
use cassiafold_operators::{Limits as OperatorsLimits, OperatorApi};
use cassiafold_platform::{
    EtcdSettings, EtcdStore, HttpInstanceControl, HttpInstanceList, InstanceControl, InstanceList,
    Store, StoreMetrics,
};
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use crate::components::EntryComponents;
use crate::dependencies::EntryDependencies;
use crate::error::Result;
use crate::event::EntryEvent;
use crate::log_queue;
use crate::usage::LocalUsage;

/// Timeout of requests to the instance list and the instance control.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which readiness is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Exit code when the stop was forced and requests were aborted.
pub const EXIT_FORCED_STOP: u8 = 7;

/// Runs an entry instance until SIGTERM or SIGINT; a second signal aborts requests that still run.
pub fn run(settings: &Settings) -> Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: &Settings) -> Result<ExitCode> {
    let mut registry = Registry::with_prefix("cassiafold");
    let store_metrics = StoreMetrics::default();
    store_metrics.register(&mut registry);
    log_queue::register_metrics(&mut registry);
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
    let cut_off = !report.aborted.is_empty();
    Ok(if cut_off { ExitCode::from(EXIT_FORCED_STOP) } else { ExitCode::SUCCESS })
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

/// Clients of the platform's services.
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
    server: Server<EntryDependencies>,
    membership: Membership,
    operators_address: SocketAddr,
    /// Stops the control loop and the operators' interface when cancelled.
    stop: CancellationToken,
    /// Update tasks, which are aborted when the instance stops.
    background_tasks: JoinSet<()>,
    /// Tasks that complete after `stop` is cancelled.
    stoppable_tasks: JoinSet<()>,
    /// Task that publishes readiness to the other entry instances.
    readiness_task: AbortHandle,
}

impl Entry {
    /// Starts an entry instance. Must be called within a Tokio runtime.
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
        let (config, usage) = (ActiveConfig::default(), LocalUsage::default());
        let peers_listener = TcpListener::bind(settings.peers_address).await?;
        let callers_listener = cassiafold_ingress::bind(settings.callers_address)?;
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
        let components = EntryComponents::new(settings, &membership, config.clone(), usage);
        let metrics = Metrics::default();
        metrics.register(&mut registry);

        let mut background_tasks = JoinSet::new();
        let caller_api = components.start_caller_api(metrics, &mut background_tasks);
        components.spawn_background_tasks(&platform, &caller_api, &mut background_tasks);

        let (stop, mut stoppable_tasks) = (CancellationToken::new(), JoinSet::new());
        stoppable_tasks.spawn(components.controller(&platform).run(stop.clone().cancelled_owned()));
        let sources = components.sources(platform.store, caller_api.clone(), registry);
        let operators_address = operators_listener.local_addr()?;
        let operators = OperatorApi::new(
            sources,
            config,
            settings.operators_key_hash,
            OperatorsLimits::from(settings),
        );
        stoppable_tasks.spawn(cassiafold_operators::serve(
            operators_listener,
            operators.router(),
            stop.clone().cancelled_owned(),
        ));
        let server = Server::start(callers_listener, caller_api)?;
        let readiness_task = background_tasks
            .spawn(publish_readiness(server.caller_api().clone(), membership.ready()));
        Ok(Self {
            server,
            membership,
            operators_address,
            stop,
            background_tasks,
            stoppable_tasks,
            readiness_task,
        })
    }

    /// Returns the address on which callers are served.
    pub fn callers_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address on which operators are served.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators_address
    }

    /// Returns whether callers should be routed to this instance.
    pub fn is_ready(&self) -> bool {
        self.server.caller_api().is_ready()
    }

    /// Waits for running requests, then leaves the fleet. If `forced` completes first, requests
    /// that still run are aborted.
    pub async fn close(mut self, wait: Duration, forced: impl Future<Output = ()>) -> StopReport {
        self.readiness_task.abort();
        self.membership.set_ready(false);
        let report = self.server.close(wait, forced).await;
        self.stop.cancel();
        while self.stoppable_tasks.join_next().await.is_some() {}
        self.membership.close().await;
        self.background_tasks.abort_all();
        emit!(EntryEvent::Stopped, cut_off = report.aborted.len());
        report
    }
}

/// Publishes the readiness of this entry instance to the others, until aborted.
async fn publish_readiness(
    caller_api: CallerApi<EntryDependencies>,
    ready: cassiafold_membership::Readiness,
) {
    loop {
        ready.set(caller_api.is_ready());
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
}
