//! The resources that this process has used so far.

use rustix::time::{ClockId, clock_gettime};

/// Returns the processor time used by this process, in milliseconds.
pub(crate) fn cpu_ms() -> u64 {
    cpu_us() / 1_000
}

/// Returns the processor time used by this process, in microseconds.
pub(crate) fn cpu_us() -> u64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000_000 + nanoseconds / 1_000
}

/// Returns the peak resident memory of this process in bytes, or zero if it is unknown.
pub(crate) fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

/// Returns the processor time used by the calling thread, in nanoseconds.
pub(crate) fn thread_cpu_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000_000_000 + nanoseconds
}
