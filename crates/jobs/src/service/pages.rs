//! Pages of a job's results, in input order, while it runs too.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::{
    Effects, ShardService, answer, not_found,
    reads::{ChunkWant, ReadPurpose},
};
use crate::{
    chunk::ParsedChunk,
    record::LedgerRecord,
    service::event::{ReadFailure, ReadToken},
    state::job_state::JobState,
};

/// Most chunks that one page touches; what one page can hold in memory.
const PAGE_CHUNKS: usize = 4;

/// Which page.
#[derive(Debug, Clone, Copy)]
pub(super) struct PageQuery {
    pub(super) job: JobId,
    /// First item wanted.
    pub(super) first: ItemIndex,
    /// Most lines wanted.
    pub(super) limit: u32,
}

/// A line to be filled in.
#[derive(Debug)]
struct PageLine {
    item: ItemIndex,
    /// The record of its result; `None` for a cancelled item.
    seq: Option<u64>,
    /// The chunk's place in the job's list, and the line in it.
    chunk: (usize, u32),
}

/// A page that waits for chunks or records.
#[derive(Debug)]
pub(super) struct PageCall {
    from: VmName,
    call: CallId,
    job: JobId,
    lines: Vec<PageLine>,
    next: Option<ItemIndex>,
    /// By their place in the job's list; `None` until read.
    chunks: BTreeMap<usize, Option<Arc<ParsedChunk>>>,
    read: Option<ReadToken>,
    /// By sequence number; complete once `read` is `None`.
    records: BTreeMap<u64, LedgerRecord>,
    since: MonoTime,
}

impl PageCall {
    /// Who waits.
    pub(super) fn caller(&self) -> (VmName, CallId) {
        (self.from.clone(), self.call)
    }

    /// Since when.
    pub(super) fn since(&self) -> MonoTime {
        self.since
    }

    fn is_ready(&self) -> bool {
        self.read.is_none() && self.chunks.values().all(Option::is_some)
    }

    fn line(&self, line: &PageLine) -> Option<ResultLine> {
        let status = match line.seq {
            None => ItemStatus::Cancelled,
            Some(seq) => match self.records.get(&seq)? {
                LedgerRecord::ItemEnded { outcome, .. } => ItemStatus::Ended(outcome.clone()),
                _ => return None,
            },
        };
        let chunk = self.chunks.get(&line.chunk.0)?.as_ref()?;
        let custom_id = chunk.line(line.chunk.1).map(|line| line.custom_id());
        Some(ResultLine { item: line.item, custom_id: custom_id.unwrap_or_default(), status })
    }
}

impl ShardService {
    pub(super) fn results_page(
        &mut self,
        now: Now,
        from: VmName,
        call: CallId,
        account: &AccountName,
        query: PageQuery,
        effects: &mut Effects,
    ) {
        let Some(job) = self.job_of(query.job, account) else {
            answer(effects, &from, call, not_found());
            return;
        };
        let limit = query.limit.clamp(1, self.settings.page_lines);
        let (lines, next) = page_lines(job, query.first, limit);
        let seqs: BTreeSet<u64> = lines.iter().filter_map(|line| line.seq).collect();
        let chunks: BTreeSet<usize> = lines.iter().map(|line| line.chunk.0).collect();
        let open = self.owner.as_ref().map_or(0, |term| term.pages.len());
        if open >= self.settings.max_parked {
            let detail = "too many pages are being read";
            let refusal = Refusal::not_run(RefusalReason::Overloaded, detail);
            let refusal = refusal.retry_after(self.store_retry_ms());
            answer(effects, &from, call, ShardAnswer::Refused(refusal));
            return;
        }
        let read = (!seqs.is_empty()).then(|| {
            let seqs = seqs.into_iter().collect();
            self.reads.read_records(now.mono, seqs, ReadPurpose::Page, effects)
        });
        let page = PageCall {
            from,
            call,
            job: query.job,
            lines,
            next,
            chunks: chunks.into_iter().map(|chunk| (chunk, None)).collect(),
            read,
            records: BTreeMap::new(),
            since: now.mono,
        };
        self.go_on_with_page(now, page, effects);
    }

    /// Goes on with the pages that wait for this chunk.
    pub(super) fn resume_pages(&mut self, now: Now, key: &str, effects: &mut Effects) {
        let waits = |state: &crate::state::ShardState, page: &PageCall| {
            let Some(job) = state.job(page.job) else { return true };
            let chunks = &job.accepted().chunks;
            page.chunks.iter().any(|(place, chunk)| chunk.is_none() && chunks[*place].0 == key)
        };
        let Some(term) = self.owner.as_mut() else { return };
        let pages = std::mem::take(&mut term.pages);
        let (ready, rest): (Vec<_>, Vec<_>) =
            pages.into_iter().partition(|page| waits(&self.state, page));
        term.pages = rest;
        for page in ready {
            self.go_on_with_page(now, page, effects);
        }
    }

