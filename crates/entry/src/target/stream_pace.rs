//! Measures the pace of a stream as it is read from a target.

use std::sync::{Mutex, PoisonError};

use notch_relay::prelude::{PaceMeter, TargetTable};
use notch_types::prelude::*;

use crate::clock::NodeClock;

/// Pace of one stream. It takes the lock of the target table at most ten times per second, and does not allocate.
#[derive(Debug)]
pub struct StreamPace<'a> {
    /// Where paces are learned; `None` if they are not.
    targets: Option<&'a Mutex<TargetTable>>,
    target: &'a str,
    clock: NodeClock,
    /// Measures from the first event on: the time before it is not the target's pace.
    meter: Option<PaceMeter>,
    began: MonoTime,
    read: MonoTime,
}

impl<'a> StreamPace<'a> {
    /// The pace of a stream from `target`; nothing is measured without `targets`.
    pub fn new(targets: Option<&'a Mutex<TargetTable>>, target: &'a str, clock: NodeClock) -> Self {
        let (began, read) = (MonoTime::default(), MonoTime::default());
        Self { targets, target, clock, meter: None, began, read }
    }

    /// Records that the stream is waited for from now on.
    pub fn start_wait(&mut self) {
        if self.targets.is_some() {
            self.began = self.clock.mono();
        }
    }

    /// Records that a part of the stream was read.
    pub fn end_wait(&mut self) {
        if self.targets.is_some() {
            self.read = self.clock.mono();
        }
    }

    /// Records the number of events that the part completed.
    pub fn note_events(&mut self, events: u32) {
        let Some(targets) = self.targets else { return };
        let gap = match &mut self.meter {
            Some(meter) => meter.note(events, self.began, self.read),
            None if events > 0 => {
                self.meter = Some(PaceMeter::new(self.read));
                None
            }
            None => None,
        };
        if let Some(gap) = gap {
            let mut targets = targets.lock().unwrap_or_else(PoisonError::into_inner);
            targets.note_pace(self.target, gap, self.read);
        }
    }
}
