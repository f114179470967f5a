//! Credit for account limits. One gateway, the account's limiter, keeps its count; the others obtain credit from
//! it before they admit requests.

use std::time::Duration;

use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{node::EntryNode, peers::calls::CallEnd};

/// Timeout of a limiter's answer: several round trips between failure domains, a fifth of the usual objective.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of gateways asked for one request: the limiter known here, and the one that it redirects to.
const MAX_LIMITERS_ASKED: usize = 2;

/// Whether a request is within its account's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitVerdict {
    /// It is within the limit and was counted.
    Within,
    /// It is admitted although no limiter can be reached now.
    WithoutLimiter,
    /// It exceeds the limit.
    Over {
        /// Time after which to retry.
        wait: Duration,
    },
    /// No limiter can be reached, and no more may be admitted without one.
    Unknown,
}

/// Counts a request against its account's limit, with credit from the limiter where none is left here. With
/// `is_deferred`, new requests of the account go first.
pub async fn charge(
    node: &EntryNode,
    account: &AccountName,
    limit: AccountLimit,
    is_deferred: bool,
) -> LimitVerdict {
    let began = node.clock.mono();
    let step = node.accounts.credits().begin(account, began);
    let demand = match step {
        CreditStep::Admitted => return LimitVerdict::Within,
        CreditStep::UsedUp { wait } => return LimitVerdict::Over { wait },
        CreditStep::NoLimiter => return decide_without_limiter(node, account, limit),
        CreditStep::Ask { wanted } if !is_deferred => CreditDemand::from(wanted),
        CreditStep::Ask { .. } => CreditDemand { wanted: 1, is_deferred },
    };
    let mut limiter = find_limiter(node, account, began);
    for _ in 0..MAX_LIMITERS_ASKED {
        let Some(vm) = limiter else { break };
        match request_credit(node, &vm, account, demand).await {
            Some(CreditAnswer::Granted(granted)) => {
                node.accounts.credits().note_granted(account, granted, began);
                return LimitVerdict::Within;
            }
            Some(CreditAnswer::UsedUp(wait)) => {
                note_used_up(node, account, limit, wait, is_deferred);
                return LimitVerdict::Over { wait };
            }
            Some(CreditAnswer::Elsewhere(other)) => limiter = other.filter(|other| *other != vm),
            None => {
                node.metrics.count(Counter::Event("credit_unanswered"));
                node.accounts.credits().note_silent(account, node.clock.mono());
                break;
            }
        }
    }
    decide_without_limiter(node, account, limit)
}

async fn request_credit(
    node: &EntryNode,
    vm: &VmName,
    account: &AccountName,
    demand: CreditDemand,
) -> Option<CreditAnswer> {
    if *vm == node.config.node.vm {
        return Some(grant(node, account, demand));
    }
    node.metrics.count(Counter::Event("credit_asked"));
    let account = account.clone();
    let CreditDemand { wanted, is_deferred } = demand;
    let ask = |call| PeerMessage::CreditAsk { call, account, wanted, is_deferred };
    let send = |call| node.peers.send(vm, ask(call));
    match node.peers.credit_calls.ask(send, ANSWER_TIMEOUT).await {
        CallEnd::Answered(answer) => Some(answer),
        CallEnd::NotSent | CallEnd::Unanswered => None,
    }
}

/// Remembers that the limit is used up, so that not every request asks. Where new requests go first, one asks again as
/// soon as the next credit is due, and the refusal of a deferred one says nothing about new ones.
fn note_used_up(
    node: &EntryNode,
    account: &AccountName,
    limit: AccountLimit,
    wait: Duration,
    is_deferred: bool,
) {
    if is_deferred {
        return;
    }
    let next_credit = Duration::from_secs_f64(1.0 / limit.per_second);
    let wait = if node.features.new_requests_first { wait.min(next_credit) } else { wait };
    node.accounts.credits().note_used_up(account, wait, node.clock.mono());
}

fn decide_without_limiter(
    node: &EntryNode,
    account: &AccountName,
    limit: AccountLimit,
) -> LimitVerdict {
    let (tolerance, gateways) = (node.accounts.tolerance(), node.peers.known_count() + 1);
    let now = node.clock.mono();
    let may_admit =
        node.accounts.credits().admit_without_limiter(account, limit, tolerance, gateways, now);
    if may_admit { LimitVerdict::WithoutLimiter } else { LimitVerdict::Unknown }
}

/// The limiter of an account, after a refresh of the limiter view.
fn find_limiter(node: &EntryNode, account: &AccountName, now: MonoTime) -> Option<VmName> {
    refresh_view(node, now);
    node.accounts.limiter().limiter(account)
}

/// Updates the limiter view from the known gateways, and sends the credit of accounts whose limiter has moved to
/// the new one.
pub fn refresh_view(node: &EntryNode, now: MonoTime) {
    let own = &node.config.node.vm;
    if !node.accounts.limiter().begin_view_refresh(now) {
        return;
    }
    let participant = (!node.stop.is_stopping()).then_some(own);
    let up = now.since(MonoTime::default());
    let (census, candidates) = node.peers.limiter_candidates(participant, up, now);
    let is_synced = node.peers.entries.is_answered();
    let view =
        if is_synced { LimiterView::new(census, candidates) } else { LimiterView::default() };
    let handovers = node.accounts.limiter().set_view(own, view, now);
    for CreditHandover { limiter, account, credit } in handovers {
        let credit_milli = (credit * 1_000.0) as u64;
        node.peers.send(&limiter, PeerMessage::CreditLeft { account, credit_milli });
    }
}

/// Takes over the remaining credit that an account's former limiter handed over.
pub fn take_over(node: &EntryNode, account: &AccountName, credit_milli: u64) {
    let now = node.clock.mono();
    refresh_view(node, now);
    let Some(limit) = limit_of(node, account).flatten() else { return };
    let (own, credit) = (&node.config.node.vm, credit_milli as f64 / 1_000.0);
    node.accounts.limiter().take_over(own, account, limit, credit, now);
}

/// The account's limit by the configuration in force: `None` when it doesn't name the account, `Some(None)` for no
/// limit.
fn limit_of(node: &EntryNode, account: &AccountName) -> Option<Option<AccountLimit>> {
    let routes = node.routes()?;
    routes.accounts()?.named(account).map(|account| account.limit)
}

/// Answers another gateway's request for credit.
pub fn answer(
    node: &EntryNode,
    peer: &VmName,
    call: u64,
    account: &AccountName,
    demand: CreditDemand,
) {
    let answer = grant(node, account, demand);
    node.peers.send(peer, PeerMessage::CreditAnswer { call, answer });
}

/// Grants credit if this gateway is the limiter by its own view; that another gateway takes it for the limiter isn't
/// enough.
fn grant(node: &EntryNode, account: &AccountName, demand: CreditDemand) -> CreditAnswer {
    let now = node.clock.mono();
    let limiter = find_limiter(node, account, now);
    if limiter.as_ref() != Some(&node.config.node.vm) {
        return CreditAnswer::Elsewhere(limiter);
    }
    match limit_of(node, account) {
        Some(Some(limit)) => node.accounts.limiter().grant(account, limit, demand, now),
        Some(None) => CreditAnswer::Granted(demand.wanted),
        // The requester has a newer or older configuration; there is no limiter until both have the same.
        None => CreditAnswer::Elsewhere(None),
    }
}
