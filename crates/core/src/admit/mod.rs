//! Admission by team, priority, limit and deadline.
