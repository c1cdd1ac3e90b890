//! The `serve` command, which runs an entry instance on the platform of its settings file.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cassiafold_adapter::settings::PlatformSettings;
use cassiafold_adapter::{HttpPlatformClients, caller_api, read_settings, settings_path};
use cassiafold_event::emit;
use cassiafold_ingress::{Connection, Ingress, IngressMetrics, bind, http1_builder, tracked};
use cassiafold_jobs::api::JobApi;
use cassiafold_jobs::coalescing::WakeupCoalescing;
use cassiafold_jobs::desired_state::{self, DesiredState, DesiredStateSender};
use cassiafold_jobs::event::JobsEvent;
use cassiafold_jobs::metrics::JobsMetrics;
use cassiafold_jobs::owner::{self, OwnerSettings};
use cassiafold_jobs::task_panic::{TaskPanicked, catch_panic};
use cassiafold_platform::StoreMetrics;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use prometheus_client::registry::Registry;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::error::{Error, Result};
use crate::log_queue;

/// Minimum time to live of the owner lease; the settings may require a longer one.
const OWNER_LEASE_TTL: Duration = Duration::from_millis(1_200);
/// Upper bound of the random delay before free ownership is claimed.
const CLAIM_DELAY_MAX: Duration = Duration::from_millis(80);
/// Claim delay per unit of resource deficit relative to a reference machine.
const CLAIM_DELAY_PER_DEFICIT: Duration = Duration::from_millis(50);
/// Upper bound of the resource deficit that counts towards the claim delay.
const CLAIM_DEFICIT_MAX: f64 = 10.0;
/// Share of a core from which a machine has no CPU deficit.
const REFERENCE_CPU_SHARE: f64 = 0.25;
/// Link speed, in Mbit/s, from which a machine has no link deficit.
const REFERENCE_LINK_MBPS: f64 = 100.0;
/// Age of the desired state above which the instance is not ready for new callers.
const DESIRED_STATE_AGE_MAX: Duration = Duration::from_millis(2_600);
/// Time after SIGTERM during which callers are still served, because the platform stops sending
/// them only after two readiness checks. Includes a margin.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(2_300);
/// Time after the shutdown delay for requests in progress to complete.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout for receiving the header of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);
/// Highest number of connections to the metrics, and to the readiness endpoint.
const OTHERS_MAX: usize = 64;
/// Delay before accepting again after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

type PlatformJobApi = Arc<JobApi<HttpPlatformClients>>;

/// Runs an entry instance until SIGTERM.
pub fn run() -> Result<ExitCode> {
    let settings = read_settings(settings_path())?;
    let coalescing = WakeupCoalescing::default();
    let waiting = coalescing.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(move || waiting.wait())
        .build()?;
    runtime.block_on(serve(settings, coalescing))
}

