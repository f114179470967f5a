//! What the gate is told.

use std::time::Duration;

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::settings::{PolicyWeights, TargetPolicy};

/// One event at the gate.
#[derive(Debug, Clone)]
pub enum GateEvent {
    /// A link to this gateway is up; it replaces an older one.
    GatewayUp {
        /// The gateway's VM.
        gateway: VmName,
    },
    /// No link to this gateway is left.
    GatewayDown {
        /// The gateway's VM.
        gateway: VmName,
    },
    /// A gateway's message. `Entries` is the driver's matter and ignored here.
    Message {
        /// The gateway's VM.
        gateway: VmName,
        /// What it says.
        message: SidecarMessage,
    },
    /// The target took the run.
    RunStarted {
        /// The run.
        run: AttemptId,
    },
    /// The first byte of the run's answer came.
    RunFirstToken {
        /// The run.
        run: AttemptId,
    },
    /// The run is over at the target; exactly one for each `Start`.
    RunEnded {
        /// The run.
        run: AttemptId,
        /// How it ended.
        end: RunEnd,
        /// Bytes of answer produced.
        total: u64,
        /// A batch run's whole answer, or its text so far when it was stopped.
        output: Option<Payload>,
    },
    /// Times between tokens seen since the last batch of them.
    Timings {
        /// The target.
        target: TargetName,
        /// The samples.
        sample: TimingSample,
    },
    /// The target answers; `instance` changes when the target itself restarted, if it tells.
    TargetUp {
        /// The target.
        target: TargetName,
        /// The target's own start number.
        instance: Option<u64>,
    },
    /// The target doesn't answer.
    TargetDown {
        /// The target.
        target: TargetName,
        /// How it fails.
        cause: DownCause,
    },
    /// Catalogue: the target's limits. Also makes the target known.
    TargetPolicy {
        /// The target.
        target: TargetName,
        /// What is in force.
        policy: TargetPolicy,
    },
    /// Catalogue: the entry is retired, or the engine no longer holds the model.
    TargetGone {
        /// The target.
        target: TargetName,
    },
    /// Catalogue: the deployment's policy.
    Weights(PolicyWeights),
    /// Prompt heads that the prefix caches likely hold, newest first.
    WarmPrefixes(Vec<u64>),
    /// What the engine holds.
    Holdings(EngineHoldings),
    /// Whether the process beside the sidecar answers, whatever it serves.
    TargetAnswers(bool),
    /// The target ended an order.
    OrderEnded {
        /// The order's epoch.
        epoch: Epoch,
        /// The order's number.
        order: u64,
        /// How it ended.
        outcome: OrderOutcome,
    },
    /// Leave: an own signal, or the catalogue says so.
    Leave,
    /// The catalogue no longer says that this VM leaves.
    Stay,
    /// The time asked for by `next_wake` came.
    Wake,
}

/// What an engine holds, as it tells.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineHoldings {
    /// Models that fit at once; 0 for a plain service.
    pub slots: u32,
    /// The engine's role.
    pub role: String,
    /// Models held.
    pub models: Vec<HeldModel>,
}

/// How a run ended at the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer came.
    Complete {
        /// HTTP status.
        status: u16,
    },
    /// The target answered with an error, or broke the protocol (`status` 0).
    Failed {
        /// HTTP status.
        status: u16,
        /// Whether another target might do better.
        retryable: bool,
    },
    /// The connection was cut after the request had been sent.
    Cut,
    /// The request was surely never sent: the connection was refused.
    Unreached,
    /// Stopped as asked.
    Stopped,
}

/// How a target that doesn't answer fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DownCause {
    /// Connections are refused, or it restarted: the process is gone.
    Crashed,
    /// Connections are taken and nothing comes.
    Frozen,
}

/// Times between tokens, summed by class of the run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TimingSample {
    /// Of online runs.
    pub online: GapSum,
    /// Of batch runs.
    pub batch: GapSum,
}

/// A sum of times between tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GapSum {
    /// Number of gaps.
    pub count: u64,
    /// Their sum, microseconds.
    pub sum_us: u64,
    /// The longest, microseconds.
    pub max_us: u64,
}

impl GapSum {
    /// Takes in one gap.
    pub fn add(&mut self, gap: Duration) {
        let micros = gap.as_micros() as u64;
        self.count += 1;
        self.sum_us += micros;
        self.max_us = self.max_us.max(micros);
    }

    /// Takes in another sum.
    pub fn merge(&mut self, other: GapSum) {
        self.count += other.count;
        self.sum_us += other.sum_us;
        self.max_us = self.max_us.max(other.max_us);
    }

    /// The mean gap, microseconds; `None` without samples.
    pub fn mean_us(&self) -> Option<u64> {
        self.sum_us.checked_div(self.count)
    }
}
