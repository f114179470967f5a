//! Notices that a target has restarted while something is read from it.

use futures_util::{
    future::{Either, select},
    pin_mut,
};
use notch_relay::prelude::AttemptFailure;

use crate::node::EntryNode;

/// Watches for the restart of the target incarnation that an attempt runs at. A run there is lost then, even if its
/// connection shows no failure.
#[derive(Debug, Clone, Copy)]
pub struct RestartWatch<'a> {
    node: &'a EntryNode,
    /// The incarnation.
    target: &'a str,
}

impl<'a> RestartWatch<'a> {
    /// Watches the target incarnation `target`.
    pub fn new(node: &'a EntryNode, target: &'a str) -> Self {
        Self { node, target }
    }

    /// The outcome of `reading`, unless the target restarts before. What is written to a client must not be watched: a
    /// restart does not change an answer that was read, and one that breaks off in the middle is followed by another.
    ///
    /// # Errors
    /// `TargetRestarted`.
    pub async fn read<T>(&self, reading: impl Future<Output = T>) -> Result<T, AttemptFailure> {
        let restarting = self.restarted();
        pin_mut!(reading, restarting);
        // What has been received already comes first.
        match select(reading, restarting).await {
            Either::Left((outcome, _)) => Ok(outcome),
            Either::Right(_) => Err(AttemptFailure::TargetRestarted),
        }
    }

    async fn restarted(&self) {
        loop {
            let listener = self.node.target_restarts.listen();
            if self.node.targets().has_restarted(self.target) {
                return;
            }
            listener.await;
        }
    }
}
