//! Results that the ledger hasn't taken yet.

use std::{collections::BTreeMap, time::Duration};

use notch_messages::prelude::*;
use notch_types::prelude::*;

/// Most results in one message.
const RESULTS_PER_MESSAGE: usize = 64;
/// Most bytes of results in one message; a single larger one goes alone.
const MESSAGE_BYTES: usize = 1 << 20;

/// One result and where it was last sent.
#[derive(Debug, Clone)]
struct BufferedResult {
    shard: ShardId,
    result: ItemResult,
    /// `None` while it waits for a link.
    sent: Option<(MonoTime, VmName)>,
}

/// Results kept until the shard's owner says that they are settled.
///
/// A gateway can die just after taking a result, and then nobody delivers it: one would see items
/// that ran and never end. So nothing is forgotten before `ItemsSettled`.
#[derive(Debug, Default)]
pub(crate) struct ResultBuffer {
    /// By item. Bounded from outside: nothing is pulled that might not fit.
    results: BTreeMap<ItemKey, BufferedResult>,
    bytes: usize,
}

impl ResultBuffer {
    pub(crate) fn len(&self) -> usize {
        self.results.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn contains(&self, key: ItemKey) -> bool {
        self.results.contains_key(&key)
    }

    /// Keeps a result, sent just now over a gateway's link or not yet. A second one of the same
    /// item is not kept: the first one counts.
    pub(crate) fn insert(
        &mut self,
        shard: ShardId,
        result: ItemResult,
        sent: Option<(MonoTime, VmName)>,
    ) -> bool {
        if self.results.contains_key(&result.key) {
            return false;
        }
        self.bytes += result_bytes(&result);
        let key = result.key;
        self.results.insert(key, BufferedResult { shard, result, sent });
        true
    }

    /// The ledger has it; `false` when it was not kept here.
    pub(crate) fn settle(&mut self, key: ItemKey) -> bool {
        let Some(settled) = self.results.remove(&key) else { return false };
        self.bytes -= result_bytes(&settled.result);
        true
    }

    /// A link is gone: what was sent over it may be lost.
    pub(crate) fn unsend(&mut self, gateway: &VmName) {
        for buffered in self.results.values_mut() {
            if buffered.sent.as_ref().is_some_and(|(_, over)| over == gateway) {
                buffered.sent = None;
            }
        }
    }

    /// Results to send now over `gateway`, by shard: unsent ones, and those unsettled for long.
    pub(crate) fn take_due(
        &mut self,
        now: MonoTime,
        resend: Duration,
        gateway: &VmName,
    ) -> BTreeMap<ShardId, Vec<ItemResult>> {
        let mut due: BTreeMap<ShardId, Vec<ItemResult>> = BTreeMap::new();
        for buffered in self.results.values_mut() {
            let is_fresh = buffered.sent.as_ref().is_some_and(|(at, _)| now.since(*at) < resend);
            if !is_fresh {
                buffered.sent = Some((now, gateway.clone()));
                due.entry(buffered.shard).or_default().push(buffered.result.clone());
            }
        }
        due
    }
}

/// Parts of at most [`RESULTS_PER_MESSAGE`] results and [`MESSAGE_BYTES`], or of a single result:
/// a message over the link's size would close the link, and be sent again over the next one.
pub(crate) fn split_results(results: Vec<ItemResult>) -> Vec<Vec<ItemResult>> {
    let mut parts: Vec<Vec<ItemResult>> = Vec::new();
    let mut bytes = 0;
    for result in results {
        bytes += result_bytes(&result);
        match parts.last_mut() {
            Some(part) if part.len() < RESULTS_PER_MESSAGE && bytes <= MESSAGE_BYTES => {
                part.push(result);
            }
            _ => {
                bytes = result_bytes(&result);
                parts.push(vec![result]);
            }
        }
    }
    parts
}

fn result_bytes(result: &ItemResult) -> usize {
    match &result.outcome {
        ItemOutcome::Answered { body, .. } => body.len(),
        ItemOutcome::Failed { detail, .. } => detail.len(),
    }
}
