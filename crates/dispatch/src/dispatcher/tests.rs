use std::sync::atomic::{AtomicBool, Ordering};

use cassiafold_config::raw::RawConfig;
use cassiafold_config::{InstanceState, TeamId};
use prometheus_client::registry::Registry;

use crate::dependencies::Sources;
use crate::limit::LimitSource;
use crate::slot_grant::EndReason;

use super::*;

fn config(version: u64, zone_out: bool) -> Arc<Config> {
    let raw: RawConfig = serde_json::from_value(serde_json::json!({
        "version": version,
        "zones": {"a": {"region": "n", "out": zone_out}},
        "services": {"portal": {"floor_share": 0.5, "open": true, "slots_per_instance": 1}},
        "pools": {"portal": {"service": "portal"}},
        "teams": {},
    }))
    .unwrap();
    Arc::new(Config::try_from(raw).unwrap())
}

fn instance(state: InstanceState) -> Instance {
    Instance {
        id: "i".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        rack: "r".into(),
        pool: "portal".into(),
        state,
    }
}

pub(crate) struct Setup {
    pub(crate) dispatcher: Dispatcher<Sources>,
    config: ActiveConfig,
    instances: watch::Sender<Arc<Vec<Instance>>>,
    pub(crate) request: Arc<AcceptedRequest>,
}

pub(crate) fn setup() -> Setup {
    let active = ActiveConfig::default();
    active.offer(config(1, false));
    let (sender, instances) = watch::channel(Arc::new(vec![instance(InstanceState::Live)]));
    let dependencies = Sources::default();
    let dispatcher =
        Dispatcher::start(dependencies, &active, instances, "a".into(), Metrics::default());
    let request = Arc::new(AcceptedRequest {
        id: "r".into(),
        service: "portal".into(),
        team: "anonymous".into(),
        key: None,
        checked_version: 1,
        idempotent: true,
        deadline: Instant::now() + Duration::from_secs(5),
    });
    Setup { dispatcher, config: active, instances: sender, request }
}

#[tokio::test(start_paused = true)]
async fn a_granted_request_may_not_start_in_a_zone_taken_out() {
    let Setup { dispatcher, config: active, instances: _kept, request } = setup();
    let running = dispatcher.acquire(&request).await.unwrap();
    assert!(running.may_start());
    active.offer(config(2, true));
    assert!(!running.may_start());
}

#[tokio::test(start_paused = true)]
async fn a_granted_request_may_not_start_on_a_leaving_instance() {
    let Setup { dispatcher, config: _active, instances, request } = setup();
    let running = dispatcher.acquire(&request).await.unwrap();
    instances.send_replace(Arc::new(vec![instance(InstanceState::Leaving)]));
    assert!(!running.may_start());
}

/// Limits whose permits can be revoked.
#[derive(Debug, Clone)]
struct RevocableLimits {
    revoked: Arc<AtomicBool>,
    changes: watch::Sender<()>,
}

impl RevocableLimits {
    fn revoke(&self) {
        self.revoked.store(true, Ordering::Relaxed);
        self.changes.send_replace(());
    }
}

impl LimitSource for RevocableLimits {
    type Permit = ();

    fn try_acquire(&self, _team: &TeamId) -> Option<()> {
        Some(())
    }

    fn are_suspended(&self) -> bool {
        self.revoked.load(Ordering::Relaxed)
    }

    fn is_valid(&self, (): &()) -> bool {
        !self.are_suspended()
    }

    fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}

struct RevocableSetup {
    dispatcher: Dispatcher<Sources<RevocableLimits>>,
    limits: RevocableLimits,
    request: Arc<AcceptedRequest>,
    _kept: (ActiveConfig, watch::Sender<Arc<Vec<Instance>>>),
}

fn revocable_setup() -> RevocableSetup {
    let active = ActiveConfig::default();
    active.offer(config(1, false));
    let (sender, instances) = watch::channel(Arc::new(vec![instance(InstanceState::Live)]));
    let limits = RevocableLimits { revoked: Arc::default(), changes: watch::Sender::new(()) };
    let dependencies = Sources::with_limits(limits.clone());
    let dispatcher =
        Dispatcher::start(dependencies, &active, instances, "a".into(), Metrics::default());
    let mut request = AcceptedRequest::clone(&setup().request);
    (request.team, request.key) = ("parishes".into(), Some("the-key".into()));
    RevocableSetup { dispatcher, limits, request: Arc::new(request), _kept: (active, sender) }
}

#[tokio::test(start_paused = true)]
async fn a_granted_request_may_not_start_with_an_invalid_permit() {
    let RevocableSetup { dispatcher, limits, request, _kept } = revocable_setup();
    let running = dispatcher.acquire(&request).await.unwrap();
    assert!(running.may_start());
    limits.revoke();
    assert!(!running.may_start());
}

#[tokio::test(start_paused = true)]
async fn requests_with_a_key_are_refused_while_limits_are_suspended() {
    let RevocableSetup { dispatcher, limits, request, _kept } = revocable_setup();
    let running = dispatcher.acquire(&request).await.unwrap();
    let began = Instant::now();
    let waiting = dispatcher.acquire(&request);
    let suspend = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        limits.revoke();
    };
    let (waited, ()) = tokio::join!(waiting, suspend);
    let suspended = |result: Result<RunningRequest<_>, Problem>| {
        let problem = result.err().unwrap();
        assert_eq!(problem.code, DispatchCode::LimitsSuspended);
        assert_eq!(problem.run_state, crate::problem::RunState::NotRun);
        assert!(problem.retry_after.is_some());
    };
    suspended(waited);
    suspended(dispatcher.acquire(&request).await);
    assert!(began.elapsed() < Duration::from_secs(1));
    running.close(EndReason::Completed);
    assert!(dispatcher.acquire(&setup().request).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_grant_whose_task_is_gone_releases_its_slot() {
    let Setup { dispatcher, config: _active, instances: _kept, request } = setup();
    let running = dispatcher.acquire(&request).await.unwrap();
    let mut waiting = Box::pin(dispatcher.acquire(&request));
    assert!(futures_util::poll!(waiting.as_mut()).is_pending());
    running.close(EndReason::Completed);
    drop(waiting);
    let next = tokio::time::timeout(Duration::from_secs(1), dispatcher.acquire(&request)).await;
    assert!(next.unwrap().is_ok());
}

#[tokio::test(start_paused = true)]
async fn metrics_have_labels_of_configured_services_only() {
    let Setup { dispatcher, config: _active, instances: _kept, request } = setup();
    dispatcher.acquire(&request).await.unwrap().close(EndReason::Completed);
    let unknown = Arc::new(AcceptedRequest { service: "made-up".into(), ..(*request).clone() });
    assert!(dispatcher.acquire(&unknown).await.is_err());
    let mut registry = Registry::default();
    dispatcher.metrics().register(&mut registry);
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry).unwrap();
    let line = "dispatch_service_seconds_count{service=\"portal\",team=\"anonymous\"} 1";
    assert!(text.contains(line), "{text}");
    assert!(!text.contains("made-up"), "{text}");
}
