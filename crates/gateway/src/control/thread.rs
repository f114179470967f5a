//! The control thread: one loop, one event at a time.

use std::{
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use notch_telemetry::prelude::Timing;
use notch_types::prelude::*;

use crate::control::{
    core::ControlCore,
    event::ControlEvent,
    inbox::{ControlQueue, NextEvent},
};

/// Longest sleep without an event; also how often gauges are set.
const LONGEST_SLEEP: Duration = Duration::from_millis(200);
/// Events taken before time is looked at again.
const BATCH: usize = 128;

/// The process's clocks, read once for each event.
#[derive(Debug, Clone, Copy)]
struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    fn now(self) -> Now {
        let mono = MonoTime(self.start.elapsed().as_micros() as u64);
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now { mono, wall: WallTime(wall.as_millis() as u64) }
    }
}

/// Starts the thread; it ends at `ControlEvent::Stop` or when nobody can send any more.
///
/// # Errors
/// When the operating system gives no thread.
pub fn spawn(core: ControlCore, queue: ControlQueue) -> std::io::Result<thread::JoinHandle<()>> {
    let name = format!("control-{}", core.vm);
    thread::Builder::new().name(name).spawn(move || run(core, &queue))
}

fn run(mut core: ControlCore, queue: &ControlQueue) {
    let clock = ProcessClock { start: Instant::now() };
    core.tick(clock.now());
    loop {
        let now = clock.now().mono;
        let wait = core.next_wake().map_or(LONGEST_SLEEP, |due| due.since(now));
        let mut event = match queue.next(wait.min(LONGEST_SLEEP)) {
            NextEvent::Event(event) => Some(event),
            NextEvent::TimedOut => None,
            NextEvent::Closed => return,
        };
        for taken in 1..=BATCH {
            let Some(next) = event.take() else { break };
            if matches!(next, ControlEvent::Stop) {
                core.links.close();
                return;
            }
            let started = Instant::now();
            core.handle(clock.now(), next);
            core.metrics.observe(Timing::ControlStep, started.elapsed());
            if taken < BATCH {
                event = queue.try_next();
            }
        }
        core.tick(clock.now());
    }
}
