//! Bounds and waits of the planner.

use std::time::Duration;

/// Bounds and waits of the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Shortest drain: every entry instance has acted on the document by then.
    pub drain_min: Duration,
    /// Longest drain of a move and of a repair.
    pub drain_max: Duration,
    /// Wait before maintenance is tried again after a drain was given up.
    pub maintenance_retry: Duration,
    /// Longest wait for a trial request after a reboot.
    pub reboot_timeout: Duration,
    /// How long an instance must be missing from the list before its step ends.
    pub missing_step_timeout: Duration,
    /// How long an instance that is no longer listed is kept in the document.
    pub forget_after: Duration,
    /// How long an instance must fail before it is repaired.
    pub repair_after: Duration,
    /// Wait before the second repair; it doubles with each further one.
    pub repair_retry: Duration,
    /// Longest wait between repairs.
    pub repair_retry_max: Duration,
    /// Repairs after which an instance is exchanged for a spare one.
    pub repair_attempts_max: u32,
    /// Share of the fleet under repair at once; at least one instance.
    pub repair_share_max: f64,
    /// Share of a zone that fails from which its instances are not rebooted.
    pub zone_outage_share: f64,
    /// Fewest failing instances that make a storm.
    pub zone_outage_min: usize,
    /// Share of the fleet under maintenance at once; at least one instance.
    pub maintenance_share_max: f64,
    /// Share of a spare pool under maintenance at once; at least one instance.
    pub spare_share_max: f64,
    /// How long a failure counts as recent.
    pub recent_failure: Duration,
    /// Share of the fleet that must have failed recently to pause all waves.
    pub pause_share: f64,
    /// Fewest recent failures that pause all waves.
    pub pause_min: usize,
    /// Instances of a wave that did not return from which it pauses.
    pub wave_failures_max: usize,
    /// Time for which every instance must be maintained once.
    pub maintenance_period: Duration,
    /// How long a service must be short before instances are drained for it elsewhere.
    pub reassign_after: Duration,
    /// How long a service must ask for little before it returns instances.
    pub return_after: Duration,
    /// Factor on what a service needs below which it gives instances away.
    pub surplus_factor: f64,
    /// Spare instances that demand alone does not take.
    pub spare_reserved: usize,
    /// Whether learned failure domains count, besides declared racks.
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
