//! Processor time and memory of a running process, as the kernel tells them.

use std::fs;

use crate::error::CtlError;

const MS_PER_S: u64 = 1_000;

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessUsage {
    /// Processor time over all threads, user and system.
    pub(super) processor_ms: u64,
    /// Resident memory.
    pub(super) resident_kib: u64,
    /// Largest resident memory so far.
    pub(super) peak_resident_kib: u64,
    /// Address space.
    pub(super) virtual_kib: u64,
    /// Threads.
    pub(super) threads: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process `pid`.
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

/// The 14th and 15th field of `stat`, of which the second, a name, may hold spaces.
fn processor_ms(stat: &str) -> u64 {
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(11).take(2);
    let ticks: u64 = fields.filter_map(|field| field.parse::<u64>().ok()).sum();
    ticks * MS_PER_S / rustix::param::clock_ticks_per_second()
}
