//! The cache of jobs for readers.

use std::sync::Arc;

use notch_entry::batch::job_cache::{CachedJob, JobCache};
use notch_relay::prelude::*;

fn line(id: usize, bytes: usize) -> Arc<ResultLine> {
    let (state, output) = (ItemState::Completed, "x".repeat(bytes));
    Arc::new(ResultLine { id: id.to_string(), state, output })
}

fn copy(lines: Vec<Arc<ResultLine>>) -> CachedJob {
    let mut copy = CachedJob::default();
    copy.total = Some(9);
    copy.extend(0, &lines, true);
    copy
}

/// Guards against a read that shows a job without items or without a result that was shown before.
/// A reader takes the cached copy of a job and asks the owner for more; results of other jobs evict
/// the copy; the owner answers with the results that follow. The answer was then appended to a new,
/// empty copy, and the reader was answered from that.
#[test]
fn a_copy_evicted_during_a_read_leaves_no_gap() {
    let mut cache = JobCache::default();
    cache.keep("j1", copy(vec![line(0, 9), line(1, 9)]));
    let mut gathered = cache.get("j1").cloned().expect("the job is cached");
    for other in 0..3 {
        cache.keep(&format!("other {other}"), copy(vec![line(0, 3 << 20)]));
    }
    assert!(cache.get("j1").is_none(), "evicted to free memory");
    gathered.extend(2, &[line(2, 9)], true);
    cache.keep("j1", gathered);
    let held = cache.get("j1").expect("the job is cached again");
    assert_eq!(held.lines.len(), 3);
    assert_eq!(held.total, Some(9));
}

#[test]
fn a_shorter_copy_replaces_nothing() {
    let mut cache = JobCache::default();
    cache.keep("j1", copy(vec![line(0, 9), line(1, 9)]));
    cache.keep("j1", copy(vec![line(0, 9)]));
    let held = cache.get("j1").expect("the job is cached");
    assert_eq!((held.lines.len(), held.chunk_end), (2, 2));
}

#[test]
fn lines_held_already_are_skipped() {
    let mut copy = copy(vec![line(0, 9), line(1, 9)]);
    copy.extend(1, &[line(1, 9), line(2, 9)], true);
    assert_eq!(copy.lines.len(), 3);
    copy.extend(7, &[line(7, 9)], true);
    assert_eq!((copy.lines.len(), copy.chunk_end), (3, 3), "lines after a gap are not appended");
}
