//! What the VM allows this process, as the kernel states it.

use std::fs;

/// Memory of a small VM relative to what its kernel states, in percent.
const KERNEL_RESERVE_PERCENT: u64 = 125;

/// Memory and descriptors of the VM. A value that the kernel does not state is `None`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct VmCapacity {
    /// Most memory that the VM can have, in megabytes of 1,000,000 bytes. The kernel states
    /// less than there is, because it leaves out what it reserves for itself.
    pub(super) memory_mb: Option<u32>,
    /// The limit of open descriptors that this process has now.
    pub(super) descriptors: Option<u32>,
}

impl VmCapacity {
    /// Reads the capacity from `/proc`.
    pub(super) fn read() -> Self {
        let meminfo = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        Self {
            memory_mb: memory_mb(&meminfo),
            descriptors: descriptors(&limits),
        }
    }
}

fn memory_mb(meminfo: &str) -> Option<u32> {
    let line = meminfo.lines().find_map(|l| l.strip_prefix("MemTotal:"))?;
    let kib: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    u32::try_from(kib * 1_024 * KERNEL_RESERVE_PERCENT / 100 / 1_000_000).ok()
}

/// The soft limit is `unlimited` or a number.
fn descriptors(limits: &str) -> Option<u32> {
    let line = limits
        .lines()
        .find_map(|l| l.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
