//! What the gate wants done.

use notch_messages::prelude::*;
use notch_types::{class::WorkClass, prelude::*};

/// One effect; carried out in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum GateEffect {
    /// Send over the newest link to this gateway; dropped when there is none.
    Send {
        /// The gateway's VM.
        gateway: VmName,
        /// The message.
        message: GatewayMessage,
    },
    /// Run this at the target. Answer with exactly one `RunEnded`.
    Start(Box<RunRequest>),
    /// Cancel the run at the target at once; its `RunEnded` still comes.
    Stop {
        /// The run.
        run: AttemptId,
    },
    /// Send the run's buffered output from `offset`, and what follows, to this gateway.
    Replay {
        /// The run.
        run: AttemptId,
        /// The gateway's VM.
        gateway: VmName,
        /// First byte wanted.
        offset: u64,
    },
    /// The run's buffered output is no longer needed.
    ForgetOutput {
        /// The run.
        run: AttemptId,
    },
    /// Find out at once whether the target answers; `TargetUp` or `TargetDown` follows.
    Probe {
        /// The target.
        target: TargetName,
    },
    /// Give the engine this order; `OrderEnded` follows.
    Order(TargetOrder),
    /// Count.
    Count(Counter),
    /// Leave a note for `explain`.
    Note(DecisionNote),
    /// The sidecar has left: nothing runs, nothing is owed.
    Drained,
}

/// A run to start at a target.
#[derive(Debug, Clone, PartialEq)]
pub struct RunRequest {
    /// Names the run; an item's derives from its key and try.
    pub run: AttemptId,
    /// The target.
    pub target: TargetName,
    /// Online output goes to the gateway; batch output is collected.
    pub class: WorkClass,
    /// The gateway that an online run's output goes to.
    pub gateway: VmName,
    /// Path below a plain service; empty for an engine.
    pub path: String,
    /// JSON body.
    pub body: Payload,
    /// Whether the caller reads a stream.
    pub stream: bool,
    /// Whether the target may run it more than once.
    pub idempotent: bool,
    /// Text to resume after.
    pub progress: Option<Payload>,
}
