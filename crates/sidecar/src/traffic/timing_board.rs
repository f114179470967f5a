//! Times between tokens, gathered by tasks and taken by the control thread now and then.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use notch_gate::prelude::TimingSample;
use notch_types::{class::WorkClass, prelude::*};

/// Samples by target since they were last taken. Bounded by the targets served.
#[derive(Debug, Default)]
pub(crate) struct TimingBoard {
    samples: Mutex<FastMap<TargetName, TimingSample>>,
}

impl TimingBoard {
    pub(crate) fn add(&self, target: &TargetName, class: WorkClass, gap: Duration) {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        if !samples.contains_key(target) {
            samples.insert(target.clone(), TimingSample::default());
        }
        if let Some(sample) = samples.get_mut(target) {
            match class {
                WorkClass::Online => sample.online.add(gap),
                WorkClass::Batch => sample.batch.add(gap),
            }
        }
    }

    pub(crate) fn take(&self) -> Vec<(TargetName, TimingSample)> {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        samples.drain().collect()
    }
}
