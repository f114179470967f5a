//! Processor time of this process.

use std::{fs, time::Duration};

/// Clock ticks a second in `/proc`; fixed by the kernel's interface to programs.
const TICKS_PER_S: u64 = 100;
/// Place of `utime` among the fields after the command's name.
const USER_FIELD: usize = 11;

/// User and system time of all threads so far, from `/proc/self/stat`; zero where there is none.
pub fn process_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let ticks = ticks(&stat).unwrap_or(0);
    Duration::from_millis(ticks * 1_000 / TICKS_PER_S)
}

fn ticks(stat: &str) -> Option<u64> {
    // The command's name may hold spaces; it ends with the last bracket.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(USER_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// The machine's load averages, as the kernel tells them.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<_>>().join(" ")
}
