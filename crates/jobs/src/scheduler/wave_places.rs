//! Places of a maintenance wave: how many of its machines are or may be down.
//!
//! A command whose outcome is unknown may be executed later, and the next owner can't know which of
//! the recorded machines were commanded. Each such machine takes a place, as one that is down does.

use cassiafold_config::InstanceId;

use super::Scheduler;
use super::wave_progress::WaveProgress;
use crate::cluster::MachineState;

impl Scheduler {
    /// Returns how many machines of a wave are or may be down for maintenance. Each takes one of the
    /// places that the wave has.
    pub(super) fn taken_places(&self, progress: &WaveProgress) -> usize {
        let takes_place = |machine: &&InstanceId| {
            self.is_down(machine, progress) || self.may_go_down(machine, progress)
        };
        progress.wave.machines.iter().filter(takes_place).count()
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
    /// machine down. Further commands of a wave for which it has gone down change nothing.
    pub(super) fn may_go_down(&self, machine: &str, progress: &WaveProgress) -> bool {
        let open = self.open_commands.open_waves(machine);
        let mut waves = open.chain(self.machine_leases.recorded_waves(machine));
        let is_begun = progress.begun.contains_key(machine);
        waves.any(|wave| !is_begun || wave != progress.wave.number)
    }
}
