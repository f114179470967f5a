//! What every stage of a shard shares.

use notch_types::{
    object::{StoreCall, StoreOp},
    prelude::*,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    effect::{RejectCertainty, RejectReason, ShardEffect},
    event::{AppendTicket, ShardStanding, SweepId},
    head::WriterMark,
    keys::ObjectKey,
    settings::ShardSettings,
    shard::calls::{CallBook, CallPurpose},
};

/// State that outlives the stages.
#[derive(Debug)]
pub(crate) struct ShardCore {
    pub(crate) settings: ShardSettings,
    pub(crate) keys: ObjectKey,
    pub(crate) rng: SmallRng,
    pub(crate) calls: CallBook,
    pub(crate) standing: ShardStanding,
    /// Shutting down: never takes the shard again.
    pub(crate) retired: bool,
    /// Questions to the user are numbered across ownerships: an answer to an earlier one's must
    /// not be taken for the present one's.
    next_sweep: u64,
}

impl ShardCore {
    pub(crate) fn new(settings: ShardSettings, seed: u64) -> Self {
        // A nonce drawn twice by two processes could name two segments by one key. Writer and
        // incarnation go into the seed, so that equal seeds don't give equal nonces.
        let seed = stable_hash64(&[
            &seed.to_le_bytes(),
            settings.writer.as_str().as_bytes(),
            &settings.incarnation.0.to_le_bytes(),
            &settings.shard.0.to_le_bytes(),
        ]);
        Self {
            keys: ObjectKey { shard: settings.shard },
            rng: SmallRng::seed_from_u64(seed),
            calls: CallBook::new(settings.shard),
            standing: ShardStanding::Bystander,
            retired: false,
            next_sweep: 0,
            settings,
        }
    }

    /// A new nonce.
    pub(crate) fn nonce(&mut self) -> u64 {
        self.rng.random()
    }

    /// The number of a new question to the user.
    pub(crate) fn sweep_id(&mut self) -> SweepId {
        self.next_sweep += 1;
        SweepId(self.next_sweep)
    }

    /// The mark of a new write of the head.
    pub(crate) fn mark(&mut self) -> WriterMark {
        WriterMark {
            vm: self.settings.writer.clone(),
            incarnation: self.settings.incarnation,
            nonce: self.nonce(),
        }
    }
}

/// One event's view: the time, the shared state and where effects go.
pub(crate) struct StageContext<'a> {
    pub(crate) now: Now,
    pub(crate) core: &'a mut ShardCore,
    pub(crate) effects: &'a mut Vec<ShardEffect>,
}

impl StageContext<'_> {
    /// Makes a call.
    pub(crate) fn call(&mut self, purpose: CallPurpose, op: StoreOp) {
        self.count("ledger_store_calls");
        let call = self.core.calls.open(purpose, self.now.mono);
        self.effects.push(ShardEffect::Call(StoreCall { call, op }));
    }

    /// Reads an object.
    pub(crate) fn get(&mut self, purpose: CallPurpose, key: String) {
        self.call(purpose, StoreOp::Get { key });
    }

    pub(crate) fn count(&mut self, event: &'static str) {
        self.effects.push(ShardEffect::Count(Counter::Event(event)));
    }

    pub(crate) fn count_retry(&mut self, reason: RetryReason) {
        self.effects.push(ShardEffect::Count(Counter::Retried(reason)));
    }

    /// Keeps a step for `explain`, under this VM.
    pub(crate) fn note(&mut self, code: &'static str, detail: String) {
        let subject = NoteSubject::Vm(self.core.settings.writer.clone());
        let detail = format!("shard {}: {detail}", self.core.settings.shard);
        self.effects.push(ShardEffect::Note(DecisionNote::new(subject, code, detail)));
    }

    pub(crate) fn reject(
        &mut self,
        ticket: AppendTicket,
        certainty: RejectCertainty,
        reason: RejectReason,
    ) {
        self.count(reason.counter());
        self.effects.push(ShardEffect::Rejected { ticket, certainty, reason });
    }
}
