//! Taking the shard over: one write that raises the epoch.

use notch_types::{object::StoreResult, prelude::*};

use crate::{
    head::{EpochEnd, LedgerHead, REMEMBERED_EPOCHS},
    seq::Seq,
    shard::{
        calls::CallPurpose,
        context::StageContext,
        write::{FoundHead, HeadWrite, WriteVerdict},
    },
};

/// How a claim stands after an answer.
#[derive(Debug)]
pub(crate) enum ClaimStep {
    /// Undecided.
    Stay,
    /// This node is the owner.
    Won(Box<FoundHead>),
    /// Someone else is, or nothing has happened and it's better to look again.
    Lost(Option<Box<FoundHead>>),
}

/// A takeover in flight.
#[derive(Debug)]
pub(crate) struct ShardClaim {
    write: HeadWrite,
}

impl ShardClaim {
    /// Sends the claim over the head found; `None` creates the first head.
    pub(crate) fn start(found: Option<FoundHead>, ctx: &mut StageContext<'_>) -> Self {
        let mark = ctx.core.mark();
        let owner = Some(ctx.core.settings.writer.clone());
        let (base, head) = match found {
            None => {
                let head = LedgerHead {
                    epoch: Epoch(1),
                    owner,
                    writer: mark,
                    ended: Vec::new(),
                    next: Seq(0),
                    snapshot: None,
                    segments: Vec::new(),
                    tail: Vec::new(),
                };
                (None, head)
            }
            Some(FoundHead { head: old, version }) => {
                let mut ended = old.ended;
                ended.push(EpochEnd { epoch: old.epoch, last: old.writer });
                let excess = ended.len().saturating_sub(REMEMBERED_EPOCHS);
                ended.drain(..excess);
                let epoch = Epoch(old.epoch.0 + 1);
                let head = LedgerHead { epoch, owner, writer: mark, ended, ..old };
                (Some(version), head)
            }
        };
        ctx.count("ledger_claims");
        Self { write: HeadWrite::start(base, head, ctx) }
    }

    /// When the first try that may have taken effect was sent.
    pub(crate) fn issued(&self) -> MonoTime {
        self.write.issued()
    }

    pub(crate) fn wake(&self) -> Option<MonoTime> {
        self.write.wake()
    }

    pub(crate) fn tick(&mut self, ctx: &mut StageContext<'_>) {
        self.write.tick(ctx);
    }

    /// Takes an answer. A claim is never repeated blindly: the owner may be alive and just as
    /// unable to reach the store, and would lose the shard to whoever is quicker afterwards.
    pub(crate) fn on_answer(
        &mut self,
        purpose: &CallPurpose,
        result: StoreResult,
        ctx: &mut StageContext<'_>,
    ) -> ClaimStep {
        let verdict = match purpose {
            CallPurpose::HeadPut => self.write.on_put(result, ctx),
            _ => self.write.on_get(result, ctx),
        };
        match verdict {
            WriteVerdict::Open => ClaimStep::Stay,
            WriteVerdict::Unsent | WriteVerdict::Unmoved => ClaimStep::Lost(None),
            WriteVerdict::Superseded { found, .. } => ClaimStep::Lost(found),
            WriteVerdict::Written(version) => {
                let head = self.write.head().clone();
                ClaimStep::Won(Box::new(FoundHead { head, version }))
            }
        }
    }
}
