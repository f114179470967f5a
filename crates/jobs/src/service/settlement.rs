//! Calls that wait until what they reported is in the ledger.

use std::collections::{BTreeMap, BTreeSet};

use notch_messages::prelude::*;
use notch_types::prelude::*;

/// What a call reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportKind {
    /// Results: answered by the items settled.
    Results,
    /// Returns: answered by `Done`.
    Returns,
}

/// A call with items that wait for a commit.
#[derive(Debug)]
struct ReportCall {
    from: VmName,
    call: CallId,
    kind: ReportKind,
    settled: Vec<ItemKey>,
    waiting: BTreeSet<ItemKey>,
    since: MonoTime,
}

/// An answer that is due.
#[derive(Debug)]
pub(super) struct DueAnswer {
    pub(super) from: VmName,
    pub(super) call: CallId,
    pub(super) answer: ShardAnswer,
}

/// Open reports. Bounded by the owner; each lives at most the park time.
#[derive(Debug, Default)]
pub(super) struct SettlementTable {
    next_report: u64,
    reports: BTreeMap<u64, ReportCall>,
    /// Reports by the item they wait for.
    by_item: BTreeMap<ItemKey, Vec<u64>>,
}

impl SettlementTable {
    /// Number of open reports.
    pub(super) fn len(&self) -> usize {
        self.reports.len()
    }

    /// A report with `settled` items already done and `waiting` ones to come. The answer is due
    /// at once when it waits for nothing.
    pub(super) fn insert(
        &mut self,
        since: MonoTime,
        to: (VmName, CallId),
        kind: ReportKind,
        settled: Vec<ItemKey>,
        waiting: BTreeSet<ItemKey>,
    ) -> Option<DueAnswer> {
        let (from, call) = to;
        let report = ReportCall { from, call, kind, settled, waiting, since };
        if report.waiting.is_empty() {
            return Some(report.into_answer());
        }
        self.next_report += 1;
        for item in &report.waiting {
            self.by_item.entry(*item).or_default().push(self.next_report);
        }
        self.reports.insert(self.next_report, report);
        None
    }

    /// An item is settled; gives the answers that are due by it.
    pub(super) fn settle(&mut self, item: ItemKey) -> Vec<DueAnswer> {
        let mut due = Vec::new();
        for number in self.by_item.remove(&item).unwrap_or_default() {
            let Some(report) = self.reports.get_mut(&number) else { continue };
            report.waiting.remove(&item);
            report.settled.push(item);
            if report.waiting.is_empty() {
                due.extend(self.reports.remove(&number).map(ReportCall::into_answer));
            }
        }
        due
    }

    /// All items of a job are settled.
    pub(super) fn settle_job(&mut self, job: JobId) -> Vec<DueAnswer> {
        let first = ItemKey { job, item: ItemIndex(0) };
        let last = ItemKey { job, item: ItemIndex(u32::MAX) };
        let items: Vec<ItemKey> = self.by_item.range(first..=last).map(|(item, _)| *item).collect();
        items.into_iter().flat_map(|item| self.settle(item)).collect()
    }

    /// Answers reports that were made before `since`, with what is settled of them.
    pub(super) fn give_up(&mut self, since: MonoTime) -> Vec<DueAnswer> {
        let mut due = Vec::new();
        while let Some(oldest) = self.reports.first_entry() {
            if oldest.get().since > since {
                break;
            }
            let (number, report) = oldest.remove_entry();
            for item in &report.waiting {
                if let Some(numbers) = self.by_item.get_mut(item) {
                    numbers.retain(|other| *other != number);
                }
            }
            due.push(report.into_answer());
        }
        self.by_item.retain(|_, numbers| !numbers.is_empty());
        due
    }

    /// When the oldest report was made.
    pub(super) fn oldest(&self) -> Option<MonoTime> {
        self.reports.first_key_value().map(|(_, report)| report.since)
    }
}

impl ReportCall {
    fn into_answer(self) -> DueAnswer {
        let answer = match self.kind {
            ReportKind::Results => ShardAnswer::ItemsSettled(self.settled),
            ReportKind::Returns if self.waiting.is_empty() => ShardAnswer::Done,
            ReportKind::Returns => ShardAnswer::Refused(Refusal::unknown(
                RefusalReason::StoreUnavailable,
                "the return is not durable yet; sending it again is safe",
            )),
        };
        DueAnswer { from: self.from, call: self.call, answer }
    }
}
