//! Finding records and names among segments.

use crate::{
    segment::SegmentRef,
    seq::{Seq, SeqRange},
};

/// The segment that holds a place. `segments` are in order and don't overlap.
pub(crate) fn find_segment(segments: &[SegmentRef], seq: Seq) -> Option<SegmentRef> {
    let after = segments.partition_point(|segment| segment.first <= seq);
    let segment = *segments.get(after.checked_sub(1)?)?;
    (seq < segment.range().until).then_some(segment)
}

/// Whether a segment of this name is among them.
pub(crate) fn names_segment(segments: &[SegmentRef], first: Seq, nonce: u64) -> bool {
    find_segment(segments, first)
        .is_some_and(|segment| segment.first == first && segment.nonce == nonce)
}

/// The segments that hold a place of some range.
pub(crate) fn retain_needed(
    segments: impl Iterator<Item = SegmentRef>,
    mut needed: Vec<SeqRange>,
) -> Vec<SegmentRef> {
    needed.retain(|range| range.from < range.until);
    needed.sort_unstable();
    let mut merged: Vec<SeqRange> = Vec::with_capacity(needed.len());
    for range in needed {
        match merged.last_mut() {
            Some(last) if range.from <= last.until => last.until = last.until.max(range.until),
            _ => merged.push(range),
        }
    }
    let is_needed = |segment: &SegmentRef| {
        let range = segment.range();
        let first_after = merged.partition_point(|needed| needed.until <= range.from);
        merged.get(first_after).is_some_and(|needed| needed.overlaps(range))
    };
    segments.filter(is_needed).collect()
}
