//! Upper limits of teams as the request path asks for them.

use cassiafold_config::TeamId;

/// Gives permits to run one request of a team.
///
/// A permit is dropped when the work has ended or its outcome is accounted for.
pub trait LimitSource: Clone + Send + Sync + 'static {
    /// Permission to run one request.
    type Permit: Send + 'static;

    /// Takes a permit if the team may run one more request at this entry instance now.
    fn try_acquire(&self, team: &TeamId) -> Option<Self::Permit>;
}

/// A source without upper limits, for tests and benchmarks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unlimited;

impl LimitSource for Unlimited {
    type Permit = ();

    fn try_acquire(&self, _team: &TeamId) -> Option<()> {
        Some(())
    }
}
