//! Places of a maintenance wave: how many of its machines are or may be down.
//!
//! A command whose outcome is unknown may be executed later, and the next owner can't know which of
//! the recorded machines were commanded. Each such machine takes a place, as one that is down does.

use cassiafold_config::InstanceId;

use super::Scheduler;
use super::wave_progress::WaveProgress;
use crate::cluster::{MachineState, WaveNumber};

/// How many machines of a wave are or may be down.
#[derive(Debug, Clone, Copy)]
pub(super) struct TakenPlaces {
    /// Those that are or may be down for this wave.
    pub(super) own: usize,
    /// Those that are or may be down for any wave.
    pub(super) all: usize,
}

impl Scheduler {
    /// Returns how many of a wave's places are taken.
    pub(super) fn taken_places(&self, progress: &WaveProgress) -> TakenPlaces {
        let mut taken = TakenPlaces { own: 0, all: 0 };
        for machine in &progress.wave.machines {
            let is_down = self.is_down(machine, progress);
            let may_go_down = self.may_go_down(machine, progress);
            let is_others = self.may_go_down_for_other(machine, progress);
            taken.own += usize::from(may_go_down || (is_down && !is_others));
            taken.all += usize::from(may_go_down || is_down || is_others);
        }
        taken
    }

    /// Returns whether a machine is down for maintenance, or has gone down and is not known to be up
    /// again.
    fn is_down(&self, machine: &InstanceId, progress: &WaveProgress) -> bool {
        let listed = self.machines.get(machine).map(|listed| listed.state);
        let Some(begun) = progress.begun.get(machine) else {
            return listed == Some(MachineState::Maintenance);
        };
        let is_listed_after = self.machines_listed_at.is_some_and(|at| at > *begun);
        let is_up = matches!(listed, None | Some(MachineState::Up | MachineState::Moving));
        !is_listed_after || !is_up
    }

    /// Returns whether a command on the way, or one that an earlier owner may have sent, may take a
    /// machine down for a wave. Once it has gone down, further commands of the wave change nothing.
    pub(super) fn may_go_down(&self, machine: &str, progress: &WaveProgress) -> bool {
        !progress.begun.contains_key(machine)
            && self.commanded_waves(machine).any(|wave| wave == progress.wave.number)
    }

    /// Returns whether such a command may take a machine down for another wave.
    pub(super) fn may_go_down_for_other(&self, machine: &str, progress: &WaveProgress) -> bool {
        let has_begun = |wave: WaveNumber| {
            self.waves.get(&wave).is_some_and(|other| other.begun.contains_key(machine))
        };
        self.commanded_waves(machine).any(|wave| wave != progress.wave.number && !has_begun(wave))
    }

    /// Returns the waves for which a machine was or is about to be commanded, by this owner or an
    /// earlier one.
    fn commanded_waves(&self, machine: &str) -> impl Iterator<Item = WaveNumber> {
        let open = self.open_commands.open_waves(machine);
        open.chain(self.machine_leases.recorded_waves(machine))
    }
}
