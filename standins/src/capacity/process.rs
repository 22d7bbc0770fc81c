//! Processor time and memory of another process, from the kernel's tables.

use std::{
    fs,
    time::Duration, //
};

/// The kernel's unit of processor time in these tables.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the processor time that a process has used, in user and kernel mode.
pub fn processor_time(pid: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name may hold spaces; the fields after it do not.
    let (_, fields) = text.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let kernel: u64 = fields.get(12)?.parse().ok()?;
    let ms = (user + kernel) * 1000 / TICKS_PER_SECOND;
    Some(Duration::from_millis(ms))
}

/// Returns the resident bytes of a process.
pub fn resident_bytes(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|l| l.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1024)
}
