//! The open items of one running job.

use std::{
    collections::{BTreeSet, btree_set},
    time::Duration,
};

use notch_types::prelude::*;

use crate::state::{item_table::ItemState, job_state::JobState};

/// Bits of an attempt's number below the epoch.
const ATTEMPT_BITS: u32 = 24;

/// Where an open item is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ItemPlace {
    /// Free to leave from this time on.
    Waiting(MonoTime),
    /// With a sidecar.
    Leased {
        /// The lot.
        lot: LotId,
        /// The try.
        attempt: u64,
    },
    /// Its claim waits for the commit.
    Claiming,
    /// Claimed, and nobody knows whether it ran; it ends as unknown unless news comes.
    Unsure,
    /// The release of this attempt's claim waits for the commit. The attempt is named because
    /// the release of an earlier one may be applied twice.
    Releasing(u64),
    /// Its result waits for the commit.
    Ending,
}

/// An item that has left the queue's order: it was handed out, claimed or returned.
#[derive(Debug, Clone)]
pub(crate) struct ItemTrack {
    /// Where it is; changed through the queue alone, which indexes it.
    place: ItemPlace,
    /// Attempts spent.
    pub(crate) attempts: u32,
    /// Attempts handed out by this owner.
    issued: u32,
    /// Distinct VMs whose targets crashed with it in flight.
    pub(crate) crashed_on: Vec<VmName>,
    /// Output to resume after.
    progress: Option<Payload>,
}

/// Items that a former owner may have handed out.
#[derive(Debug, Clone, Copy)]
struct HeldRange {
    next: u32,
    end: u32,
    until: MonoTime,
}

/// The next item to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ItemPick {
    /// The item.
    pub(crate) item: ItemIndex,
    /// Whether a target crashed with it: it leaves alone.
    pub(crate) suspect: bool,
}

/// What an item takes along.
#[derive(Debug, Clone)]
pub(crate) struct ItemLeave {
    /// Number of the try, unique for the item over all owners.
    pub(crate) attempt: u64,
    /// Output to resume after.
    pub(crate) progress: Option<Payload>,
}

/// Dispatch state of one running job. An open item is in exactly one of: `tracked`, the held
/// range, or the stretch from `next` on.
#[derive(Debug)]
pub(crate) struct JobQueue {
    /// First item never handed out; those before it are ended, tracked or held.
    next: u32,
    held: Option<HeldRange>,
    /// Bounded: above the settings' `tracked_items` nothing leaves from `next`.
    tracked: FastMap<u32, ItemTrack>,
    /// Tracked items in place `Waiting`, those with crashes left out.
    waiting: BTreeSet<(MonoTime, u32)>,
    /// Tracked items in place `Waiting` with crashes.
    suspects: BTreeSet<(MonoTime, u32)>,
    /// Tracked items in place `Leased`.
    leased: u32,
    /// Bytes of progress held.
    progress_bytes: usize,
    /// Whether a cancellation waits for its commit; nothing leaves meanwhile.
    pub(crate) stopping: bool,
}

impl JobQueue {
    /// The queue of a job accepted by this owner.
    pub(crate) fn new() -> Self {
        Self {
            next: 0,
            held: None,
            tracked: FastMap::default(),
            waiting: BTreeSet::new(),
            suspects: BTreeSet::new(),
            leased: 0,
            progress_bytes: 0,
            stopping: false,
        }
    }

    /// The queue of a job taken over. A former owner's lots may still run: an item may be at a
    /// sidecar if it lies within `window` of the last ended one, so that stretch is held back
    /// until `until`, and the rest leaves at once.
    pub(crate) fn taken_over(job: &JobState, window: u32, until: MonoTime) -> Self {
        let items = job.items();
        let first_free = items.last_ended().map_or(0, |item| item.0 + 1);
        let end = first_free.saturating_add(window).min(items.len());
        let held = Some(HeldRange { next: 0, end, until });
        let mut queue = Self { next: end, held, ..Self::new() };
        // Without their crashes at hand, suspects would leave in company again.
        for item in job.troubled() {
            queue.track(job, item);
            queue.set_place(item, ItemPlace::Waiting(until));
        }
        for item in job.claims().keys() {
            queue.track(job, ItemIndex(*item));
            queue.set_place(ItemIndex(*item), ItemPlace::Unsure);
        }
        queue
    }

    /// Items with sidecars.
    pub(crate) fn leased(&self) -> u32 {
        self.leased
    }

    /// Bytes of progress held.
    pub(crate) fn progress_bytes(&self) -> usize {
        self.progress_bytes
    }

    /// An item that is tracked.
    pub(crate) fn get(&self, item: ItemIndex) -> Option<&ItemTrack> {
        self.tracked.get(&item.0)
    }

    /// Where a tracked item is.
    pub(crate) fn place(&self, item: ItemIndex) -> Option<ItemPlace> {
        self.get(item).map(|track| track.place)
    }

    /// Tracks an open item, with what the records know of its attempts.
    pub(crate) fn track(&mut self, job: &JobState, item: ItemIndex) -> &mut ItemTrack {
        self.tracked.entry(item.0).or_insert_with(|| {
            let tries = job.tries(item).cloned().unwrap_or_default();
            ItemTrack {
                place: ItemPlace::Unsure,
                attempts: tries.attempts,
                issued: 0,
                crashed_on: tries.crashed_on,
                progress: None,
            }
        })
    }

