//! The step loop: the only task that makes tokens.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task::{self, sleep};

use super::core::EngineCore;

/// How often a frozen engine looks whether it may go on.
const FREEZE_POLL: Duration = Duration::from_millis(5);

/// Runs steps until the engine is shut down.
pub(super) async fn run_steps(core: Arc<EngineCore>) {
    // Steps follow each other without gaps that timers add.
    let mut next = Instant::now();
    while !core.is_stopped() {
        thawed(&core).await;
        let Some(step) = core.begin_step() else {
            core.work().await;
            next = Instant::now();
            continue;
        };
        if step.crashes {
            crash(&core, core.settings.crash_down);
            continue;
        }
        next = next.max(Instant::now() - step.outcome.cost) + step.outcome.cost;
        sleep(next.saturating_duration_since(Instant::now())).await;
        thawed(&core).await;
        core.end_step(step);
    }
}

/// Crashes the engine; it comes back after `down`.
pub(super) fn crash(core: &Arc<EngineCore>, down: Duration) {
    core.crash();
    let core = core.clone();
    task::spawn(async move {
        let Some(port) = core.port.get() else { return };
        port.cut().await;
        sleep(down).await;
        if core.is_stopped() {
            return;
        }
        core.come_back();
        port.reopen().await;
    });
}

/// Waits while the engine is frozen.
pub(super) async fn thawed(core: &EngineCore) {
    while core.is_frozen() && !core.is_stopped() {
        sleep(FREEZE_POLL).await;
    }
}
