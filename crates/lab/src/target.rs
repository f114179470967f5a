//! Model of a target: a fixed number of slots, a FIFO queue, and event intervals that grow with its load.

use std::{collections::VecDeque, time::Duration};

/// Duration of an engine step, without the share of the running requests.
const BASE_STEP: Duration = Duration::from_micros(2_530);
/// Added to a step for each running request.
const STEP_PER_RUNNING_REQUEST: Duration = Duration::from_micros(60);
/// Engine steps per streamed event.
const STEPS_PER_EVENT: u32 = 7;
/// Latency from taking a slot to the first event, without prefill.
const FIRST_EVENT_LATENCY: Duration = Duration::from_millis(11);
/// Prefill of a prompt of about 450 tokens.
const PREFILL_TIME: Duration = Duration::from_micros(5_300);

/// Identifies one request at a target.
pub type RunNumber = u64;

/// Model of one target.
#[derive(Debug, Clone)]
pub struct TargetModel {
    slots: usize,
    queue: usize,
    /// Factor by which this target is slower than the fastest ones.
    slowdown: f64,
    running: Vec<RunNumber>,
    waiting: VecDeque<RunNumber>,
    is_failed: bool,
    /// Factor by which it is slower for now.
    spell: f64,
    /// Share of its requests that it answers with a failure.
    failing_share: f64,
}

/// How a target admits an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It took a free slot.
    Runs,
    /// It waits in the queue.
    Waits,
    /// The queue is full, or the target has failed.
    Refused,
}

impl TargetModel {
    /// An idle target.
    pub fn new(slots: u32, queue: u32, slowdown: f64) -> Self {
        let (slots, queue) = (slots as usize, queue as usize);
        let (running, waiting) = (Vec::new(), VecDeque::new());
        Self {
            slots,
            queue,
            slowdown,
            running,
            waiting,
            is_failed: false,
            spell: 1.0,
            failing_share: 0.0,
        }
    }

    /// Admits an arriving request to a slot or the queue, or refuses it.
    pub fn admit(&mut self, run: RunNumber) -> Admission {
        if self.is_failed || self.waiting.len() >= self.queue {
            return Admission::Refused;
        }
        if self.running.len() < self.slots {
            self.running.push(run);
            return Admission::Runs;
        }
        self.waiting.push_back(run);
        Admission::Waits
    }

    /// Removes a request that completed or was preempted, and returns the queued request that gets its slot.
    pub fn release(&mut self, run: RunNumber) -> Option<RunNumber> {
        self.waiting.retain(|waiting| *waiting != run);
        let index = self.running.iter().position(|running| *running == run)?;
        self.running.swap_remove(index);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Marks the target as failed and returns the requests that it held.
    pub fn fail(&mut self) -> Vec<RunNumber> {
        self.is_failed = true;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.waiting));
        lost
    }

    /// Number of free slots.
    pub fn free(&self) -> usize {
        if self.is_failed { 0 } else { self.slots - self.running.len() }
    }

    /// The running requests.
    pub fn running(&self) -> &[RunNumber] {
        &self.running
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the target has failed.
    pub fn is_failed(&self) -> bool {
        self.is_failed
    }

    /// Makes the target slower by this factor, until the next call.
    pub fn set_spell(&mut self, factor: f64) {
        self.spell = factor;
    }

    /// Makes the target answer this share of its requests with a failure.
    pub fn set_failing_share(&mut self, share: f64) {
        self.failing_share = share;
    }

    /// Share of its requests that the target answers with a failure.
    pub fn failing_share(&self) -> f64 {
        self.failing_share
    }

    /// Factor by which the target is slower than the reference now.
    pub fn slowdown(&self) -> f64 {
        self.slowdown * self.spell
    }

    /// Time from taking a slot to the first event.
    pub fn first_event(&self) -> Duration {
        (FIRST_EVENT_LATENCY + PREFILL_TIME).mul_f64(self.slowdown())
    }

    /// Time between two events at the current load.
    pub fn event_gap(&self) -> Duration {
        let step = BASE_STEP + STEP_PER_RUNNING_REQUEST * self.running.len() as u32;
        (step * STEPS_PER_EVENT).mul_f64(self.slowdown())
    }
}
