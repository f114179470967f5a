//! What a ledger shard's records mean, and the dispatch of batch items. Pure decisions: the
//! ledger orders and keeps the records, the gateway carries events in and effects out.

pub mod chunk;
mod dispatch;
pub mod policy;
pub mod probe;
pub mod record;
pub mod service;
pub mod settings;
pub mod state;

/// The types a driver needs.
pub mod prelude {
    pub use crate::{
        policy::{JobPolicy, TargetPolicy},
        record::{LedgerRecord, RecordError},
        service::{
            ShardService,
            effect::{ServiceEffect, TargetBacklog},
            event::{AppendTicket, ReadFailure, ReadToken, RejectKind, ServiceEvent},
        },
        settings::JobSettings,
        state::{SeqRange, ShardState, SnapshotError},
    };
}
