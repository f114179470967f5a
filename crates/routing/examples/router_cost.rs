//! Processor time and memory of the router alone, by the number of sidecars known to it.
//!
//! `cargo run --release -p notch-routing --example router_cost`
//!
//! Each line feeds the whole course of many requests (arrival, start, first byte, end, one load
//! report for every four requests) on one thread, without links or sockets.

use std::{io::Write, time::Instant};

use notch_routing::probe::RouterProbe;

const ACCOUNTS: usize = 11_000;
const REQUESTS: u64 = 200_000;
const ROUNDS: u64 = 3;

/// Memory in use by the process, KiB, from the kernel's own count.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|count| count.parse().ok()).unwrap_or(0)
}

fn main() -> std::io::Result<()> {
    let mut out = std::io::stdout();
    writeln!(out, "sidecars  round  us/request  dispatched  resident KiB")?;
    for sidecars in [16, 64, 320, 2_000] {
        for round in 0..ROUNDS {
            let mut probe = RouterProbe::new(sidecars, ACCOUNTS, round);
            let start = Instant::now();
            for number in 0..REQUESTS {
                probe.request(number);
            }
            let micros = start.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64;
            let (dispatched, resident) = (probe.dispatched, resident_kib());
            writeln!(
                out,
                "{sidecars:>8}  {round:>5}  {micros:>10.2}  {dispatched:>10}  {resident:>12}"
            )?;
        }
    }
    Ok(())
}
