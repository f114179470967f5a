//! Everything the control thread is told, and what it tells the traffic side.

use std::{sync::Arc, time::Duration};

use async_channel::Sender;
use notch_jobs::prelude::{ReadFailure, ReadToken};
use notch_link::prelude::LinkEvent;
use notch_messages::prelude::*;
use notch_platform::{LoadPermit, PermitFailure, VmRecord};
use notch_routing::{ArrivalId, OnlineRequest, RequestEnd, RouterEvent};
use notch_types::{
    object::{StoreResult, StoredObject},
    prelude::*,
};
use serde_json::Value;

use crate::traffic::answer_page::AnswerPage;

/// What a request's offers are made of, kept until the router forgets the request.
#[derive(Debug)]
pub struct OfferTemplate {
    /// What is asked.
    pub target: TargetName,
    /// Who asks.
    pub account: AccountName,
    /// Path below the target for a plain service.
    pub path: String,
    /// The caller's body.
    pub body: Payload,
    /// Whether the caller reads a stream.
    pub stream: bool,
    /// What it runs.
    pub fingerprint: Fingerprint,
}

/// What a waiting caller is told.
#[derive(Debug)]
pub enum ArrivalNews {
    /// Pass this answer on from its first byte, in order.
    Deliver(Arc<AnswerPage>),
    /// The end. The page is there when the end is an answered attempt.
    Finish {
        /// How it ends.
        end: RequestEnd,
        /// The answer.
        page: Option<Arc<AnswerPage>>,
    },
}

/// Which part of the control state made a call to the object API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreUser {
    /// A ledger shard.
    Ledger(ShardId),
    /// The catalogue.
    Catalogue,
    /// The placement lease.
    Placement,
}

/// What an operator asks of this gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorAsk {
    /// How the fleet stands, as seen here.
    Status,
    /// What happened to a subject and why.
    Explain(NoteSubject),
    /// How many nodes have each entry in force.
    Survey,
}

/// Everything the control thread is told.
#[derive(Debug)]
pub enum ControlEvent {
    /// A caller asks.
    Online {
        /// The request as the router needs it, but for its deadline.
        request: OnlineRequest,
        /// Time until the caller's deadline, from now.
        deadline_in: Option<Duration>,
        /// What its offers are made of.
        offer: Arc<OfferTemplate>,
        /// Where its news go.
        news: Sender<ArrivalNews>,
    },
    /// A caller hung up.
    CallerGone(ArrivalId),
    /// News of an attempt, seen by a link.
    Attempt(RouterEvent),
    /// A part of an answer is missing: ask for it again.
    Resume {
        /// The sidecar's VM.
        vm: VmName,
        /// The attempt.
        attempt: AttemptId,
        /// From where.
        offset: u64,
    },
    /// News of a link.
    Link(LinkEvent),
    /// A call to the object API ended.
    StoreAnswered {
        /// Who made it.
        user: StoreUser,
        /// Which call.
        call: CallId,
        /// How it ended.
        result: StoreResult,
    },
    /// A chunk object was read for a shard.
    ObjectRead {
        /// For which shard.
        shard: ShardId,
        /// The object's key.
        key: String,
        /// Its value.
        result: Result<Payload, ReadFailure>,
    },
    /// Records were read for a shard.
    RecordsRead {
        /// For which shard.
        shard: ShardId,
        /// Which read.
        read: ReadToken,
        /// Sequence numbers and records, in the order asked.
        result: Result<Vec<(u64, Payload)>, ReadFailure>,
    },
    /// The VM list was read.
    VmListed(Vec<VmRecord>),
    /// The traffic side asks a shard's owner.
    AskShard {
        /// Which shard.
        shard: ShardId,
        /// What.
        request: Box<ShardRequest>,
        /// Where the answer goes.
        reply: Sender<ShardAnswer>,
    },
    /// An operator asks.
    Operator {
        /// What.
        ask: OperatorAsk,
        /// Where the answer goes, as JSON.
        reply: Sender<Value>,
    },
    /// An entry was read or written for an operator on this gateway.
    EntryStored(StoredObject),
    /// The weight store answered a request for a permit.
    PermitAnswered {
        /// The epoch of the order it was wanted for.
        epoch: Epoch,
        /// The order's number.
        order: u64,
        /// The answer.
        result: Result<LoadPermit, PermitFailure>,
    },
    /// Leave gracefully; the sender is told when nothing is left to do.
    Leave(Sender<()>),
    /// Stop at once.
    Stop,
}
