//! Fixtures and random schedules.

pub(crate) mod fixture;
mod race;
mod schedule;
