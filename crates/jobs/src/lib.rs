//! Jobs of many tasks: accepted once by any entry instance, placed on workers by one owner, and
//! kept in the platform's store.

pub mod arrivals;
pub mod balance;
pub mod cluster;
pub mod delay;
pub mod desk;
pub mod edges;
pub mod estimate;
pub mod event;
pub mod gathering;
pub mod job;
pub mod metrics;
pub mod order;
pub mod outage;
pub mod owner;
pub mod pace;
pub mod placement;
pub mod record;
pub mod scheduler;
pub mod site;
pub mod spec;
pub mod view;
pub mod worker;
