//! Appends that wait for the next commit.

use std::collections::VecDeque;

use notch_types::prelude::*;

use crate::{event::AppendTicket, segment::RECORD_OVERHEAD_BYTES, seq::Seq};

/// One append.
#[derive(Debug)]
pub(crate) struct QueuedAppend {
    pub(crate) ticket: AppendTicket,
    pub(crate) records: Vec<Payload>,
}

impl QueuedAppend {
    /// Bytes it takes, encoded.
    pub(crate) fn bytes(&self) -> usize {
        records_bytes(&self.records)
    }
}

/// Bytes that records take, encoded.
pub(crate) fn records_bytes(records: &[Payload]) -> usize {
    records.iter().map(|record| record.len() + RECORD_OVERHEAD_BYTES).sum()
}

/// Appends committed by one write of the head.
#[derive(Debug, Default)]
pub(crate) struct AppendBatch {
    /// The records in order.
    pub(crate) records: Vec<Payload>,
    /// Each append, with the index of its first record.
    pub(crate) tickets: Vec<(AppendTicket, u64)>,
    /// Bytes of the records, encoded.
    pub(crate) bytes: usize,
}

impl AppendBatch {
    /// The appends with their places, when the batch begins at `first`.
    pub(crate) fn places(&self, first: Seq) -> impl Iterator<Item = (AppendTicket, Seq)> + '_ {
        self.tickets.iter().map(move |(ticket, index)| (*ticket, first.plus(*index)))
    }
}

/// Appends in order of arrival. Its bound is kept by the owner, which counts the batch on its way
/// as well.
#[derive(Debug, Default)]
pub(crate) struct AppendQueue {
    appends: VecDeque<QueuedAppend>,
    bytes: usize,
}

impl AppendQueue {
    pub(crate) fn push(&mut self, append: QueuedAppend) {
        self.bytes += append.bytes();
        self.appends.push_back(append);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.appends.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.appends.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes one append out; whether it was there.
    pub(crate) fn withdraw(&mut self, ticket: AppendTicket) -> bool {
        let Some(index) = self.appends.iter().position(|append| append.ticket == ticket) else {
            return false;
        };
        if let Some(append) = self.appends.remove(index) {
            self.bytes -= append.bytes();
        }
        true
    }

    /// Takes everything, as one batch.
    pub(crate) fn take(&mut self) -> AppendBatch {
        let mut batch = AppendBatch { bytes: self.bytes, ..AppendBatch::default() };
        for append in self.appends.drain(..) {
            batch.tickets.push((append.ticket, batch.records.len() as u64));
            batch.records.extend(append.records);
        }
        self.bytes = 0;
        batch
    }

    /// Takes every ticket, dropping the records.
    pub(crate) fn drain_tickets(&mut self) -> Vec<AppendTicket> {
        self.bytes = 0;
        self.appends.drain(..).map(|append| append.ticket).collect()
    }
}