    pub(super) fn page_records(
        &mut self,
        now: Now,
        read: ReadToken,
        result: Result<BTreeMap<u64, LedgerRecord>, ReadFailure>,
        effects: &mut Effects,
    ) {
        let Some(term) = self.owner.as_mut() else { return };
        let Some(place) = term.pages.iter().position(|page| page.read == Some(read)) else {
            return;
        };
        let mut page = term.pages.remove(place);
        match result {
            Ok(records) => {
                page.records = records;
                page.read = None;
                self.go_on_with_page(now, page, effects);
            }
            Err(_) => self.refuse_page(&page, effects),
        }
    }

    /// Answers pages that began before `since` and are not ready.
    pub(super) fn give_up_pages(&mut self, since: MonoTime, effects: &mut Effects) {
        let Some(term) = self.owner.as_mut() else { return };
        let pages = std::mem::take(&mut term.pages);
        let (old, rest): (Vec<_>, Vec<_>) = pages.into_iter().partition(|page| page.since <= since);
        term.pages = rest;
        for page in old {
            self.refuse_page(&page, effects);
        }
    }

    /// Gathers the chunks that are still missing; answers the page once it's whole.
    fn go_on_with_page(&mut self, now: Now, mut page: PageCall, effects: &mut Effects) {
        let Some(job) = self.state.job(page.job) else {
            answer(effects, &page.from, page.call, not_found());
            return;
        };
        let missing = page.chunks.iter().filter(|(_, chunk)| chunk.is_none());
        let missing: Vec<(usize, String)> =
            missing.map(|(place, _)| (*place, job.accepted().chunks[*place].0.clone())).collect();
        for (place, key) in missing {
            match self.want_chunk(now, &key, effects) {
                ChunkWant::Ready(chunk) => {
                    page.chunks.insert(place, Some(chunk));
                }
                ChunkWant::Reading => {}
                ChunkWant::Unreadable => return self.refuse_page(&page, effects),
            }
        }
        match page.is_ready() {
            true => self.answer_page(&page, effects),
            false => {
                if let Some(term) = self.owner.as_mut() {
                    term.pages.push(page);
                }
            }
        }
    }
}

impl ShardService {
    fn answer_page(&mut self, page: &PageCall, effects: &mut Effects) {
        let Some(progress) = self.progress(page.job) else {
            return answer(effects, &page.from, page.call, not_found());
        };
        let mut next = page.next;
        let mut lines = Vec::new();
        let mut bytes = 0;
        for wanted in &page.lines {
            let Some(line) = page.line(wanted) else {
                return self.refuse_page(page, effects);
            };
            bytes += line_bytes(&line);
            if bytes > self.settings.page_bytes && !lines.is_empty() {
                next = Some(wanted.item);
                break;
            }
            lines.push(line);
        }
        let results = ShardAnswer::Results { lines, next, progress };
        answer(effects, &page.from, page.call, results);
    }

    fn refuse_page(&self, page: &PageCall, effects: &mut Effects) {
        let detail = "the results can't be read from the store now";
        let refusal = Refusal::not_run(RefusalReason::StoreUnavailable, detail);
        let refusal = refusal.retry_after(self.store_retry_ms());
        answer(effects, &page.from, page.call, ShardAnswer::Refused(refusal));
    }
}

/// The lines of a page, and where the next page starts.
fn page_lines(job: &JobState, first: ItemIndex, limit: u32) -> (Vec<PageLine>, Option<ItemIndex>) {
    let cancelled = job.cancelled_at().is_some();
    let items = job.items();
    let mut lines: Vec<PageLine> = Vec::new();
    let mut chunks = BTreeSet::new();
    for item in (first.0..items.len()).map(ItemIndex) {
        let ended = items.state(item).is_some_and(|state| state.is_ended());
        if !ended && !cancelled {
            continue;
        }
        let Some(chunk) = job.chunk_of(item) else { continue };
        let full = lines.len() as u32 == limit;
        if full || (chunks.len() == PAGE_CHUNKS && !chunks.contains(&chunk.0)) {
            return (lines, Some(item));
        }
        chunks.insert(chunk.0);
        lines.push(PageLine { item, seq: ended.then(|| items.seq(item)), chunk });
    }
    (lines, None)
}

fn line_bytes(line: &ResultLine) -> usize {
    let body = match &line.status {
        ItemStatus::Ended(ItemOutcome::Answered { body, .. }) => body.len(),
        ItemStatus::Ended(ItemOutcome::Failed { detail, .. }) => detail.len(),
        ItemStatus::Cancelled | ItemStatus::Open => 0,
    };
    body + line.custom_id.len()
}
