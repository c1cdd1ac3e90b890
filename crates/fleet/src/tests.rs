//! Fixtures and property tests.

pub(crate) mod fixture;
pub(crate) mod race;
mod schedule;
