//! Reports to other entry instances, with one task for each target.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use capnp::capability::Promise;
use capnp_rpc::rpc_twoparty_capnp::Side;
use cassiafold_config::Version;
use cassiafold_event::emit;
use cassiafold_platform::Backoff;
use cassiafold_platform::backoff::jitter;
use cassiafold_wire::peer_capnp::peer;
use cassiafold_wire::{ConfigDocument, Hello, Leave, WireError};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use super::{Context, hello_of, identity_of};
use crate::event::MembershipEvent;
use crate::exchange::ReportEncoder;
use crate::relay::Target;

/// Delay before a newer configuration is requested from a peer, so that the local watch can
/// deliver it first.
const PULL_DELAY: Duration = Duration::from_millis(200);
/// Shortest time between two reports to one peer.
const REPORT_SPACING: Duration = Duration::from_millis(50);
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(5);
/// Timeout of a leave call.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason why a session with a peer ended.
#[derive(Debug, thiserror::Error)]
enum SessionError {
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("timed out")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error("{0}")]
    Call(#[from] capnp::Error),
    #[error("{0}")]
    Wire(#[from] WireError),
}

/// Reports to a target until this entry instance stops.
pub(super) async fn report_to(target: Target, context: Context) {
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    let mut failures = 0;
    while !context.stop.is_cancelled() {
        let addresses = context.roster.addresses(&target);
        if !addresses.is_empty() {
            let address = addresses[failures % addresses.len()];
            let started = tokio::time::Instant::now();
            let Err(error) = session(&target, address, &context).await else { return };
            emit!(MembershipEvent::PeerLost, address = address, error = error);
            failures += 1;
            if started.elapsed() > RETRY_MAX {
                backoff.reset();
                failures = 0;
            }
        }
        tokio::select! {
            () = sleep(backoff.next_delay()) => {}
            () = context.stop.cancelled() => {}
        }
    }
}

/// Queries the seeds for other entry instances and a configuration while either is unknown.
pub(super) async fn discover_entries(seeds: Vec<SocketAddr>, context: Context) {
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    loop {
        for seed in seeds.iter().filter(|seed| **seed != context.roster.me().address) {
            if context.roster.known_entries().len() > 1 && context.config_sync.version() > 0 {
                break;
            }
            let _ = query_seed(*seed, &context).await;
        }
        sleep(backoff.next_delay()).await;
    }
}

async fn query_seed(seed: SocketAddr, context: &Context) -> Result<(), SessionError> {
    let peer = Peer::connect(seed, context).await?;
    let version = peer.hello(context).await?;
    peer.pull(context, version).await
}

async fn session(
    target: &Target,
    address: SocketAddr,
    context: &Context,
) -> Result<(), SessionError> {
    let peer = Peer::connect(address, context).await?;
    let version = peer.hello(context).await?;
    peer.pull(context, version).await?;
    let mut encoder = ReportEncoder::default();
    let mut changes = context.roster.changes();
    loop {
        changes.mark_unchanged();
        let version = peer.report(&mut encoder, target, context).await?;
        peer.pull(context, version).await?;
        sleep(REPORT_SPACING).await;
        tokio::select! {
            () = sleep(jitter(context.settings.report_interval)) => {}
            _ = changes.changed() => {}
            () = context.stop.cancelled() => {
                let _ = timeout(LEAVE_TIMEOUT, peer.leave(context)).await;
                return Ok(());
            }
        }
    }
}

/// A connection to a peer.
struct Peer {
    client: peer::Client,
    system: JoinHandle<Result<(), capnp::Error>>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.system.abort();
    }
}

impl Peer {
    async fn connect(address: SocketAddr, context: &Context) -> Result<Self, SessionError> {
        let connecting = TcpStream::connect(address);
        let stream = timeout(context.settings.call_timeout, connecting).await??;
        let mut system =
            super::connection::rpc_system(stream, Side::Client, &context.traffic, None);
        let client = system.bootstrap(Side::Server);
        Ok(Self { client, system: spawn_local(system) })
    }

    /// Introduces this entry instance, records the entry instances that the peer knows and returns
    /// the configuration version in force there.
    async fn hello(&self, context: &Context) -> Result<Version, SessionError> {
        let mut request = self.client.hello_request();
        let hello = hello_of(context.roster.me(), context.config_sync.version());
        hello.write(request.get().init_hello());
        let response = call(context, request.send().promise).await?;
        let known = response.get()?.get_known()?;
        let mut version = 0;
        for (index, hello) in known.iter().enumerate() {
            let hello = Hello::try_from(hello)?;
            if index == 0 {
                version = hello.config_version;
            }
            context.roster.record_identity(&identity_of(&hello));
        }
        Ok(version)
    }

    async fn report(
        &self,
        encoder: &mut ReportEncoder,
        target: &Target,
        context: &Context,
    ) -> Result<Version, SessionError> {
        let entries = context.roster.outgoing(target);
        let with_instances = matches!(target, Target::Entry(_));
        let revision = context.ledger_revision_hint.load(Ordering::Relaxed);
        let report = encoder.encode(&entries, with_instances, revision)?;
        let mut request = self.client.report_request();
        report.write(request.get().init_report());
        let response = call(context, request.send().promise).await?;
        Ok(response.get()?.get_config_version())
    }

    /// Fetches the configuration from the peer if it is still newer after [`PULL_DELAY`].
    async fn pull(&self, context: &Context, version: Version) -> Result<(), SessionError> {
        let own = context.config_sync.version();
        if version <= own {
            return Ok(());
        }
        if own > 0 {
            sleep(PULL_DELAY).await;
        }
        let own = context.config_sync.version();
        if version <= own {
            return Ok(());
        }
        let mut request = self.client.config_request();
        request.get().set_after(own);
        let response = call(context, request.send().promise).await?;
        let config = ConfigDocument::try_from(response.get()?.get_config()?)?;
        if !config.document.is_empty() {
            let _ = context.config_sync.offer(&config.document, "peer");
        }
        Ok(())
    }

    async fn leave(&self, context: &Context) -> Result<(), SessionError> {
        let mut request = self.client.leave_request();
        let me = context.roster.me();
        let leave = Leave { id: me.id.clone(), incarnation: me.incarnation };
        leave.write(request.get().init_leave());
        call(context, request.send().promise).await?;
        Ok(())
    }
}

/// Waits for a response within the call timeout.
async fn call<T>(context: &Context, response: Promise<T, capnp::Error>) -> Result<T, SessionError> {
    let result = timeout(context.settings.call_timeout, response).await;
    context.traffic.count_call(matches!(result, Ok(Ok(_))));
    Ok(result??)
}
