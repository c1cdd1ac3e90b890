//! Machines of services that are short: how they are divided, and which are vacated for a move.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cassiafold_config::{InstanceId, ServiceId};
use cassiafold_platform::Moment;

use super::Scheduler;
use crate::balance::{Move, Pool, machines_to_vacate};
use crate::division::{Claim, divide};
use crate::job::WorkerSlot;

/// Longest time that the runs on a vacated machine are expected to take. Waiting for longer ones
/// would leave more of the machine unused than the move gains.
const VACATE_TIME_MAX: Duration = Duration::from_millis(2_000);

impl Scheduler {
    /// Limits the needs of the services to their shares, if there are too few machines for all.
    /// Returns whether there are.
    pub(super) fn divide_machines(&self, pools: &mut BTreeMap<ServiceId, Pool>) -> bool {
        let available: usize = pools.values().map(|pool| pool.machines).sum();
        let needs = pools.values().filter(|pool| !pool.is_spare).map(|pool| pool.needed);
        if needs.fold(0, usize::saturating_add) <= available {
            return false;
        }
        let cores_each = self.cores_per_machine();
        let in_use = pools.iter().filter(|(_, pool)| !pool.is_spare);
        let claims = in_use.map(|(id, pool)| {
            let spread = self.min_workers_for_spread(id);
            (id.clone(), Claim::new(&pool.load, pool.needed, spread, cores_each, available))
        });
        for (id, share) in divide(&claims.collect(), available) {
            if let Some(pool) = pools.get_mut(&id) {
                pool.needed = pool.needed.min(share);
            }
        }
        true
    }

    /// Withholds new tasks from machines of services that have more than their share, so that they
    /// become idle and can move to services that lack some.
    ///
    /// At the end of a peak, a service's last tasks are scattered over most of its machines, and
    /// its late work would go on filling them one task at a time.
    pub(super) fn vacate_machines(
        &mut self,
        pools: &BTreeMap<ServiceId, Pool>,
        moves: &[Move],
        now: Moment,
    ) {
        let mut vacated = BTreeSet::new();
        for (service, count) in machines_to_vacate(pools, moves) {
            vacated.extend(self.machines_free_soonest(&service, count, now));
        }
        let previous = std::mem::replace(&mut self.vacated_machines, vacated);
        for machine in previous.difference(&self.vacated_machines).cloned().collect::<Vec<_>>() {
            self.end_vacating(&machine);
        }
        for machine in self.vacated_machines.clone() {
            if let Some(slot) = self.worker_on_machine(&machine) {
                self.workers[slot].is_cordoned = true;
            }
        }
    }

    /// Lets all vacated machines take new tasks again.
    pub(super) fn stop_vacating(&mut self) {
        for machine in std::mem::take(&mut self.vacated_machines) {
            self.end_vacating(&machine);
        }
    }

    fn end_vacating(&mut self, machine: &InstanceId) {
        let is_draining = self.is_drained_for_maintenance(machine);
        if let Some(slot) = self.worker_on_machine(machine) {
            let worker = &mut self.workers[slot];
            worker.is_cordoned = worker.is_leaving || is_draining;
            self.mark_worker_service_changed(slot);
        }
    }

    /// Returns the `count` machines of a service on which all tasks end soonest. Machines that are
    /// vacated already come first, so that the choice lasts.
    fn machines_free_soonest(
        &self,
        service: &str,
        count: usize,
        now: Moment,
    ) -> impl Iterator<Item = InstanceId> {
        let slots = self.service_slots(service).iter();
        let mut machines: Vec<(bool, Duration, InstanceId)> = slots
            .filter_map(|slot| {
                let machine = self.workers[*slot].machine.clone()?;
                let is_vacated = self.vacated_machines.contains(&machine);
                let can_be_vacated = is_vacated || self.workers[*slot].is_usable(now);
                let time = self.time_until_idle(*slot, now).filter(|_| can_be_vacated)?;
                (is_vacated || time <= VACATE_TIME_MAX).then_some((!is_vacated, time, machine))
            })
            .collect();
        machines.sort_unstable();
        machines.into_iter().take(count).map(|(_, _, machine)| machine)
    }

    /// Returns the estimated time until all runs on a worker have ended; `None` if one lasts.
    fn time_until_idle(&self, slot: WorkerSlot, now: Moment) -> Option<Duration> {
        let worker = &self.workers[slot];
        if worker.counts.long_running > 0 || worker.is_leaving || !worker.has_listed_all() {
            return None;
        }
        let ratio = self.run_time_ratio.ratio();
        let times = worker.runs.iter().map(|(task, run)| {
            let expected_s = self.run_time(task.step).as_secs_f64() * ratio;
            let expected = Duration::try_from_secs_f64(expected_s).unwrap_or(Duration::MAX);
            expected.saturating_sub(now.saturating_sub(run.confirmed.unwrap_or(run.since)))
        });
        Some(times.max().unwrap_or_default())
    }
}
