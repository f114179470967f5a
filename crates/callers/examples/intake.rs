//! Measures the intake of the largest job: its lines checked and packed, without network or store.
#![allow(clippy::print_stdout, reason = "its output is the measurement")]

use std::time::Instant;

use notch_callers::prelude::*;

/// Items of the largest job expected.
const ITEMS: u32 = 860_000;
/// Bytes of text in each item.
const TEXT: usize = 300;
/// Bytes given to the intake at one time.
const PIECE: usize = 64 << 10;

fn main() -> Result<(), IntakeError> {
    let text = "x".repeat(TEXT);
    let line = |n| format!("{{\"custom_id\":\"item {n}\",\"body\":{{\"text\":\"{text}\"}}}}\n");
    let before = resident_kb();
    let mut intake = LineIntake::new(IntakeSettings::default());
    let mut chunks = Vec::new();
    let mut piece = Vec::with_capacity(PIECE + TEXT * 2);
    let (mut bytes, mut chunk_count, mut largest) = (0, 0, 0);
    let started = Instant::now();
    for n in 0..ITEMS {
        piece.extend_from_slice(line(n).as_bytes());
        if piece.len() >= PIECE {
            intake.push(&piece, &mut chunks)?;
            bytes += piece.len();
            piece.clear();
            chunk_count += chunks.len();
            largest = chunks.iter().map(|chunk| chunk.payload.len()).fold(largest, usize::max);
            chunks.clear();
        }
    }
    intake.push(&piece, &mut chunks)?;
    let held = resident_kb().saturating_sub(before);
    let summary = intake.finish(&mut chunks)?;
    let seconds = started.elapsed().as_secs_f64();
    bytes += piece.len();
    chunk_count += chunks.len();
    println!("{} items, {} MB in {seconds:.2} s", summary.item_count, bytes >> 20);
    println!("{:.0} lines/s, {:.0} MB/s", f64::from(ITEMS) / seconds, bytes as f64 / seconds / 1e6);
    println!("{chunk_count} chunks, the largest {} KB", largest >> 10);
    println!("memory held: {held} KB");
    Ok(())
}

/// Memory of this process, kilobytes; 0 where the system doesn't tell.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}
