//! Processor time and memory of this process.

use std::fs;

/// Clock ticks per second, the unit of the processor times in `/proc/self/stat`.
pub(super) const CLOCK_TICKS_PER_S: f64 = 100.0;
const PAGE_BYTES: f64 = 4_096.0;

/// Returns a field of a `/proc` file; `skip` counts the fields from the first, or after the last `)`
/// if there is one.
fn read_proc_field(file: &str, skip: usize) -> f64 {
    let text = fs::read_to_string(file).unwrap_or_default();
    let rest = text.rsplit(')').next().unwrap_or_default().to_owned();
    rest.split_whitespace().nth(skip).and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Returns the processor time of this process, in clock ticks.
pub(super) fn process_cpu_ticks() -> f64 {
    read_proc_field("/proc/self/stat", 11) + read_proc_field("/proc/self/stat", 12)
}

/// Returns the resident memory of this process, in bytes.
pub(super) fn process_rss_bytes() -> f64 {
    read_proc_field("/proc/self/statm", 1) * PAGE_BYTES
}
