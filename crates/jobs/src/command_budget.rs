//! Budget of the commands on the way to workers: those that were sent and have no outcome yet.
//!
//! Load that it answers: legal jobs, cancellations and takeovers ask for tens of thousands of
//! commands at once, each with a text of some kilobytes. What exceeds the budget stays in the
//! scheduler as it was, a waiting task or a run that is to be stopped, until there is room.
//!
//! Client accounts share the budget by a threshold that follows the free rest: each may have as much
//! on the way as is left for all, so that one that asks for everything gets half. The first part of
//! an account's share goes to the workers as they come, the rest is divided among them evenly: those
//! without responses keep their parts only.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::time::Duration;

use cassiafold_config::TeamId;
use cassiafold_platform::Moment;

use crate::job::WorkerSlot;
use crate::job_memory::SMALLEST_MEMORY_MB;
use crate::spec::{RunNumber, TaskId};

/// Descriptors of the smallest supported machine.
pub const SMALLEST_DESCRIPTORS: usize = 4_100;

/// Divisor of the machine's memory that gives what the commands on the way may take.
const MEMORY_DIVISOR: u64 = 16;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the other descriptors that connections for commands may use, in percent. Each worker has
/// a long poll beside it, and callers and the store have connections of their own.
const CONNECTIONS_PERCENT: usize = 36;

/// Bytes of a command beside the texts in it: the request without them, its outcome, and its row in
/// the owner's tables.
const COMMAND_BYTES: u64 = 1_024;
/// Times its size that a text takes while a request with it is encoded and written.
const TEXT_COPIES: u64 = 3;
/// Divisor of what a client account may have on the way that gives the part that goes to the workers
/// as they come, and the one that is divided among them evenly.
const WORKERS_PART_DIVISOR: u64 = 4;
/// Divisor of what a client account may have on the way that gives the most that one worker gets as
/// they come.
const WORKER_PART_DIVISOR: u64 = 8;
/// Commands of one kind and client account on the way to a worker that responds.
const WORKER_COMMANDS_MAX: usize = 512;
/// Commands of one kind and client account on the way to a worker that lately left one without a
/// response. Each may use a connection of its own.
const UNANSWERED_WORKER_COMMANDS_MAX: usize = 16;

/// What the commands on the way may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandLimits {
    /// Memory of all commands, in bytes.
    pub bytes_max: u64,
    /// Connections for commands.
    pub connections_max: usize,
}

impl CommandLimits {
    /// Limits on a machine with this memory, in MiB, and this many descriptors for the process.
    pub fn for_machine(memory_mb: usize, descriptors: usize) -> Self {
        let memory_bytes = (memory_mb as u64).saturating_mul(1 << 20);
        let descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS);
        Self {
            bytes_max: memory_bytes / MEMORY_DIVISOR,
            connections_max: (descriptors / 100 * CONNECTIONS_PERCENT).max(2),
        }
    }
}

impl Default for CommandLimits {
    /// Limits on the smallest supported machine.
    fn default() -> Self {
        Self::for_machine(SMALLEST_MEMORY_MB, SMALLEST_DESCRIPTORS)
    }
}

/// Kind of a command to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CommandKind {
    /// Starts a task.
    Start,
    /// Stops a run.
    Stop,
    /// Limits the speed of a run.
    Throttle,
}

impl CommandKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Start, Self::Stop, Self::Throttle];

    /// Name in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Stop => "stop",
            Self::Throttle => "pace",
        }
    }

    /// Part of the budget for commands of this kind, in percent. Each has its own, so that a crowd
    /// of starts delays no stop.
    fn budget_percent(self) -> u64 {
        match self {
            Self::Start => 50,
            Self::Stop => 40,
            Self::Throttle => 10,
        }
    }
}

/// A command on the way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CommandId {
    /// Its kind.
    pub kind: CommandKind,
    /// The worker.
    pub worker: WorkerSlot,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
}

/// A command that may be sent.
#[derive(Debug, Clone, Copy)]
pub struct NewCommand<'a> {
    /// The command.
    pub id: CommandId,
    /// The client account for which it is sent, if there is one.
    pub team: Option<&'a TeamId>,
    /// Memory that it takes, in bytes.
    pub bytes: u64,
    /// Whether the worker lately left a command without a response.
    pub is_worker_unanswered: bool,
}

