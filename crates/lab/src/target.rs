//! A target as it admits requests: places, a queue in order of arrival, events at the pace of its load.

use std::{collections::VecDeque, time::Duration};

/// A step of the batch, whatever runs.
const STEP: Duration = Duration::from_micros(2_530);
/// Added to a step for each request that runs.
const STEP_PER_RUN: Duration = Duration::from_micros(60);
/// Steps for one event.
const STEPS_PER_EVENT: u32 = 7;
/// From the place to the first event, without the reading of the prompt.
const FIRST_EVENT: Duration = Duration::from_millis(11);
/// Reading a prompt of some 450 tokens.
const PREFILL: Duration = Duration::from_micros(5_300);

/// A request at a target, by number.
pub type RunNumber = u64;

/// One target.
#[derive(Debug, Clone)]
pub struct TargetModel {
    slots: usize,
    queue: usize,
    /// How much slower than others it is.
    slowness: f64,
    running: Vec<RunNumber>,
    waiting: VecDeque<RunNumber>,
    is_lost: bool,
}

/// What becomes of a request that comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It has a place.
    Runs,
    /// It waits.
    Waits,
    /// The queue is full, or the target is gone.
    Refused,
}

impl TargetModel {
    /// An idle target.
    pub fn new(slots: u32, queue: u32, slowness: f64) -> Self {
        let (slots, queue) = (slots as usize, queue as usize);
        let (running, waiting) = (Vec::new(), VecDeque::new());
        Self { slots, queue, slowness, running, waiting, is_lost: false }
    }

    /// A request comes.
    pub fn admit(&mut self, run: RunNumber) -> Admission {
        if self.is_lost || self.waiting.len() >= self.queue {
            return Admission::Refused;
        }
        if self.running.len() < self.slots {
            self.running.push(run);
            return Admission::Runs;
        }
        self.waiting.push_back(run);
        Admission::Waits
    }

    /// A request ended or was broken off; the one that gets its place.
    pub fn release(&mut self, run: RunNumber) -> Option<RunNumber> {
        self.waiting.retain(|waiting| *waiting != run);
        let index = self.running.iter().position(|running| *running == run)?;
        self.running.swap_remove(index);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// The target is gone; the requests that it had.
    pub fn lose(&mut self) -> Vec<RunNumber> {
        self.is_lost = true;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.waiting));
        lost
    }

    /// Places that nothing has.
    pub fn free(&self) -> usize {
        if self.is_lost { 0 } else { self.slots - self.running.len() }
    }

    /// Requests that run.
    pub fn running(&self) -> &[RunNumber] {
        &self.running
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether it's gone.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// From the place to the first event.
    pub fn first_event(&self) -> Duration {
        (FIRST_EVENT + PREFILL).mul_f64(self.slowness)
    }

    /// From one event to the next.
    pub fn event_gap(&self) -> Duration {
        let step = STEP + STEP_PER_RUN * self.running.len() as u32;
        (step * STEPS_PER_EVENT).mul_f64(self.slowness)
    }
}
