//! Weighted fair queue of one service.
//!
//! Each team has a virtual time: its charged slot time divided by its weight. The backlogged team
//! with the lowest virtual time is served first, and the requests of a team in order of arrival.
//! When an idle team becomes backlogged, its virtual time is raised to that of the queue, so that
//! it accumulates no credit; a higher virtual time is kept. The charge at the start is an estimate,
//! corrected when the request ends. Removing a request takes constant time; starting one takes time
//! logarithmic in the number of teams.

use std::collections::{BTreeSet, HashMap};

use cassiafold_config::TeamId;
use slab::Slab;

/// Bits of a virtual time. Non-negative floats and their bits have the same order.
type VirtualTimeBits = u64;

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaiterId {
    index: usize,
    sequence: u64,
}

/// A weighted fair queue of items of type `T`.
#[derive(Debug)]
pub struct FairQueue<T> {
    teams: HashMap<TeamId, TeamQueue>,
    /// Teams with waiting requests that are not blocked, by virtual time.
    ready: BTreeSet<(VirtualTimeBits, TeamId)>,
    entries: Slab<Entry<T>>,
    /// Highest virtual time at which a request was started.
    virtual_time: f64,
    backlog_weight: f64,
    /// Sequence number of the last request, which distinguishes entries that reuse an index.
    sequence: u64,
}

/// Waiting request, linked with its neighbours in the list of its team.
#[derive(Debug)]
struct Entry<T> {
    team: TeamId,
    sequence: u64,
    previous: Option<usize>,
    next: Option<usize>,
    item: T,
}

/// Waiting requests of one team, as a linked list of entries.
#[derive(Debug)]
struct TeamQueue {
    weight: f64,
    virtual_time: f64,
    first: Option<usize>,
    last: Option<usize>,
    length: usize,
    blocked: bool,
}

/// Lower bound that keeps the division by a weight finite.
const WEIGHT_MIN: f64 = 1e-6;

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            teams: HashMap::new(),
            ready: BTreeSet::new(),
            entries: Slab::new(),
            virtual_time: 0.0,
            backlog_weight: 0.0,
            sequence: 0,
        }
    }
}

impl TeamQueue {
    fn new(weight: f64, virtual_time: f64) -> Self {
        Self { weight, virtual_time, first: None, last: None, length: 0, blocked: false }
    }

    fn virtual_time_bits(&self) -> VirtualTimeBits {
        self.virtual_time.to_bits()
    }

    fn is_ready(&self) -> bool {
        self.length > 0 && !self.blocked
    }
}

impl<T> FairQueue<T> {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of waiting requests of `team`.
    pub fn team_len(&self, team: &TeamId) -> usize {
        self.teams.get(team).map_or(0, |queue| queue.length)
    }

    /// Teams with waiting requests, and the number of them.
    pub fn backlog(&self) -> impl Iterator<Item = (&TeamId, usize)> {
        let lengths = self.teams.iter().map(|(team, queue)| (team, queue.length));
        lengths.filter(|(_, length)| *length > 0)
    }

    /// Sum of the weights of the teams that have requests waiting.
    pub fn backlog_weight(&self) -> f64 {
        self.backlog_weight
    }

    /// Whether `team` is blocked by [`FairQueue::block`].
    pub fn is_blocked(&self, team: &TeamId) -> bool {
        self.teams.get(team).is_some_and(|queue| queue.blocked)
    }

    /// Sets the weight of `team`, raised to a small positive minimum.
    pub fn set_weight(&mut self, team: &TeamId, weight: f64) {
        let weight = weight.max(WEIGHT_MIN);
        let virtual_time = self.virtual_time;
        let queue =
            self.teams.entry(team.clone()).or_insert_with(|| TeamQueue::new(weight, virtual_time));
        if queue.length > 0 {
            self.backlog_weight += weight - queue.weight;
        }
        queue.weight = weight;
    }

    /// Appends a request of `team`. A team whose weight was not set has weight 1.
    pub fn push_back(&mut self, team: &TeamId, item: T) -> WaiterId {
        self.push(team, item, false)
    }

    /// Inserts a request of `team` before the team's other requests, for a retry.
    pub fn push_front(&mut self, team: &TeamId, item: T) -> WaiterId {
        self.push(team, item, true)
    }