async fn serve(settings: PlatformSettings, coalescing: WakeupCoalescing) -> Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let callers = bind(settings.caller_api_address)?;
    let readiness = bind(settings.ready_address)?;
    let mut registry = Registry::with_prefix("cassiafold");
    let store_metrics = StoreMetrics::default();
    store_metrics.register(&mut registry);
    let metrics = JobsMetrics::default();
    metrics.register(&mut registry);
    log_queue::register_metrics(&mut registry);
    let ingress_metrics = IngressMetrics::default();
    ingress_metrics.register(&mut registry);
    let clients = HttpPlatformClients::new(&settings, store_metrics);
    let (sender, desired_states) = DesiredStateSender::new();
    let callers_clients = clients.for_callers(&settings);
    let api = JobApi::new(callers_clients, desired_states.clone(), sender.clone(), metrics.clone());
    let api = api.with_withdrawn_key_time_max(settings.withdrawn_key_time_max);
    let api = Arc::new(api.with_store_calls_max(settings.store_calls_max));
    let stop = CancellationToken::new();
    emit!(JobsEvent::NodeStarted, instance = settings.instance, zone = settings.zone);

    tokio::spawn(desired_state::follow(clients.clone(), sender));
    let (panic_sender, mut panics) = mpsc::channel(1);
    tokio::spawn(async move {
        let name = "reload of the settings";
        while catch_panic(name, validate_on_reload(&mut reload)).await.is_err() {}
    });
    let others = || {
        Ingress::new(settings.ingress.with_connections_max(OTHERS_MAX), IngressMetrics::default())
    };
    let serving_metrics = serve_metrics(
        settings.metrics_address,
        registry,
        desired_states.clone(),
        metrics.clone(),
        others(),
    );
    spawn_listener("metrics listener", serving_metrics, &panic_sender);
    let serving_readiness = serve_readiness(readiness, api.clone(), stop.clone(), others());
    spawn_listener("readiness listener", serving_readiness, &panic_sender);
    let owner_settings = OwnerSettings {
        instance: settings.instance.clone(),
        lease_ttl: OWNER_LEASE_TTL.max(settings.lease_ttl_min),
        claim_delay_max: CLAIM_DELAY_MAX,
        claim_delay: claim_delay(&settings),
        scheduler: settings.scheduler,
        metrics: metrics.clone(),
        coalescing,
    };
    let owner =
        tokio::spawn(owner::campaign(clients, owner_settings, desired_states, stop.clone()));
    let stop_accepting = CancellationToken::new();
    let ingress = Ingress::new(settings.ingress, ingress_metrics);
    let serving_callers = serve_callers(callers, api, ingress, stop_accepting.clone());
    let serving = spawn_listener("callers' listener", serving_callers, &panic_sender);
    let failure = wait_for_shutdown(terminate.recv(), &mut panics).await;
    stop.cancel();
    if let Some(panicked) = failure {
        // Another process takes the place of this one, so callers are not served on.
        let _ = timeout(DRAIN_TIMEOUT, owner).await;
        return Err(Error::TaskPanicked(panicked));
    }
    // Ownership is released while callers are still served.
    let shutdown_at = tokio::time::Instant::now() + SHUTDOWN_DELAY;
    let _ = owner.await;
    tokio::time::sleep_until(shutdown_at).await;
    stop_accepting.cancel();
    let _ = timeout(DRAIN_TIMEOUT, serving).await;
    emit!(JobsEvent::NodeStopped, instance = settings.instance);
    Ok(ExitCode::SUCCESS)
}

/// Spawns a listener, and sends its panic if there is one: it cannot start again, since its socket
/// is gone with it.
fn spawn_listener(
    name: &'static str,
    serving: impl Future<Output = ()> + Send + 'static,
    panic_sender: &mpsc::Sender<TaskPanicked>,
) -> JoinHandle<()> {
    let panic_sender = panic_sender.clone();
    tokio::spawn(async move {
        if let Err(panicked) = catch_panic(name, serving).await {
            // The process may be ending for another reason.
            let _ = panic_sender.try_send(panicked);
        }
    })
}

/// Waits until the process is told to stop; returns the listener's panic if that comes first.
async fn wait_for_shutdown<T>(
    terminated: impl Future<Output = T>,
    panics: &mut mpsc::Receiver<TaskPanicked>,
) -> Option<TaskPanicked> {
    tokio::select! {
        _ = terminated => None,
        panicked = panics.recv() => panicked,
    }
}

/// Returns the fixed delay before free ownership is claimed.
///
/// The owner reads all jobs and sends the commands for all tasks, so machines with a larger CPU
/// share and a faster link claim first.
fn claim_delay(settings: &PlatformSettings) -> Duration {
    let cpu_deficit = (REFERENCE_CPU_SHARE / settings.cpu_share.max(0.01) - 1.0).max(0.0);
    let link_deficit = (REFERENCE_LINK_MBPS / settings.link_mbps.max(1.0) - 1.0).max(0.0);
    CLAIM_DELAY_PER_DEFICIT.mul_f64((cpu_deficit + link_deficit).min(CLAIM_DEFICIT_MAX))
}

