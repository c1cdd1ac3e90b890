//! Fixtures and random schedules.

pub(crate) mod fixture;
pub(crate) mod race;
mod schedule;
