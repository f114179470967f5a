//! Copies of jobs for readers.

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

/// Symptom: a job is said to have no items, or a result that was read isn't there any more. Sequence:
/// a reader takes a job's copy and asks the owner for more; other jobs' results push the copy out;
/// the owner answers with what follows. Cause: the answer was joined to the copy held by then, which
/// was a new and empty one, and the reader was answered from that.
#[test]
fn a_copy_dropped_meanwhile_leaves_no_gap() {
    let mut copies = JobCache::default();
    copies.keep("j1", copy(vec![line(0, 9), line(1, 9)]));
    let mut taken = copies.get("j1").cloned().expect("it is held");
    for other in 0..3 {
        copies.keep(&format!("other {other}"), copy(vec![line(0, 3 << 20)]));
    }
    assert!(copies.get("j1").is_none(), "dropped for want of memory");
    taken.extend(2, &[line(2, 9)], true);
    copies.keep("j1", taken);
    let held = copies.get("j1").expect("it is held again");
    assert_eq!(held.lines.len(), 3);
    assert_eq!(held.total, Some(9));
}

#[test]
fn a_shorter_copy_changes_nothing() {
    let mut copies = JobCache::default();
    copies.keep("j1", copy(vec![line(0, 9), line(1, 9)]));
    copies.keep("j1", copy(vec![line(0, 9)]));
    let held = copies.get("j1").expect("it is held");
    assert_eq!((held.lines.len(), held.chunk_end), (2, 2));
}

#[test]
fn lines_held_already_are_passed_over() {
    let mut copy = copy(vec![line(0, 9), line(1, 9)]);
    copy.extend(1, &[line(1, 9), line(2, 9)], true);
    assert_eq!(copy.lines.len(), 3);
    copy.extend(7, &[line(7, 9)], true);
    assert_eq!((copy.lines.len(), copy.chunk_end), (3, 3), "a gap is not filled by guessing");
}
