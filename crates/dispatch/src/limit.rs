//! Source of the teams' upper limits.

use cassiafold_config::TeamId;
use tokio::sync::watch;

/// Grants permits, each for running one request of a team.
///
/// A permit is dropped when the request has ended, or when its slot is released because the outcome
/// stays unknown. The methods are called while the queues are locked: they must neither block nor
/// call back into the dispatcher.
pub trait LimitSource: Clone + Send + Sync + 'static {
    /// Permit to run one request.
    type Permit: Send + 'static;

    /// Takes a permit if the team may now run one more request at this entry instance.
    fn try_acquire(&self, team: &TeamId) -> Option<Self::Permit>;

    /// Whether `permit` still allows a request to start. It can become invalid between the grant
    /// and the first byte sent, while a connection is opened or the process is paused.
    fn is_valid(&self, _permit: &Self::Permit) -> bool {
        true
    }

    /// Whether no permits are granted to any team, for an unknown time. Requests that need a permit
    /// are then refused instead of queued.
    fn are_suspended(&self) -> bool {
        false
    }

    /// Receives a notification when permits may have become available, other than by the request
    /// path dropping one.
    fn changes(&self) -> watch::Receiver<()>;
}

/// A source without upper limits, for tests and benchmarks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unlimited;

impl LimitSource for Unlimited {
    type Permit = ();

    fn try_acquire(&self, _team: &TeamId) -> Option<()> {
        Some(())
    }

    fn changes(&self) -> watch::Receiver<()> {
        never()
    }
}

/// Returns a receiver that is never notified.
pub(crate) fn never() -> watch::Receiver<()> {
    watch::channel(()).1
}
