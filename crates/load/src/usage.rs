//! Reads the processor time and memory use of a process from `/proc`.

use std::fs;
use std::path::PathBuf;

use crate::CliResult;

/// `/proc` reports processor time in ticks of 10 ms.
const CPU_TICK_US: f64 = 10_000.0;

/// Processor time and memory use of a process since its start.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// User and system processor time, in microseconds.
    pub cpu_us: f64,
    /// Resident memory, in KB.
    pub resident_kb: u64,
    /// Peak resident memory, in KB.
    pub peak_kb: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process with the process id `id`.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such process or its files in `/proc` cannot be read.
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
        // User and system time are fields 14 and 15 of the line, which starts with the process id;
        // `fields` starts after the process name, which is field 2.
        let cpu_us = (ticks(12) + ticks(13)) * CPU_TICK_US;
        Ok(Self { cpu_us, resident_kb: kb("VmRSS:"), peak_kb: kb("VmHWM:") })
    }
}