    /// Moves a tracked item.
    pub(crate) fn set_place(&mut self, item: ItemIndex, place: ItemPlace) {
        let Some(track) = self.tracked.get_mut(&item.0) else { return };
        let before = std::mem::replace(&mut track.place, place);
        let suspect = !track.crashed_on.is_empty();
        match before {
            ItemPlace::Waiting(at) => {
                self.waiting.remove(&(at, item.0));
                self.suspects.remove(&(at, item.0));
            }
            ItemPlace::Leased { .. } => self.leased -= 1,
            _ => {}
        }
        match place {
            ItemPlace::Waiting(at) if suspect => {
                self.suspects.insert((at, item.0));
            }
            ItemPlace::Waiting(at) => {
                self.waiting.insert((at, item.0));
            }
            ItemPlace::Leased { .. } => self.leased += 1,
            _ => {}
        }
    }

    /// Keeps the output of an item that stepped aside.
    pub(crate) fn keep_progress(&mut self, item: ItemIndex, progress: Option<Payload>) {
        let Some(track) = self.tracked.get_mut(&item.0) else { return };
        let Some(progress) = progress else { return };
        self.progress_bytes += progress.len();
        let before = track.progress.replace(progress);
        self.progress_bytes -= before.map_or(0, |before| before.len());
    }

    /// Forgets an item that ended.
    pub(crate) fn forget(&mut self, item: ItemIndex) {
        self.set_place(item, ItemPlace::Ending);
        if let Some(track) = self.tracked.remove(&item.0) {
            self.progress_bytes -= track.progress.map_or(0, |progress| progress.len());
        }
    }

    /// The next item that may leave for `vm`: one that crashed a target, then returned ones,
    /// then a former owner's, then new ones. A suspect avoids the VMs that it crashed, for as
    /// long as `patience`; `alone` says whether a suspect may be picked at all.
    pub(crate) fn peek(
        &mut self,
        job: &JobState,
        now: MonoTime,
        query: PickQuery<'_>,
    ) -> Option<ItemPick> {
        if query.alone
            && let Some(item) = self.ready_suspect(now, query)
        {
            return Some(ItemPick { item, suspect: true });
        }
        let item = self
            .ready_waiting(now)
            .or_else(|| self.ready_held(job, now))
            .or_else(|| self.ready_new(job, query.tracked_items))?;
        Some(ItemPick { item, suspect: false })
    }

    /// Takes the picked item out; its place is the caller's to set.
    pub(crate) fn take(&mut self, job: &JobState, pick: ItemPick, epoch: Epoch) -> ItemLeave {
        let track = self.track(job, pick.item);
        track.issued += 1;
        let attempt = epoch.0 << ATTEMPT_BITS | u64::from(track.issued);
        let progress = track.progress.clone();
        ItemLeave { attempt, progress }
    }

    fn ready_suspect(&self, now: MonoTime, query: PickQuery<'_>) -> Option<ItemIndex> {
        let ready: btree_set::Range<'_, _> = self.suspects.range(..=(now, u32::MAX));
        let fits = |at: MonoTime, item: u32| {
            let crashed = self.tracked.get(&item).is_some_and(|t| t.crashed_on.contains(query.vm));
            !crashed || at + query.patience <= now
        };
        ready.copied().find(|(at, item)| fits(*at, *item)).map(|(_, item)| ItemIndex(item))
    }

    fn ready_waiting(&self, now: MonoTime) -> Option<ItemIndex> {
        let (at, item) = self.waiting.first()?;
        (*at <= now).then_some(ItemIndex(*item))
    }

    fn ready_held(&mut self, job: &JobState, now: MonoTime) -> Option<ItemIndex> {
        let mut held = self.held.filter(|held| held.until <= now)?;
        held.next = self.first_free(job, held.next, held.end);
        self.held = (held.next < held.end).then_some(held);
        self.held.map(|held| ItemIndex(held.next))
    }

    fn ready_new(&mut self, job: &JobState, tracked_items: usize) -> Option<ItemIndex> {
        if self.tracked.len() >= tracked_items {
            return None;
        }
        self.next = self.first_free(job, self.next, job.items().len());
        (self.next < job.items().len()).then_some(ItemIndex(self.next))
    }

    /// The first item of a stretch that is open and not tracked; its end when there is none.
    fn first_free(&self, job: &JobState, from: u32, end: u32) -> u32 {
        let taken = |item: u32| {
            let open = job.items().state(ItemIndex(item)) == Some(ItemState::Open);
            !open || self.tracked.contains_key(&item)
        };
        (from..end).find(|item| !taken(*item)).unwrap_or(end)
    }
}

/// Who asks for the next item, and within which limits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PickQuery<'a> {
    /// The asking sidecar's VM.
    pub(crate) vm: &'a VmName,
    /// Whether the lot is still empty, so that a suspect would be alone in it.
    pub(crate) alone: bool,
    /// How long a suspect avoids the VMs that it crashed.
    pub(crate) patience: Duration,
    /// Most tracked items.
    pub(crate) tracked_items: usize,
}
