//! Types that all crates share: identifiers, times, payloads, refusals and counters.

pub mod class;
pub mod counter;
pub mod hash;
pub mod ids;
pub mod note;
pub mod object;
pub mod outcome;
pub mod payload;
pub mod refusal;
pub mod time;

/// The types that most modules need.
pub mod prelude {
    pub use crate::{
        counter::{Counter, DropReason, RetryReason},
        hash::{FastMap, FastSet, stable_hash64, stable_hash128},
        ids::{
            AccountName, AttemptId, CallId, DomainName, EntryVersion, Epoch, Fingerprint,
            Incarnation, ItemIndex, JobId, LotId, RequestId, ShardId, TargetName, VmName,
        },
        note::{DecisionNote, NoteStep, NoteSubject},
        outcome::{AttemptOutcome, SealVerdict},
        payload::Payload,
        refusal::{Ran, Refusal, RefusalReason},
        time::{MonoTime, Now, WallTime},
    };
}
