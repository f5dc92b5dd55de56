//! Processor time and memory of a running process, from `/proc`.

use std::fs;

use crate::error::CtlError;

const MS_PER_S: u64 = 1_000;

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessUsage {
    /// Processor time of all threads, in user and system mode.
    pub(super) processor_ms: u64,
    /// Resident memory.
    pub(super) resident_kib: u64,
    /// Peak resident memory.
    pub(super) peak_resident_kib: u64,
    /// Size of the address space.
    pub(super) virtual_kib: u64,
    /// Number of threads.
    pub(super) threads: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process `pid`.
    ///
    /// # Errors
    /// When the files of the process in `/proc` cannot be read.
    pub(super) fn read(pid: u32) -> Result<ProcessUsage, CtlError> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name));
            line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or_default()
        };
        Ok(ProcessUsage {
            processor_ms: processor_ms(&stat),
            resident_kib: field("VmRSS:"),
            peak_resident_kib: field("VmHWM:"),
            virtual_kib: field("VmSize:"),
            threads: field("Threads:"),
        })
    }
}

/// Sums the 14th and 15th field of `/proc/PID/stat`, user and system time. Fields are counted from the end of the
/// second, the process name in parentheses, because the name may contain spaces.
fn processor_ms(stat: &str) -> u64 {
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(11).take(2);
    let ticks: u64 = fields.filter_map(|field| field.parse::<u64>().ok()).sum();
    ticks * MS_PER_S / rustix::param::clock_ticks_per_second()
}
