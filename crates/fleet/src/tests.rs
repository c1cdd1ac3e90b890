//! Fixtures and random schedules.

pub(crate) mod fixture;
