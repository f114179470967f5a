//! When the steps of a graceful stop are due.

use std::time::Duration;

/// Shortest time between the signal to stop and the kill for which there is a schedule.
const MIN_GRACE: Duration = Duration::from_secs(2);
/// Time between the planned end of the process and the kill: the last answers and log lines are written, and a VM that
/// is short of processor time is late.
const EXIT_MARGIN: Duration = Duration::from_millis(800);
/// Time after which jobs are handed over: half of their runs end by themselves in the meantime.
const HANDOVER: Duration = Duration::from_millis(2_500);
/// Time before the end at which jobs are handed over even if no gateway is there to take them.
const LAST_HANDOVER: Duration = Duration::from_millis(500);
/// Time after which idle client connections are closed: the platform has taken the VM out of rotation by then, after
/// two readiness probes a second apart, so that the clients come to other gateways.
const IDLE_CLOSE: Duration = Duration::from_millis(2_200);
/// Time for which new connections are accepted at least, even if nothing is left to do.
const MIN_STOP: Duration = Duration::from_millis(4_500);
/// Largest part of the time until the end that a step may take, where the time is short.
const STEP_DIVISOR: u32 = 2;

/// When the steps of a graceful stop are due, each as the time since the signal. Invariant: none is after `exit`, which
/// is before the kill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// Idle client connections are closed.
    pub idle_close: Duration,
    /// Jobs are handed over to other gateways.
    pub handover: Duration,
    /// The same while no other gateway can take them; one that restarts may be available by then.
    pub handover_alone: Duration,
    /// Earliest end of the process.
    pub min_stop: Duration,
    /// The process ends whatever still runs.
    pub exit: Duration,
}

impl StopSchedule {
    /// The schedule of a process that is killed `grace` after the signal, at least two seconds.
    pub fn within(grace: Duration) -> Self {
        let exit = grace.max(MIN_GRACE) - EXIT_MARGIN;
        Self {
            idle_close: IDLE_CLOSE.min(exit / STEP_DIVISOR),
            handover: HANDOVER.min(exit / STEP_DIVISOR),
            handover_alone: exit - LAST_HANDOVER,
            min_stop: MIN_STOP.min(exit),
            exit,
        }
    }

    /// Whether work that takes up to `needed` can end before the process does, `elapsed` after the signal.
    pub fn can_end(&self, elapsed: Duration, needed: Duration) -> bool {
        elapsed.saturating_add(needed) <= self.exit
    }
}