/// What a command on the way holds.
#[derive(Debug)]
struct SentCommand {
    bytes: u64,
    connections: usize,
    team: Option<TeamId>,
    sent: Moment,
}

/// Commands on the way that share a part of the budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CommandUsage {
    /// Number of commands.
    pub commands: usize,
    /// Memory that they take, in bytes.
    pub bytes: u64,
}

impl CommandUsage {
    fn add(&mut self, bytes: u64) {
        self.commands += 1;
        self.bytes += bytes;
    }

    fn remove(&mut self, bytes: u64) {
        self.commands -= 1;
        self.bytes -= bytes;
    }
}

/// What is on the way, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandReport {
    /// Each kind of command.
    pub kinds: [KindReport; CommandKind::ALL.len()],
    /// Number of polls.
    pub polls: usize,
    /// Connections that the commands use.
    pub connections: usize,
    /// Most memory that all commands took at a time since the last report, in bytes.
    pub bytes_peak: u64,
}

/// Commands of one kind on the way, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindReport {
    /// The kind.
    pub kind: CommandKind,
    /// Number and memory.
    pub usage: CommandUsage,
    /// Time since the oldest one was sent.
    pub oldest_age: Duration,
}

/// The commands of one kind on the way.
#[derive(Debug, Default)]
struct KindUsage {
    total: CommandUsage,
    workers: HashMap<(WorkerSlot, Option<TeamId>), CommandUsage>,
    teams: HashMap<Option<TeamId>, CommandUsage>,
}

/// The commands and polls on the way.
#[derive(Debug, Default)]
pub struct CommandBudget {
    limits: CommandLimits,
    sent: HashMap<CommandId, SentCommand>,
    kinds: [KindUsage; CommandKind::ALL.len()],
    /// Most memory that commands have taken since the last report, in bytes.
    bytes_peak: u64,
    connections: usize,
    worker_count: u64,
    polls: usize,
    /// Calls of the current pass: commands of one kind to one worker share a connection.
    calls: HashSet<(WorkerSlot, CommandKind)>,
}

