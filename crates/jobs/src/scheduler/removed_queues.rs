//! Queues that are no longer configured while jobs that were submitted to them have not ended.

use std::collections::HashSet;

use super::Scheduler;
use crate::cluster::{ClusterConfig, Queue, QueueId};
use crate::job::Job;

impl Scheduler {
    /// Returns the queue of a job, as it is configured now or was last.
    pub(super) fn queue_of(&self, job: &Job) -> Option<&Queue> {
        let id = &job.record.queue;
        self.config.queues.get(id).or_else(|| self.removed_queues.get(id))
    }

    /// Keeps the queues of the previous configuration that jobs still need, and forgets the others.
    pub(super) fn keep_removed_queues(&mut self, previous: &ClusterConfig) {
        let is_removed = |id: &QueueId| !self.config.queues.contains_key(id);
        let removed = previous.queues.iter().filter(|(id, _)| is_removed(id));
        let removed: Vec<_> = removed.map(|(id, queue)| (id.clone(), queue.clone())).collect();
        self.removed_queues.extend(removed);
        if self.removed_queues.is_empty() {
            return;
        }
        let held = self.jobs.values().map(|job| &job.record.queue);
        let deferred = self.deferred.jobs().map(|job| &job.queue);
        let in_use: HashSet<&QueueId> = held.chain(deferred).collect();
        let config = &self.config;
        self.removed_queues.retain(|id, _| in_use.contains(id) && !config.queues.contains_key(id));
    }
}
