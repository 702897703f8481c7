//! What a process has used of the machine.

use std::fs;
use std::path::PathBuf;

use crate::CliResult;

/// Processor time is counted in ticks of 10 ms.
const CPU_TICK_US: f64 = 10_000.0;

/// What a process has used of the machine since its start.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Processor time, in us.
    pub cpu_us: f64,
    /// Memory in use.
    pub resident_kb: u64,
    /// The most memory that was in use.
    pub peak_kb: u64,
}

impl ProcessUsage {
    /// Reads what the process `id` has used.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such process.
    pub fn read(id: u32) -> CliResult<Self> {
        let proc = PathBuf::from(format!("/proc/{id}"));
        let stat = fs::read_to_string(proc.join("stat"))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
        let ticks =
            |i: usize| fields.get(i).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        let status = fs::read_to_string(proc.join("status"))?;
        let kb = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let text = line.unwrap_or_default().trim().trim_end_matches(" kB");
            text.parse().unwrap_or(0)
        };
        // User and system time are fields 14 and 15, counted from the process id.
        let cpu_us = (ticks(12) + ticks(13)) * CPU_TICK_US;
        Ok(Self { cpu_us, resident_kb: kb("VmRSS:"), peak_kb: kb("VmHWM:") })
    }
}
