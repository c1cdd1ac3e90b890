//! Watches the sources of the request path and starts waiting requests after a change.

use std::sync::{Arc, Weak};
use std::time::Duration;

use cassiafold_config::Config;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::dependencies::{Dependencies, PeerLoad, ShareSource};
use crate::dispatcher::{Instances, Shared};
use crate::limit::LimitSource;
use crate::scheduler::RequestScheduler;

/// Update interval of the gauges when no source changes.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Change notifications of all sources.
pub(crate) struct SourceChanges {
    config: watch::Receiver<Option<Arc<Config>>>,
    instances: Instances,
    limits: watch::Receiver<()>,
    shares: watch::Receiver<()>,
    peers: watch::Receiver<()>,
}

impl SourceChanges {
    pub(crate) fn subscribe<E: Dependencies>(shared: &Shared<E>) -> Self {
        let state = shared.lock();
        Self {
            config: state.config.clone(),
            instances: state.instances.clone(),
            limits: shared.dependencies.limits().changes(),
            shares: shared.dependencies.shares().changes(),
            peers: shared.dependencies.peers().changes(),
        }
    }
}

/// Applies each change of a source and each end of a backoff and starts waiting requests, until the
/// dispatcher is dropped.
pub(crate) async fn run<E: Dependencies>(weak: Weak<Shared<E>>, mut changes: SourceChanges) {
    loop {
        let Some(shared) = weak.upgrade() else {
            return;
        };
        let backoff_end = shared.lock().scheduler.backends.next_backoff_end();
        let backoff_added = shared.backoff_added.notified();
        tokio::select! {
            () = changed(&mut changes.config) => shared.update(|_| {}),
            () = changed(&mut changes.instances) => shared.update(|_| {}),
            () = changed(&mut changes.limits) => shared.update(RequestScheduler::unblock_all),
            () = changed(&mut changes.shares) => shared.update(RequestScheduler::update_shares),
            () = changed(&mut changes.peers) => shared.update(RequestScheduler::update_peers),
            () = backoff_added => {}
            () = sleep_until(backoff_end) => {
                let now = Instant::now();
                shared.update(|scheduler| scheduler.backends.end_backoffs(now));
            }
            () = tokio::time::sleep(GAUGE_INTERVAL) => shared.update(|_| {}),
        }
    }
}

async fn changed<T>(receiver: &mut watch::Receiver<T>) {
    if receiver.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn sleep_until(until: Option<Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}
