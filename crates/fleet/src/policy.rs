//! Limits and timeouts of the planner.

use std::time::Duration;

/// Limits and timeouts of the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Minimum duration of a drain; gives every entry instance time to act on the document.
    pub drain_min: Duration,
    /// Drain timeout of moves and repairs. Maintenance uses the timeout of its wave.
    pub drain_max: Duration,
    /// Delay before another step is tried on an instance whose drain timed out.
    pub maintenance_retry: Duration,
    /// Timeout for each of the reboot request and the trial request.
    pub reboot_timeout: Duration,
    /// How long an instance must be unlisted before its step is cancelled.
    pub missing_step_timeout: Duration,
    /// How long an unlisted instance is kept in the document.
    pub forget_after: Duration,
    /// How long an instance must have been failing before it is repaired.
    pub repair_after: Duration,
    /// Backoff before the second repair; doubles with each further repair.
    pub repair_retry: Duration,
    /// Maximum backoff between repairs.
    pub repair_retry_max: Duration,
    /// Unsuccessful repairs after which an instance is replaced by a spare one.
    pub repair_attempts_max: u32,
    /// Maximum share of the fleet under repair at the same time; at least one instance.
    pub repair_share_max: f64,
    /// Failing share of a zone that counts as a zone outage, in which no instance is rebooted.
    pub zone_outage_share: f64,
    /// Minimum number of failing instances in a zone outage.
    pub zone_outage_min: usize,
    /// Maximum share of the fleet under maintenance at the same time; at least one instance.
    pub maintenance_share_max: f64,
    /// Maximum share of a spare pool with a step in progress for maintenance to start there; at
    /// least one instance.
    pub spare_share_max: f64,
    /// How long a failure counts as recent.
    pub recent_failure: Duration,
    /// Recently failed share of the fleet that pauses all waves.
    pub pause_share: f64,
    /// Minimum number of recent failures that pauses all waves.
    pub pause_min: usize,
    /// Number of instances that did not return from a reboot that pauses all waves.
    pub wave_failures_max: usize,
    /// Period in which every instance must be maintained once.
    pub maintenance_period: Duration,
    /// How long a service must be short of instances before other services give up instances from
    /// their home pools.
    pub reassign_after: Duration,
    /// How long a service must have a surplus before it returns borrowed instances, and how long a
    /// shortage of reserve instances only must last before it is filled.
    pub return_after: Duration,
    /// Factor on the demand for a service; instances beyond it are surplus.
    pub surplus_factor: f64,
    /// Spare instances held back from demand; only a service that cannot cover its floor and
    /// reserve takes them.
    pub spare_reserved: usize,
    /// Whether learned failure domains are used in addition to declared racks.
    pub use_learned_domains: bool,
}

impl Default for Policy {
    fn default() -> Self {
        let minutes = |count: u64| Duration::from_secs(count * 60);
        let hours = |count: u64| minutes(count * 60);
        Self {
            drain_min: Duration::from_secs(2),
            drain_max: minutes(10),
            maintenance_retry: hours(1),
            reboot_timeout: minutes(10),
            missing_step_timeout: minutes(15),
            forget_after: hours(24),
            repair_after: Duration::from_secs(30),
            repair_retry: minutes(5),
            repair_retry_max: hours(24),
            repair_attempts_max: 3,
            repair_share_max: 0.01,
            zone_outage_share: 0.3,
            zone_outage_min: 4,
            maintenance_share_max: 0.05,
            spare_share_max: 0.25,
            recent_failure: minutes(10),
            pause_share: 0.02,
            pause_min: 2,
            wave_failures_max: 2,
            maintenance_period: hours(21 * 24),
            reassign_after: Duration::from_secs(2),
            return_after: Duration::from_secs(60),
            surplus_factor: 1.5,
            spare_reserved: 1,
            use_learned_domains: true,
        }
    }
}

/// Number of instances that `share` of `total` allows; at least one.
pub fn limit_for_share(share: f64, total: usize) -> usize {
    ((share * total as f64) as usize).max(1)
}
