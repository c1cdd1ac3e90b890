//! What the request path asks of the rest of an entry instance.

use cassiafold_config::{Instance, InstanceId, ServiceId, TeamId};
use tokio::sync::watch;

use crate::limit::{LimitSource, Unlimited, never};

/// Local weights of teams, which stand in for their configured shares.
///
/// Called while the queues are locked: the methods neither block nor call back.
pub trait ShareSource: Clone + Send + Sync + 'static {
    /// Weight of `team` at this entry instance; `None` stands for its configured share.
    fn weight(&self, service: &ServiceId, team: &TeamId) -> Option<f64>;

    /// Most requests of `team` that this entry instance should run while others wait for slots;
    /// `None` for no bound. Teams that reach few entry instances get their share only when the
    /// other teams leave them slots. At least one request is always allowed.
    fn running_max(&self, _service: &ServiceId, _team: &TeamId) -> Option<u32> {
        None
    }

    /// Notifies when weights or bounds have changed.
    fn changes(&self) -> watch::Receiver<()>;
}

/// Requests that other entry instances run at each backend server, as last reported.
///
/// Called while the queues are locked: the methods neither block nor call back.
pub trait PeerLoad: Clone + Send + Sync + 'static {
    /// Requests that other entry instances run at `instance`.
    fn running(&self, instance: &InstanceId) -> u32;

    /// Live entry instances, this one included.
    fn entry_count(&self) -> u32;

    /// Notifies when counts have changed.
    fn changes(&self) -> watch::Receiver<()>;
}

/// Suspected failure domains of instances.
///
/// Called while the queues are locked: the methods neither block nor call back.
pub trait FailureDomainSource: Clone + Send + Sync + 'static {
    /// Whether both instances are suspected to fail together.
    fn same_domain(&self, one: &Instance, other: &Instance) -> bool;
}

/// Bundles the sources that the request path works with.
pub trait Dependencies: Clone + Send + Sync + 'static {
    /// Source of upper limits.
    type Limits: LimitSource;
    /// Source of local weights.
    type Shares: ShareSource;
    /// Source of the load that other entry instances put on backend servers.
    type Peers: PeerLoad;
    /// Source of suspected failure domains.
    type Domains: FailureDomainSource;

    /// Upper limits.
    fn limits(&self) -> &Self::Limits;
    /// Local weights.
    fn shares(&self) -> &Self::Shares;
    /// Load by other entry instances.
    fn peers(&self) -> &Self::Peers;
    /// Suspected failure domains.
    fn domains(&self) -> &Self::Domains;
}

/// Plain bundle of sources.
#[derive(Debug, Clone, Default)]
pub struct Sources<L = Unlimited, S = ConfiguredShares, P = NoPeers, D = RackDomains> {
    /// Upper limits.
    pub limits: L,
    /// Local weights.
    pub shares: S,
    /// Load by other entry instances.
    pub peers: P,
    /// Suspected failure domains.
    pub domains: D,
}

impl<L> Sources<L> {
    /// Upper limits from `limits`, and all else as configured and declared.
    pub fn with_limits(limits: L) -> Self {
        let (shares, peers, domains) = (ConfiguredShares, NoPeers, RackDomains);
        Self { limits, shares, peers, domains }
    }
}

impl<L, S, P, D> Dependencies for Sources<L, S, P, D>
where
    L: LimitSource,
    S: ShareSource,
    P: PeerLoad,
    D: FailureDomainSource,
{
    type Limits = L;
    type Shares = S;
    type Peers = P;
    type Domains = D;

    fn limits(&self) -> &L {
        &self.limits
    }

    fn shares(&self) -> &S {
        &self.shares
    }

    fn peers(&self) -> &P {
        &self.peers
    }

    fn domains(&self) -> &D {
        &self.domains
    }
}

/// Weights as configured.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfiguredShares;

impl ShareSource for ConfiguredShares {
    fn weight(&self, _service: &ServiceId, _team: &TeamId) -> Option<f64> {
        None
    }

    fn changes(&self) -> watch::Receiver<()> {
        never()
    }
}

/// An entry instance on its own.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoPeers;

impl PeerLoad for NoPeers {
    fn running(&self, _instance: &InstanceId) -> u32 {
        0
    }

    fn entry_count(&self) -> u32 {
        1
    }

    fn changes(&self) -> watch::Receiver<()> {
        never()
    }
}

/// Failure domains as declared: instances of one rack fail together.
#[derive(Debug, Clone, Copy, Default)]
pub struct RackDomains;

impl FailureDomainSource for RackDomains {
    fn same_domain(&self, one: &Instance, other: &Instance) -> bool {
        one.zone == other.zone && one.rack == other.rack
    }
}
