//! Weighted fair queue of one service.
//!
//! Each team has a virtual time: the slot time that it was charged, divided by its weight. The
//! backlogged team with the lowest virtual time goes first; within a team, requests go in order
//! of arrival. A team that returns from idleness starts at the queue's virtual time, so that it
//! neither saves up credit nor loses debt. The charge at a start is an estimate, corrected when
//! the request has ended. Removal of a request takes constant time; a step of the queue takes
//! time logarithmic in the number of teams.

use std::collections::{BTreeSet, HashMap};

use cassiafold_config::TeamId;
use slab::Slab;

/// Virtual time as the bits of a non-negative float, which order as the float does.
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
    ready: BTreeSet<(VirtualTimeBits, TeamId)>,
    entries: Slab<Entry<T>>,
    virtual_time: f64,
    backlog_weight: f64,
    sequence: u64,
}

#[derive(Debug)]
struct Entry<T> {
    team: TeamId,
    sequence: u64,
    previous: Option<usize>,
    next: Option<usize>,
    item: T,
}

#[derive(Debug)]
struct TeamQueue {
    weight: f64,
    virtual_time: f64,
    first: Option<usize>,
    last: Option<usize>,
    length: usize,
    blocked: bool,
}

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

    /// Number of waiting requests of each team that has any.
    pub fn backlog(&self) -> impl Iterator<Item = (&TeamId, usize)> {
        let lengths = self.teams.iter().map(|(team, queue)| (team, queue.length));
        lengths.filter(|(_, length)| *length > 0)
    }

    /// Sum of the weights of the teams that have requests waiting.
    pub fn backlog_weight(&self) -> f64 {
        self.backlog_weight
    }

    /// Whether `team` is set aside by [`FairQueue::block`].
    pub fn is_blocked(&self, team: &TeamId) -> bool {
        self.teams.get(team).is_some_and(|queue| queue.blocked)
    }

    /// Sets the weight of `team`.
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

    /// Appends a request of `team`; the team's weight must have been set.
    pub fn push_back(&mut self, team: &TeamId, item: T) -> WaiterId {
        self.push(team, item, false)
    }

    /// Puts a request of `team` that had its turn before all others of the team.
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

    /// The team whose turn it is.
    pub fn next_team(&self) -> Option<&TeamId> {
        self.ready.first().map(|(_, team)| team)
    }

    /// The first request of `team`.
    pub fn first(&self, team: &TeamId) -> Option<&T> {
        let index = self.teams.get(team)?.first?;
        Some(&self.entries[index].item)
    }

    /// Takes the first request of `team` and charges the team `cost_s` seconds of slot time.
    pub fn pop_charged(&mut self, team: &TeamId, cost_s: f64) -> Option<T> {
        let queue = self.teams.get(team)?;
        let index = queue.first?;
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        let item = self.unlink(index);
        self.charge(team, cost_s);
        Some(item)
    }

    /// Takes the first request of `team` without a charge.
    pub fn pop_uncharged(&mut self, team: &TeamId) -> Option<T> {
        let index = self.teams.get(team)?.first?;
        Some(self.unlink(index))
    }

    /// Removes a waiting request in constant time; `None` when it no longer waits.
    pub fn remove(&mut self, waiter: WaiterId) -> Option<T> {
        let entry = self.entries.get(waiter.index)?;
        if entry.sequence != waiter.sequence {
            return None;
        }
        Some(self.unlink(waiter.index))
    }

    /// Changes what `team` was charged by `cost_s` seconds of slot time, which may be negative.
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

    /// Sets `team` aside until [`FairQueue::unblock`].
    pub fn block(&mut self, team: &TeamId) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        self.ready.remove(&(queue.virtual_time_bits(), team.clone()));
        queue.blocked = true;
    }

    /// Lets `team` take its turn again.
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

    /// Forgets teams without waiting requests that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&TeamId) -> bool) {
        self.teams.retain(|team, queue| queue.length > 0 || keep(team));
    }

    /// Teams known to the queue.
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
            unreachable!("a team with waiting requests is known");
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
