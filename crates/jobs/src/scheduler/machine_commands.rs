//! Commands to machines, and which of them may still be executed.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId};
use cassiafold_platform::Moment;

use super::machine_list::MachineList;
use crate::clients::{LATE_COMMAND_MAX, MachineOutcome};
use crate::cluster::WaveNumber;

/// Minimum time between two commands to the same machine.
const COMMAND_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// Number of an attempt to execute a command; it rises with each attempt of an owner.
pub type AttemptNumber = u64;

/// A command to a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineCommand {
    /// Maintains it.
    Maintain {
        /// The machine.
        machine: InstanceId,
        /// The wave.
        wave: WaveNumber,
    },
    /// Moves it to another service.
    Move {
        /// The machine.
        machine: InstanceId,
        /// The service.
        service: ServiceId,
    },
}

impl MachineCommand {
    /// Returns the machine to which the command applies.
    pub fn machine(&self) -> &InstanceId {
        match self {
            Self::Maintain { machine, .. } | Self::Move { machine, .. } => machine,
        }
    }
}

impl fmt::Display for MachineCommand {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Maintain { wave, .. } => write!(formatter, "maintain for wave {wave}"),
            Self::Move { service, .. } => write!(formatter, "move to {service}"),
        }
    }
}

/// A command as it is sent once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineAttempt {
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// The command.
    pub command: MachineCommand,
}

/// What an attempt does to its machine if it is executed.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Effect {
    Maintenance(WaveNumber),
    Move(ServiceId),
}

impl Effect {
    fn is_maintenance(&self) -> bool {
        matches!(self, Self::Maintenance(_))
    }
}

impl From<&MachineCommand> for Effect {
    fn from(command: &MachineCommand) -> Self {
        match command {
            MachineCommand::Maintain { wave, .. } => Self::Maintenance(*wave),
            MachineCommand::Move { service, .. } => Self::Move(service.clone()),
        }
    }
}

/// An attempt that may still be executed.
#[derive(Debug)]
struct OpenAttempt {
    number: AttemptNumber,
    effect: Effect,
    /// Until when it may be executed; without limit while its outcome is awaited.
    executable_until: Moment,
    /// Whether another attempt of the same move was executed, so that this one changes nothing
    /// unless the machine is moved elsewhere.
    is_repeat: bool,
}

impl OpenAttempt {
    /// Returns whether the outcome of the attempt is awaited.
    fn is_awaited(&self) -> bool {
        self.executable_until == Moment::MAX
    }
}

/// The commands to machines that may still be executed.
///
/// An outcome settles the attempt to which it belongs and no other. Only the maintenance of one wave
/// is an exception: the platform carries it out once, so one accepted attempt settles all.
#[derive(Debug, Default)]
pub(super) struct OpenCommands {
    last_number: AttemptNumber,
    attempts: HashMap<InstanceId, Vec<OpenAttempt>>,
    /// When each machine was last sent a command.
    last_sent: HashMap<InstanceId, Moment>,
}

impl OpenCommands {
    /// Adds an attempt that is sent now.
    pub(super) fn send(&mut self, command: MachineCommand, now: Moment) -> MachineAttempt {
        self.last_number += 1;
        let number = self.last_number;
        let effect = Effect::from(&command);
        let machine = command.machine().clone();
        self.last_sent.insert(machine.clone(), now);
        let attempt =
            OpenAttempt { number, effect, executable_until: Moment::MAX, is_repeat: false };
        self.attempts.entry(machine).or_default().push(attempt);
        MachineAttempt { number, command }
    }

    /// Applies the outcome of an attempt.
    pub(super) fn settle(
        &mut self,
        attempt: &MachineAttempt,
        outcome: MachineOutcome,
        now: Moment,
    ) {
        let machine = attempt.command.machine();
        let effect = Effect::from(&attempt.command);
        let Some(attempts) = self.attempts.get_mut(machine) else { return };
        match outcome {
            MachineOutcome::Unknown => {
                let sent = attempts.iter_mut().filter(|open| open.number == attempt.number);
                sent.for_each(|open| open.executable_until = now + LATE_COMMAND_MAX);
            }
            MachineOutcome::Accepted => {
                let is_settled = |open: &OpenAttempt| {
                    open.number == attempt.number
                        || (effect.is_maintenance() && open.effect == effect)
                };
                attempts.retain(|open| !is_settled(open));
                mark_repeats(attempts, &effect);
            }
            MachineOutcome::Busy | MachineOutcome::Fenced | MachineOutcome::Refused => {
                attempts.retain(|open| open.number != attempt.number);
            }
        }
        if attempts.is_empty() {
            self.attempts.remove(machine);
        }
    }

    /// Forgets the attempts that can no longer be executed.
    pub(super) fn expire(&mut self, now: Moment) {
        self.attempts.retain(|_, attempts| {
            attempts.retain(|open| now < open.executable_until);
            !attempts.is_empty()
        });
    }

    /// Settles the moves without a response that a list of machines shows as executed.
    pub(super) fn settle_listed_moves(&mut self, machines: &MachineList) {
        self.attempts.retain(|machine, attempts| {
            let Some(listed) = machines.get(machine) else { return true };
            let executed = Effect::Move(listed.service.clone());
            match &attempts[..] {
                [only] if only.effect == executed && !only.is_awaited() => return false,
                _ => mark_repeats(attempts, &executed),
            }
            true
        });
    }

    /// Returns whether a move of a machine had no response, and none is awaited.
    pub(super) fn is_move_unanswered(&self, machine: &str) -> bool {
        let attempts = self.attempts.get(machine).map_or(&[][..], Vec::as_slice);
        attempts.iter().any(|open| matches!(open.effect, Effect::Move(_)) && !open.is_repeat)
            && !attempts.iter().any(OpenAttempt::is_awaited)
    }

    /// Returns until when a command may take a machine away; `None` if none may.
    pub(super) fn may_leave_until(&self, machine: &str) -> Option<Moment> {
        let effective = self.attempts.get(machine)?.iter().filter(|open| !open.is_repeat);
        effective.map(|open| open.executable_until).max()
    }

    /// Returns whether an attempt for a machine may still be executed, even if it changes nothing
    /// while the machine stays.
    pub(super) fn has_attempts(&self, machine: &str) -> bool {
        self.attempts.contains_key(machine)
    }

    /// Returns the waves for whose maintenance a machine may still go down.
    pub(super) fn open_waves(&self, machine: &str) -> impl Iterator<Item = WaveNumber> {
        self.attempts.get(machine).into_iter().flatten().filter_map(|open| match open.effect {
            Effect::Maintenance(wave) => Some(wave),
            Effect::Move(_) => None,
        })
    }

    /// Returns whether a machine may still go down for the maintenance of a wave.
    pub(super) fn may_go_down_for(&self, machine: &str, wave: WaveNumber) -> bool {
        self.open_waves(machine).any(|open| open == wave)
    }

    /// Returns whether a machine was sent a command so recently that another one has to wait.
    pub(super) fn was_sent_recently(&self, machine: &str, now: Moment) -> bool {
        let last = self.last_sent.get(machine);
        last.is_some_and(|sent| now.saturating_sub(*sent) < COMMAND_RETRY_INTERVAL)
    }
}

/// Marks the other attempts of a move that was executed.
fn mark_repeats(attempts: &mut [OpenAttempt], executed: &Effect) {
    let is_same = |open: &&mut OpenAttempt| !executed.is_maintenance() && open.effect == *executed;
    attempts.iter_mut().filter(is_same).for_each(|open| open.is_repeat = true);
}
