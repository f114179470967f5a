//! Intake of the largest job: time and chunk objects.

use std::time::Instant;

use notch_callers::prelude::*;

use super::{
    report::SlopeReport,
    series::{RoleName::Gateway, SeriesName},
};

/// Bytes of text in each item.
const TEXT_BYTES: usize = 300;
/// Bytes given to the intake at one time.
const PIECE_BYTES: usize = 64 << 10;
/// Items of the largest job.
const LARGEST_JOB: u32 = 860_000;

/// Measures the intake against the number of items. Lines of 300 bytes of text.
pub(super) fn measure_intake(report: &mut SlopeReport) {
    let counts = [10_000_u32, 50_000, 100_000, 400_000, LARGEST_JOB];
    let runs = counts.map(|items| (f64::from(items), take_in(items)));
    let size = f64::from(LARGEST_JOB);
    let series = |of: fn(&IntakeRun) -> f64| runs.each_ref().map(|(items, run)| (*items, of(run)));
    let name =
        |quantity, unit| SeriesName { role: Gateway, quantity, unit, against: "items of one job" };
    report.add(name("intake: lines checked and packed", "s"), size, &series(|run| run.seconds));
    report.add(name("intake: chunk objects written", ""), size, &series(|run| run.chunks));
}

#[derive(Debug)]
struct IntakeRun {
    seconds: f64,
    chunks: f64,
}

fn take_in(items: u32) -> IntakeRun {
    let text = "x".repeat(TEXT_BYTES);
    let line = |n| format!("{{\"custom_id\":\"item {n}\",\"body\":{{\"text\":\"{text}\"}}}}\n");
    let started = Instant::now();
    let mut intake = LineIntake::new(IntakeSettings::default());
    let (mut chunks, mut count) = (Vec::new(), 0);
    let mut piece = Vec::with_capacity(PIECE_BYTES + TEXT_BYTES * 2);
    for item in 0..items {
        piece.extend_from_slice(line(item).as_bytes());
        if piece.len() >= PIECE_BYTES || item + 1 == items {
            if intake.push(&piece, &mut chunks).is_err() {
                break;
            }
            piece.clear();
            count += chunks.len();
            chunks.clear();
        }
    }
    if intake.finish(&mut chunks).is_ok() {
        count += chunks.len();
    }
    IntakeRun { seconds: started.elapsed().as_secs_f64(), chunks: count as f64 }
}
