//! Budgets, caps and backoff of retries.
