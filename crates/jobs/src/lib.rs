//! Jobs of many tasks: accepted once by any entry instance, placed on workers by one owner, and
//! kept in the platform's store.

pub mod api;
pub mod arrivals;
pub mod balance;
pub mod clients;
pub mod cluster;
pub mod coalescing;
pub mod command_budget;
pub mod config_check;
pub mod crash;
pub mod delay;
pub mod desired_state;
pub mod division;
pub mod estimate;
pub mod event;
pub mod incarnation;
pub mod interference;
pub mod job;
pub mod job_memory;
pub mod metrics;
pub mod outage;
pub mod owner;
pub mod placement;
pub mod platform_clients;
pub mod policy_queue;
pub mod record;
mod response_times;
pub mod scheduler;
pub mod spec;
pub mod step_order;
pub mod task_panic;
pub mod throttle;
pub mod worker;
