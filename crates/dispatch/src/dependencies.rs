//! Sources that the rest of an entry instance provides to the request path.

use cassiafold_config::{Instance, InstanceId, ServiceId, TeamId};
use tokio::sync::watch;

use crate::limit::{LimitSource, Unlimited, never};

/// Weights of teams at this entry instance, which replace their configured shares.
///
/// The methods are called while the queues are locked: they must neither block nor call back into
/// the dispatcher.
pub trait ShareSource: Clone + Send + Sync + 'static {
    /// Weight of `team` at this entry instance; `None` for its configured share.
    fn weight(&self, service: &ServiceId, team: &TeamId) -> Option<f64>;

    /// Maximum number of requests of `team` that this entry instance runs while other teams wait
    /// for slots; `None` for no bound. It leaves slots to teams whose callers use few entry
    /// instances and which would otherwise not get their share. At least one request is always
    /// allowed.
    fn running_max(&self, _service: &ServiceId, _team: &TeamId) -> Option<u32> {
        None
    }

    /// Receives a notification when weights or bounds have changed.
    fn changes(&self) -> watch::Receiver<()>;
}

/// Load of the other entry instances on each backend server, as last reported.
///
/// The methods are called while the queues are locked: they must neither block nor call back into
/// the dispatcher.
pub trait PeerLoad: Clone + Send + Sync + 'static {
    /// Number of requests that other entry instances run on `instance`.
    fn running(&self, instance: &InstanceId) -> u32;

    /// Number of live entry instances, including this one.
    fn entry_count(&self) -> u32;

    /// Receives a notification when the load has changed.
    fn changes(&self) -> watch::Receiver<()>;
}

/// Suspected failure domains of instances.
///
/// The methods are called while the queues are locked: they must neither block nor call back into
/// the dispatcher.
pub trait FailureDomainSource: Clone + Send + Sync + 'static {
    /// Whether both instances are suspected to fail together.
    fn same_domain(&self, one: &Instance, other: &Instance) -> bool;
}

/// The sources that the request path depends on.
pub trait Dependencies: Clone + Send + Sync + 'static {
    /// Source of upper limits.
    type Limits: LimitSource;
    /// Source of local weights.
    type Shares: ShareSource;
    /// Source of the load of other entry instances.
    type Peers: PeerLoad;
    /// Source of suspected failure domains.
    type Domains: FailureDomainSource;

    /// Upper limits.
    fn limits(&self) -> &Self::Limits;
    /// Local weights.
    fn shares(&self) -> &Self::Shares;
    /// Load of other entry instances.
    fn peers(&self) -> &Self::Peers;
    /// Suspected failure domains.
    fn domains(&self) -> &Self::Domains;
}

/// Struct that implements [`Dependencies`] by its fields.
#[derive(Debug, Clone, Default)]
pub struct Sources<L = Unlimited, S = ConfiguredShares, P = NoPeers, D = RackDomains> {
    /// Upper limits.
    pub limits: L,
    /// Local weights.
    pub shares: S,
    /// Load of other entry instances.
    pub peers: P,
    /// Suspected failure domains.
    pub domains: D,
}

impl<L> Sources<L> {
    /// Uses `limits` with configured shares, no peers and racks as failure domains.
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

/// Weights equal to the configured shares.
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

/// A single entry instance without peers.
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

/// Failure domains by declared rack: instances of one rack fail together.
#[derive(Debug, Clone, Copy, Default)]
pub struct RackDomains;

impl FailureDomainSource for RackDomains {
    fn same_domain(&self, one: &Instance, other: &Instance) -> bool {
        one.zone == other.zone && one.rack == other.rack
    }
}