impl CommandBudget {
    /// An empty budget.
    pub fn new(limits: CommandLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Memory that a command with texts of this length takes, in bytes. The length is that in JSON.
    pub fn command_bytes(text_bytes: u64) -> u64 {
        COMMAND_BYTES.saturating_add(text_bytes.saturating_mul(TEXT_COPIES))
    }

    /// Begins a pass, for this number of workers: commands from now on are sent in new calls.
    pub fn begin_pass(&mut self, worker_count: usize) {
        self.worker_count = worker_count as u64;
        self.calls.clear();
    }

    /// Whether a client account may have this much more on the way. A command that is larger than any
    /// share is sent alone.
    pub fn admits_team(&self, kind: CommandKind, team: Option<&TeamId>, bytes: u64) -> bool {
        let used = self.team_bytes(kind, team);
        self.kinds[kind as usize].total.commands == 0
            || used.saturating_add(bytes) <= self.free_bytes(kind)
    }

    /// Whether a worker may have this command on the way, if its client account may.
    pub fn admits_worker(&self, command: &NewCommand<'_>) -> bool {
        let CommandId { kind, worker, .. } = command.id;
        let usage = &self.kinds[kind as usize];
        let used = usage.workers.get(&(worker, command.team.cloned())).copied().unwrap_or_default();
        let commands_max = match command.is_worker_unanswered {
            true => UNANSWERED_WORKER_COMMANDS_MAX,
            false => WORKER_COMMANDS_MAX,
        };
        let bytes_max = self.worker_bytes_max(kind, command.team);
        let has_room = used.commands == 0 || used.bytes.saturating_add(command.bytes) <= bytes_max;
        used.commands < commands_max
            && has_room
            && self.admits_connections(self.new_connections(command))
    }

    /// What a client account may have on the way to one worker, in bytes.
    fn worker_bytes_max(&self, kind: CommandKind, team: Option<&TeamId>) -> u64 {
        let team_bytes_max = self.free_bytes(kind);
        match self.team_bytes(kind, team) < team_bytes_max / WORKERS_PART_DIVISOR {
            true => team_bytes_max / WORKER_PART_DIVISOR,
            false => team_bytes_max / WORKERS_PART_DIVISOR / self.worker_count.max(1),
        }
    }

    /// What is left of the budget of a kind, in bytes. Each client account may have as much.
    fn free_bytes(&self, kind: CommandKind) -> u64 {
        let total = self.kinds[kind as usize].total;
        self.kind_bytes_max(kind).saturating_sub(total.bytes)
    }

    fn team_bytes(&self, kind: CommandKind, team: Option<&TeamId>) -> u64 {
        self.kinds[kind as usize].teams.get(&team.cloned()).map_or(0, |usage| usage.bytes)
    }

    fn kind_bytes_max(&self, kind: CommandKind) -> u64 {
        self.limits.bytes_max / 100 * kind.budget_percent()
    }

    /// Whether a command may be sent.
    pub fn admits(&self, command: &NewCommand<'_>) -> bool {
        self.admits_team(command.id.kind, command.team, command.bytes)
            && self.admits_worker(command)
    }

    fn admits_connections(&self, connections: usize) -> bool {
        self.connections + connections <= self.limits.connections_max
    }

    /// Connections that a command adds to those of the commands before it.
    fn new_connections(&self, command: &NewCommand<'_>) -> usize {
        let call = (command.id.worker, command.id.kind);
        usize::from(command.is_worker_unanswered || !self.calls.contains(&call))
    }

    /// Adds a command that is sent now.
    pub fn add(&mut self, command: NewCommand<'_>, now: Moment) {
        self.remove(command.id);
        let NewCommand { id, team, bytes, .. } = command;
        let connections = self.new_connections(&command);
        self.calls.insert((id.worker, id.kind));
        self.connections += connections;
        let kind = &mut self.kinds[id.kind as usize];
        kind.total.add(bytes);
        kind.workers.entry((id.worker, team.cloned())).or_default().add(bytes);
        kind.teams.entry(team.cloned()).or_default().add(bytes);
        self.bytes_peak = self.bytes_peak.max(self.bytes());
        let sent = SentCommand { bytes, connections, team: team.cloned(), sent: now };
        self.sent.insert(id, sent);
    }

    /// Removes a command whose outcome is known.
    pub fn remove(&mut self, id: CommandId) {
        let Some(SentCommand { bytes, connections, team, .. }) = self.sent.remove(&id) else {
            return;
        };
        self.connections -= connections;
        let kind = &mut self.kinds[id.kind as usize];
        kind.total.remove(bytes);
        remove_from(&mut kind.teams, &team, bytes);
        remove_from(&mut kind.workers, &(id.worker, team), bytes);
    }

    /// Whether a command is on the way.
    pub fn contains(&self, id: CommandId) -> bool {
        self.sent.contains_key(&id)
    }

    /// Adds a poll that is sent now.
    pub fn add_poll(&mut self) {
        self.polls += 1;
    }

    /// Removes a poll whose outcome is known.
    pub fn remove_poll(&mut self) {
        self.polls = self.polls.saturating_sub(1);
    }

    /// What is on the way at `now`, and the most that was since the last call.
    pub fn take_report(&mut self, now: Moment) -> CommandReport {
        let kind_report = |kind: CommandKind| KindReport {
            kind,
            usage: self.kinds[kind as usize].total,
            oldest_age: now.saturating_sub(self.oldest(kind).unwrap_or(now)),
        };
        let kinds = CommandKind::ALL.map(kind_report);
        let bytes = self.bytes();
        let bytes_peak = std::mem::replace(&mut self.bytes_peak, bytes);
        CommandReport { kinds, polls: self.polls, connections: self.connections, bytes_peak }
    }

    fn bytes(&self) -> u64 {
        self.kinds.iter().map(|kind| kind.total.bytes).sum()
    }

    /// When the oldest command of a kind on the way was sent.
    fn oldest(&self, kind: CommandKind) -> Option<Moment> {
        let of_kind = self.sent.iter().filter(|(id, _)| id.kind == kind);
        of_kind.map(|(_, sent)| sent.sent).min()
    }
}

fn remove_from<K: Eq + Hash>(usages: &mut HashMap<K, CommandUsage>, key: &K, bytes: u64) {
    let Some(usage) = usages.get_mut(key) else { return };
    usage.remove(bytes);
    if usage.commands == 0 {
        usages.remove(key);
    }
}

/// Length of a text as a JSON string without its quotes, in bytes.
pub fn json_bytes(text: &str) -> u64 {
    let escaped = |byte: u8| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
        0..0x20 => 6,
        _ => 1,
    };
    text.bytes().map(escaped).sum()
}