/// Reads the settings again on SIGHUP and logs the result. Addresses are not changed.
async fn validate_on_reload(reload: &mut Signal) {
    while reload.recv().await.is_some() {
        match read_settings(settings_path()) {
            Ok(settings) => emit!(JobsEvent::NodeReloaded, instance = settings.instance),
            Err(error) => emit!(JobsEvent::NodeNotReloaded, error = error),
        }
    }
}

async fn serve_callers(
    listener: TcpListener,
    api: PlatformJobApi,
    ingress: Ingress,
    stop_accepting: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop_accepting.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(connection) = ingress.admit() {
                    serve_caller(stream, connection, api.clone(), &graceful);
                }
            }
            Err(error) => {
                emit!(JobsEvent::ConnectionNotAccepted, error = error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    graceful.shutdown().await;
}

fn serve_caller(
    stream: TcpStream,
    admitted: Arc<Connection>,
    api: PlatformJobApi,
    graceful: &GracefulShutdown,
) {
    let _ = stream.set_nodelay(true);
    let caller = admitted.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (api, caller) = (api.clone(), caller.clone());
        tracked(caller.clone(), request, async move |request| {
            Ok::<_, Infallible>(caller_api::handle_request(&api, request, &caller).await)
        })
    });
    let connection = http1_builder(HEADER_TIMEOUT)
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    // Errors of a connection that the caller closes are ignored.
    let serving = async move { drop(admitted.run(connection).await) };
    tokio::spawn(async move { drop(catch_panic("caller's connection", serving).await) });
}

/// Serves the metrics as text. If the address cannot be bound, the instance runs without them.
async fn serve_metrics(
    address: SocketAddr,
    registry: Registry,
    desired_states: watch::Receiver<Arc<DesiredState>>,
    metrics: JobsMetrics,
    ingress: Ingress,
) {
    let listener = match bind(address) {
        Ok(listener) => listener,
        Err(error) => return emit!(JobsEvent::MetricsNotServed, error = error),
    };
    let registry = Arc::new(registry);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                emit!(JobsEvent::ConnectionNotAccepted, error = error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(admitted) = ingress.admit() else { continue };
        let (registry, desired_states, metrics) =
            (registry.clone(), desired_states.clone(), metrics.clone());
        let service = service_fn(move |_: Request<Incoming>| {
            let version =
                desired_states.borrow().config.as_ref().map_or(0, |config| config.version);
            metrics.set_config_version(version);
            std::future::ready(Ok::<_, Infallible>(metrics_page(&registry)))
        });
        let connection =
            http1_builder(HEADER_TIMEOUT).serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move { drop(admitted.run(connection).await) });
    }
}

fn metrics_page(registry: &Registry) -> Response<Full<Bytes>> {
    let mut text = String::new();
    match prometheus_client::encoding::text::encode(&mut text, registry) {
        Ok(()) => Response::new(Full::from(text)),
        Err(error) => {
            emit!(JobsEvent::MetricsNotServed, error = error);
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

/// Serves readiness checks on `/ready`: 200 while the instance can serve callers, else 503.
async fn serve_readiness(
    listener: TcpListener,
    api: PlatformJobApi,
    stop: CancellationToken,
    ingress: Ingress,
) {
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                emit!(JobsEvent::ConnectionNotAccepted, error = error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(admitted) = ingress.admit() else { continue };
        let (api, stop) = (api.clone(), stop.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let is_ready = api.is_ready(DESIRED_STATE_AGE_MAX) && !stop.is_cancelled();
            std::future::ready(Ok::<_, Infallible>(readiness(&request, is_ready)))
        });
        let connection =
            http1_builder(HEADER_TIMEOUT).serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move { drop(admitted.run(connection).await) });
    }
}

fn readiness(request: &Request<Incoming>, is_ready: bool) -> Response<Full<Bytes>> {
    let status = match (request.method(), request.uri().path()) {
        (&Method::GET, "/ready") if is_ready => StatusCode::OK,
        (&Method::GET, "/ready") => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests;
