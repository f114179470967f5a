//! One conditional write of the head, carried to a sure end.

use notch_types::{
    object::{
        ObjectVersion, StoreFailure, StoreOp, StoreReply, StoreResult, StoredObject, WriteCondition,
    },
    prelude::*,
};

use crate::{
    head::LedgerHead,
    shard::{backoff::RetryBackoff, calls::CallPurpose, context::StageContext},
};

/// What is to be tried next, after a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextTry {
    Put,
    Get,
}

/// Whether a write that isn't the newest any more has taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteFate {
    /// It's part of the history.
    TookEffect,
    /// It isn't and never will be.
    NoEffect,
    /// The history doesn't reach back far enough.
    Unknown,
}

/// What the head is now.
#[derive(Debug, Clone)]
pub(crate) struct FoundHead {
    pub(crate) head: LedgerHead,
    pub(crate) version: ObjectVersion,
}

/// Where a write stands after an answer.
#[derive(Debug)]
pub(crate) enum WriteVerdict {
    /// It goes on.
    Open,
    /// It surely hasn't taken effect so far, and no try of it is on its way.
    Unsent,
    /// The base is still in force though an answer was lost: a try may be on its way yet.
    Unmoved,
    /// It is the head now.
    Written(ObjectVersion),
    /// Another's write is the head now (`None`: the head is gone).
    Superseded { fate: WriteFate, found: Option<Box<FoundHead>> },
}

/// A write of the head in flight or in doubt.
///
/// What goes wrong without care: the answer is lost, the writer takes the write for failed and
/// writes the same records again (twice in the ledger), or takes it for done (perhaps lost). So
/// each try is the very same value on the very same base version: versions are never reused, so at
/// most one try takes effect, and reading back finds this write's mark, or another's.
#[derive(Debug)]
pub(crate) struct HeadWrite {
    /// The version it replaces; `None` to create the head.
    base: Option<ObjectVersion>,
    /// The new value.
    head: LedgerHead,
    body: Payload,
    /// When the first try that may have taken effect was sent. The lease counts from here.
    issued: MonoTime,
    /// Whether some try may have taken effect.
    doubtful: bool,
    retry: Option<(MonoTime, NextTry)>,
    backoff: RetryBackoff,
}

impl HeadWrite {
    /// Starts a write of `head` over `base`.
    pub(crate) fn start(
        base: Option<ObjectVersion>,
        head: LedgerHead,
        ctx: &mut StageContext<'_>,
    ) -> Self {
        let settings = &ctx.core.settings;
        let write = Self {
            base,
            body: head.encode(),
            head,
            issued: ctx.now.mono,
            doubtful: false,
            retry: None,
            backoff: RetryBackoff::new(settings.backoff_min, settings.backoff_max),
        };
        write.put(ctx);
        write
    }

    fn put(&self, ctx: &mut StageContext<'_>) {
        let condition = match self.base {
            Some(version) => WriteCondition::IfVersion(version),
            None => WriteCondition::IfAbsent,
        };
        let key = ctx.core.keys.head();
        ctx.call(CallPurpose::HeadPut, StoreOp::Put { key, value: self.body.clone(), condition });
    }

    fn get(&self, ctx: &mut StageContext<'_>) {
        let key = ctx.core.keys.head();
        ctx.get(CallPurpose::HeadGet, key);
    }

    /// When the first try that may have taken effect was sent.
    pub(crate) fn issued(&self) -> MonoTime {
        self.issued
    }

    /// The value written.
    pub(crate) fn head(&self) -> &LedgerHead {
        &self.head
    }

    /// When the next try is due.
    pub(crate) fn wake(&self) -> Option<MonoTime> {
        self.retry.map(|(at, _)| at)
    }

