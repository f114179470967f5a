//! Records on their way to the ledger.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use notch_types::prelude::*;

use crate::{
    record::LedgerRecord,
    service::{
        effect::ServiceEffect,
        event::AppendTicket,
        waiting::{AskedCall, PendingLot},
    },
};

/// Most bytes of settled facts in one append; well below what the ledger takes.
const BATCH_BYTES: usize = 400_000;

/// What an append is for, and so what follows from its end.
#[derive(Debug)]
pub(crate) enum AppendPurpose {
    /// A job; the callers that wait are listed under its id.
    Submit(JobId),
    /// A cancellation; likewise.
    Cancel(JobId),
    /// Facts that are true whatever becomes of the append: appended again until committed.
    Facts(Vec<Payload>),
    /// Claims of a lot that leaves after the commit.
    Lot(Box<PendingLot>),
    /// A claim, its release, an answer or a quarantine.
    Ask(Box<AskedCall>),
}

#[derive(Debug)]
struct OpenAppend {
    purpose: AppendPurpose,
    since: MonoTime,
}

/// Appends without an end, and facts that wait to be appended.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    next_ticket: u64,
    /// In the order of sending. Bounded: facts by the buffer, the rest by the calls that wait,
    /// since new ones are refused while the store is down.
    open: BTreeMap<AppendTicket, OpenAppend>,
    /// Committed, but their records are not all applied yet; with the `upto` that is needed.
    applying: Vec<(u64, AppendPurpose)>,
    /// Facts to append at the end of the event.
    queue: VecDeque<Payload>,
    /// Whether a caller waits for one of the queued facts.
    awaited: bool,
    /// Bytes of facts that are queued or on their way.
    fact_bytes: usize,
    /// After a rejection nothing is appended before this time: an outage isn't met with a storm.
    hold_until: MonoTime,
}

impl Outbox {
    /// Bytes of facts without a commit.
    pub(crate) fn fact_bytes(&self) -> usize {
        self.fact_bytes
    }

    /// Whether the store seems to be down: an append was rejected a moment ago, or one has been
    /// without an answer for longer than `patience`.
    pub(crate) fn is_down(&self, now: MonoTime, patience: Duration) -> bool {
        let silent =
            self.open.first_key_value().is_some_and(|(_, oldest)| oldest.since + patience <= now);
        silent || now < self.hold_until
    }

    /// Queues a fact.
    pub(crate) fn push(&mut self, fact: &LedgerRecord) {
        let bytes = fact.encode();
        self.awaited |= is_awaited(fact);
        self.fact_bytes += bytes.len();
        self.queue.push_back(bytes);
    }

    /// Appends records that mean something only if committed now.
    pub(crate) fn append(
        &mut self,
        now: MonoTime,
        purpose: AppendPurpose,
        records: &[LedgerRecord],
        chunks: Vec<String>,
        effects: &mut Vec<ServiceEffect>,
    ) {
        let ticket = self.open_append(now, purpose);
        let records = records.iter().map(LedgerRecord::encode).collect();
        effects.push(ServiceEffect::Append { ticket, records, prompt: true, chunks });
    }

    /// Appends the queued facts, unless the store was refusing a moment ago.
    pub(crate) fn flush(&mut self, now: MonoTime, effects: &mut Vec<ServiceEffect>) {
        if now < self.hold_until {
            return;
        }
        while !self.queue.is_empty() {
            let mut bytes = 0;
            let mut batch = Vec::new();
            while let Some(record) = self.queue.pop_front() {
                bytes += record.len();
                batch.push(record);
                let next = self.queue.front().map_or(0, |next| next.len());
                if bytes + next > BATCH_BYTES {
                    break;
                }
            }
            let ticket = self.open_append(now, AppendPurpose::Facts(batch.clone()));
            let chunks = Vec::new();
            let prompt = self.awaited;
            effects.push(ServiceEffect::Append { ticket, records: batch, prompt, chunks });
        }
        self.awaited = false;
    }

    /// An append was committed; its purpose comes back by [`Outbox::pop_applied`].
    pub(crate) fn commit(&mut self, ticket: AppendTicket, first_seq: u64, counts: u64) {
        let Some(append) = self.open.remove(&ticket) else { return };
        self.hold_until = MonoTime::default();
        match append.purpose {
            AppendPurpose::Facts(batch) => self.fact_bytes -= total(&batch),
            purpose => self.applying.push((first_seq + counts, purpose)),
        }
    }

    /// Number of records of an open append.
    pub(crate) fn record_count(&self, ticket: AppendTicket) -> u64 {
        match self.open.get(&ticket).map(|append| &append.purpose) {
            Some(AppendPurpose::Facts(batch)) => batch.len() as u64,
            Some(AppendPurpose::Lot(lot)) => lot.items.len() as u64,
            _ => 1,
        }
    }

    /// The purpose of a committed append whose records are all applied.
    pub(crate) fn pop_applied(&mut self, upto: u64) -> Option<AppendPurpose> {
        let place = self.applying.iter().position(|(needed, _)| *needed <= upto)?;
        Some(self.applying.remove(place).1)
    }

    /// An append was rejected: facts are queued again, anything else comes back.
    pub(crate) fn reject(
        &mut self,
        ticket: AppendTicket,
        retry_at: MonoTime,
    ) -> Option<AppendPurpose> {
        let append = self.open.remove(&ticket)?;
        self.hold_until = retry_at;
        match append.purpose {
            AppendPurpose::Facts(batch) => {
                batch.into_iter().rev().for_each(|record| self.queue.push_front(record));
                self.awaited = true;
                None
            }
            purpose => Some(purpose),
        }
    }

    /// Takes everything out that has callers waiting.
    pub(crate) fn drain(&mut self) -> Vec<AppendPurpose> {
        let open = std::mem::take(&mut self.open).into_values().map(|append| append.purpose);
        let applying = std::mem::take(&mut self.applying).into_iter().map(|(_, purpose)| purpose);
        open.chain(applying).collect()
    }

    /// When the queued facts may be appended again.
    pub(crate) fn next_flush(&self) -> Option<MonoTime> {
        (!self.queue.is_empty()).then_some(self.hold_until)
    }

    /// An outbox for a new ownership; tickets go on, so that a late answer meets nothing.
    pub(crate) fn renewed(&self) -> Self {
        Self { next_ticket: self.next_ticket, ..Self::default() }
    }

    fn open_append(&mut self, now: MonoTime, purpose: AppendPurpose) -> AppendTicket {
        self.next_ticket += 1;
        let ticket = AppendTicket(self.next_ticket);
        self.open.insert(ticket, OpenAppend { purpose, since: now });
        ticket
    }
}

/// Whether someone waits for the fact's commit: a sidecar that reported, or a caller.
fn is_awaited(fact: &LedgerRecord) -> bool {
    !matches!(
        fact,
        LedgerRecord::ItemTried { .. }
            | LedgerRecord::JobEnded { .. }
            | LedgerRecord::JobExpired { .. }
            | LedgerRecord::RequestsExpired { .. }
    )
}

fn total(batch: &[Payload]) -> usize {
    batch.iter().map(|record| record.len()).sum()
}
