//! Load and experiment tool: open-loop callers, faults, reports.
