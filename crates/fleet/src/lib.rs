//! Pools, availability budgets, moves, maintenance waves and learned failure domains.
