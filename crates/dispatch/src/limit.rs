//! Upper limits of teams as the request path asks for them.

use cassiafold_config::TeamId;
use tokio::sync::watch;

/// Gives permits to run one request of a team.
///
/// A permit is dropped when the work has ended or its outcome is accounted for. The methods are
/// called while the queues are locked: they neither block nor call back.
pub trait LimitSource: Clone + Send + Sync + 'static {
    /// Permission to run one request.
    type Permit: Send + 'static;

    /// Takes a permit if the team may run one more request at this entry instance now.
    fn try_acquire(&self, team: &TeamId) -> Option<Self::Permit>;

    /// Whether a request with `permit` may still start. Time may pass between the permit and the
    /// first byte sent: a connection is made, or the process is paused.
    fn is_valid(&self, _permit: &Self::Permit) -> bool {
        true
    }

    /// Whether no permit is given to any team for now, for a reason that ends at no known time.
    /// Requests are refused at once then.
    fn are_suspended(&self) -> bool {
        false
    }

    /// Notifies when permits refused before may be available, for reasons other than the drop
    /// of a permit by the request path itself.
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

/// A receiver that is never notified.
pub(crate) fn never() -> watch::Receiver<()> {
    watch::channel(()).1
}