    fn push(&mut self, team: &TeamId, item: T, front: bool) -> WaiterId {
        self.sequence += 1;
        let sequence = self.sequence;
        if !self.teams.contains_key(team) {
            self.set_weight(team, 1.0);
        }
        let Some(queue) = self.teams.get_mut(team) else {
            unreachable!("the team was inserted above");
        };
        let (previous, next) = if front { (None, queue.first) } else { (queue.last, None) };
        let entry = Entry { team: team.clone(), sequence, previous, next, item };
        let index = self.entries.insert(entry);
        match next {
            Some(next) => self.entries[next].previous = Some(index),
            None => queue.last = Some(index),
        }
        match previous {
            Some(previous) => self.entries[previous].next = Some(index),
            None => queue.first = Some(index),
        }
        queue.length += 1;
        if queue.length == 1 {
            self.backlog_weight += queue.weight;
            queue.virtual_time = queue.virtual_time.max(self.virtual_time);
            if queue.is_ready() {
                self.ready.insert((queue.virtual_time_bits(), team.clone()));
            }
        }
        WaiterId { index, sequence }
    }

    /// Returns the team to serve next.
    pub fn next_team(&self) -> Option<&TeamId> {
        self.ready.first().map(|(_, team)| team)
    }

    /// Returns the first request of `team`.
    pub fn first(&self, team: &TeamId) -> Option<&T> {
        let index = self.teams.get(team)?.first?;
        Some(&self.entries[index].item)
    }

    /// Removes the first request of `team` and charges the team `cost_s` seconds of slot time.
    pub fn pop_charged(&mut self, team: &TeamId, cost_s: f64) -> Option<T> {
        let queue = self.teams.get(team)?;
        let index = queue.first?;
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        let item = self.unlink(index);
        self.charge(team, cost_s);
        Some(item)
    }

    /// Removes the first request of `team` without a charge.
    pub fn pop_uncharged(&mut self, team: &TeamId) -> Option<T> {
        let index = self.teams.get(team)?.first?;
        Some(self.unlink(index))
    }

    /// Removes a waiting request in constant time. Returns `None` if it is no longer waiting.
    pub fn remove(&mut self, waiter: WaiterId) -> Option<T> {
        let entry = self.entries.get(waiter.index)?;
        if entry.sequence != waiter.sequence {
            return None;
        }
        Some(self.unlink(waiter.index))
    }

    /// Adds `cost_s` seconds of slot time to the charge of `team`; negative values reduce it.
    pub fn charge(&mut self, team: &TeamId, cost_s: f64) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        let before = queue.virtual_time_bits();
        queue.virtual_time = (queue.virtual_time + cost_s / queue.weight).max(0.0);
        if queue.is_ready() {
            self.ready.remove(&(before, team.clone()));
            self.ready.insert((queue.virtual_time_bits(), team.clone()));
        }
    }

    /// Excludes `team` from scheduling until [`FairQueue::unblock`].
    pub fn block(&mut self, team: &TeamId) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        self.ready.remove(&(queue.virtual_time_bits(), team.clone()));
        queue.blocked = true;
    }

    /// Includes `team` in scheduling again.
    pub fn unblock(&mut self, team: &TeamId) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        if !std::mem::replace(&mut queue.blocked, false) {
            return;
        }
        queue.virtual_time = queue.virtual_time.max(self.virtual_time);
        if queue.is_ready() {
            self.ready.insert((queue.virtual_time_bits(), team.clone()));
        }
    }

    /// Removes teams that have no waiting requests and for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&TeamId) -> bool) {
        self.teams.retain(|team, queue| queue.length > 0 || keep(team));
    }

    /// Returns all teams of the queue.
    pub fn teams(&self) -> Vec<TeamId> {
        self.teams.keys().cloned().collect()
    }

    fn unlink(&mut self, index: usize) -> T {
        let entry = self.entries.remove(index);
        if let Some(previous) = entry.previous {
            self.entries[previous].next = entry.next;
        }
        if let Some(next) = entry.next {
            self.entries[next].previous = entry.previous;
        }
        let Some(queue) = self.teams.get_mut(&entry.team) else {
            unreachable!("a team with waiting requests has an entry");
        };
        if entry.previous.is_none() {
            queue.first = entry.next;
        }
        if entry.next.is_none() {
            queue.last = entry.previous;
        }
        queue.length -= 1;
        if queue.length == 0 {
            self.backlog_weight -= queue.weight;
            self.ready.remove(&(queue.virtual_time_bits(), entry.team));
        }
        if self.entries.is_empty() {
            self.backlog_weight = 0.0;
        }
        entry.item
    }
}

#[cfg(test)]
mod tests;
