//! One entry instance: its tasks and how they are joined.

use std::sync::Arc;
use std::time::Duration;

use cassiafold_config::{ActiveConfig, Instance, ZoneId};
use cassiafold_dispatch::{Callers, Edges, Instances, Metrics, Server};
use cassiafold_platform::InstanceList;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How often the instance list is read.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Which pool each instance belongs to.
pub type PoolOf = Arc<dyn Fn(&str) -> Option<Arc<str>> + Send + Sync>;

/// Serves callers on `listener` until the server is closed.
pub fn serve<E: Edges>(
    listener: TcpListener,
    config: ActiveConfig,
    instances: Instances,
    edges: E,
    home: ZoneId,
) -> std::io::Result<Server<E>> {
    let callers = Callers::start(edges, config, instances, home, Metrics::default());
    Server::start(listener, callers)
}

/// Reads the instance list at an interval and publishes it with the pool of each instance.
pub fn follow_instances<I: InstanceList>(list: I, pool_of: PoolOf) -> Instances {
    let (sender, receiver) = watch::channel(Arc::new(Vec::new()));
    tokio::spawn(async move {
        while !sender.is_closed() {
            if let Ok(listed) = list.list().await {
                let joined = listed.into_iter().filter_map(|instance| {
                    let pool = pool_of(&instance.id)?;
                    Some(Instance {
                        id: instance.id,
                        address: instance.address,
                        zone: instance.zone,
                        rack: instance.rack,
                        pool,
                        state: instance.state,
                    })
                });
                sender.send_replace(Arc::new(joined.collect()));
            }
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    });
    receiver
}