    /// Makes the next try when it's due.
    pub(crate) fn tick(&mut self, ctx: &mut StageContext<'_>) {
        let Some((at, next)) = self.retry else { return };
        if ctx.now.mono < at {
            return;
        }
        self.retry = None;
        match next {
            NextTry::Put => {
                if !self.doubtful {
                    self.issued = ctx.now.mono;
                }
                self.put(ctx);
            }
            NextTry::Get => self.get(ctx),
        }
    }

    /// Plans the next try.
    pub(crate) fn again(
        &mut self,
        put: bool,
        failure: Option<StoreFailure>,
        ctx: &mut StageContext<'_>,
    ) {
        let next = if put { NextTry::Put } else { NextTry::Get };
        let delay = self.backoff.next(failure, &mut ctx.core.rng);
        self.retry = Some((ctx.now.mono + delay, next));
    }

    /// Takes the answer of a put.
    pub(crate) fn on_put(
        &mut self,
        result: StoreResult,
        ctx: &mut StageContext<'_>,
    ) -> WriteVerdict {
        match result {
            Ok(StoreReply::Written(version)) => WriteVerdict::Written(version),
            Err(StoreFailure::Conflict(_)) => {
                ctx.count_retry(RetryReason::WriteConflict);
                self.get(ctx);
                WriteVerdict::Open
            }
            Err(failure @ (StoreFailure::Throttled { .. } | StoreFailure::Unavailable)) => {
                ctx.count_retry(RetryReason::StoreUnavailable);
                self.again(true, Some(failure), ctx);
                if self.doubtful { WriteVerdict::Open } else { WriteVerdict::Unsent }
            }
            Ok(_) | Err(_) => {
                ctx.count_retry(RetryReason::AmbiguousWrite);
                self.doubtful = true;
                self.again(false, None, ctx);
                WriteVerdict::Open
            }
        }
    }

    /// Takes the answer of a read that settles it.
    pub(crate) fn on_get(
        &mut self,
        result: StoreResult,
        ctx: &mut StageContext<'_>,
    ) -> WriteVerdict {
        match result {
            Ok(StoreReply::Object(Some(object))) => self.compare(object, ctx),
            Ok(StoreReply::Object(None)) if self.base.is_none() => WriteVerdict::Unmoved,
            Ok(StoreReply::Object(None)) => {
                let fate = if self.doubtful { WriteFate::Unknown } else { WriteFate::NoEffect };
                WriteVerdict::Superseded { fate, found: None }
            }
            Ok(_) => self.read_again(None, ctx),
            Err(failure) => self.read_again(Some(failure), ctx),
        }
    }

    fn read_again(
        &mut self,
        failure: Option<StoreFailure>,
        ctx: &mut StageContext<'_>,
    ) -> WriteVerdict {
        ctx.count_retry(RetryReason::StoreUnavailable);
        self.again(false, failure, ctx);
        WriteVerdict::Open
    }

    fn compare(&mut self, object: StoredObject, ctx: &mut StageContext<'_>) -> WriteVerdict {
        if self.base == Some(object.version) {
            return WriteVerdict::Unmoved;
        }
        let value = object.value.unwrap_or_default();
        let Ok(head) = LedgerHead::decode(&value) else {
            ctx.count("ledger_head_undecodable");
            return self.read_again(None, ctx);
        };
        if head.writer == self.head.writer {
            return WriteVerdict::Written(object.version);
        }
        let fate = self.fate_in(&head);
        let found = FoundHead { head, version: object.version };
        WriteVerdict::Superseded { fate, found: Some(Box::new(found)) }
    }

    /// Looks this write up in the history that a later head carries. Within an epoch there is one
    /// writer with one write in flight, so this write is in the history exactly when it is the
    /// last one of its epoch.
    fn fate_in(&self, later: &LedgerHead) -> WriteFate {
        let end = later.ended.iter().find(|end| end.epoch == self.head.epoch);
        match end {
            Some(end) if end.last == self.head.writer => WriteFate::TookEffect,
            Some(_) => WriteFate::NoEffect,
            None if !self.doubtful => WriteFate::NoEffect,
            None => WriteFate::Unknown,
        }
    }
}
