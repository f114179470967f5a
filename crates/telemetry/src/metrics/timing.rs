//! Durations that are recorded in histograms.

/// A duration that is recorded in a histogram, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Timing {
    /// From an online request's arrival to the first byte of its answer.
    OnlineFirstByte,
    /// From an online request's arrival to its end.
    OnlineTotal,
    /// Between two chunks of a streamed answer.
    OnlineGap,
    /// Time that an online attempt waits for admission.
    AdmissionWait,
    /// Run of a batch item at its target.
    ItemRun,
    /// From the preemption of a batch item to the use of its slot by online work.
    PreemptionRelease,
    /// From a ledger record's arrival to its commit.
    LedgerCommit,
    /// One call to the object API.
    StoreCall,
    /// From the write of a catalogue entry to its adoption on this node.
    EntryAdoption,
    /// From the first sending of a placement order to its outcome.
    OrderRun,
    /// Read of a job's results or of an item's body.
    JobRead,
    /// Processing of one event by the control thread.
    ControlStep,
}

/// Bucket bounds for times that callers and calls to the platform wait: 1 ms to 2 minutes, in
/// seconds.
const WAIT_BUCKETS: [f64; 16] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.72, 1.0, 2.0, 5.0, 15.0, 40.0, 120.0];
/// Bucket bounds for processing in the control thread: 1 µs to 100 ms, in seconds.
const STEP_BUCKETS: [f64; 10] = [1e-6, 3e-6, 1e-5, 3e-5, 1e-4, 3e-4, 1e-3, 3e-3, 1e-2, 1e-1];

impl Timing {
    /// Every timing, so that each can be registered at start-up.
    pub const ALL: [Timing; 12] = [
        Self::OnlineFirstByte,
        Self::OnlineTotal,
        Self::OnlineGap,
        Self::AdmissionWait,
        Self::ItemRun,
        Self::PreemptionRelease,
        Self::LedgerCommit,
        Self::StoreCall,
        Self::EntryAdoption,
        Self::OrderRun,
        Self::JobRead,
        Self::ControlStep,
    ];

    /// The metric's name, without the common prefix.
    pub fn name(self) -> &'static str {
        match self {
            Self::OnlineFirstByte => "online_first_byte_seconds",
            Self::OnlineTotal => "online_total_seconds",
            Self::OnlineGap => "online_gap_seconds",
            Self::AdmissionWait => "admission_wait_seconds",
            Self::ItemRun => "item_run_seconds",
            Self::PreemptionRelease => "preemption_release_seconds",
            Self::LedgerCommit => "ledger_commit_seconds",
            Self::StoreCall => "store_call_seconds",
            Self::EntryAdoption => "entry_adoption_seconds",
            Self::OrderRun => "order_run_seconds",
            Self::JobRead => "job_read_seconds",
            Self::ControlStep => "control_step_seconds",
        }
    }

    /// Help text shown with the metric.
    pub fn help(self) -> &'static str {
        match self {
            Self::OnlineFirstByte => "From an online request's arrival to its first byte of answer",
            Self::OnlineTotal => "From an online request's arrival to its end",
            Self::OnlineGap => "Between two parts of a streamed answer",
            Self::AdmissionWait => "Wait of an online attempt for admission",
            Self::ItemRun => "A batch item's run at its target",
            Self::PreemptionRelease => "From a preemption to the slot's use by online work",
            Self::LedgerCommit => "From a record's arrival to its commit",
            Self::StoreCall => "One call to the object API",
            Self::EntryAdoption => "From an entry's write to its adoption here",
            Self::OrderRun => "From an order's first sending to its outcome",
            Self::JobRead => "A read of a job\'s results or of an item\'s body",
            Self::ControlStep => "One event through the control thread's decisions",
        }
    }

    /// Upper bounds of the buckets, seconds.
    pub fn buckets(self) -> &'static [f64] {
        match self {
            Self::ControlStep => &STEP_BUCKETS,
            _ => &WAIT_BUCKETS,
        }
    }
}
