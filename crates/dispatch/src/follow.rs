//! Follows the sources of the request path and starts what may start after a change.

use std::sync::{Arc, Weak};
use std::time::Duration;

use cassiafold_config::Config;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::core::Core;
use crate::dispatcher::{Instances, Shared};
use crate::edge::{Edges, PeerLoad, ShareSource};
use crate::limit::LimitSource;

/// How often the gauges are brought up to date when nothing else happens.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Notifications of all sources.
pub(crate) struct Changes {
    config: watch::Receiver<Option<Arc<Config>>>,
    instances: Instances,
    limits: watch::Receiver<()>,
    shares: watch::Receiver<()>,
    peers: watch::Receiver<()>,
}

impl Changes {
    pub(crate) fn of<E: Edges>(shared: &Shared<E>) -> Self {
        let state = shared.lock();
        Self {
            config: state.config.clone(),
            instances: state.instances.clone(),
            limits: shared.edges.limits().changes(),
            shares: shared.edges.shares().changes(),
            peers: shared.edges.peers().changes(),
        }
    }
}

/// Starts what may start whenever a source changes or a hold ends, until the queues are gone.
pub(crate) async fn run<E: Edges>(weak: Weak<Shared<E>>, mut changes: Changes) {
    loop {
        let Some(shared) = weak.upgrade() else {
            return;
        };
        let hold_end = shared.lock().core.backends.next_hold_end();
        let holds = shared.holds.notified();
        tokio::select! {
            () = changed(&mut changes.config) => shared.change(|_| {}),
            () = changed(&mut changes.instances) => shared.change(|_| {}),
            () = changed(&mut changes.limits) => shared.change(Core::unblock_all),
            () = changed(&mut changes.shares) => shared.change(Core::update_shares),
            () = changed(&mut changes.peers) => shared.change(Core::update_peers),
            () = holds => {}
            () = sleep_until(hold_end) => {
                let now = Instant::now();
                shared.change(|core| core.backends.end_holds(now));
            }
            () = tokio::time::sleep(GAUGE_INTERVAL) => shared.change(|_| {}),
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
