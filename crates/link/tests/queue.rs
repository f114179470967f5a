//! Send queue of a link whose other end reads slowly.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up is the failure of the test")]

use async_std::task;
use notch_link::{
    prelude::*,
    queue::{LinkQueue, QueueLimits},
};
use notch_messages::prelude::*;

fn report(configuration: u64) -> EncodedMessage {
    let (uses, targets, digest, is_watching) = (Vec::new(), 0, 0, false);
    let report = PeerMessage::Report {
        uses,
        configuration,
        targets,
        digest,
        is_watching,
        gateways: None,
        waiting: Vec::new(),
        paces: Vec::new(),
        shares: Vec::new(),
    };
    EncodedMessage::encode(&LinkMessage::Peer(report)).unwrap()
}

fn job_closed(number: usize) -> EncodedMessage {
    let closed = PeerMessage::JobClosed(format!("{number:0>100}"));
    EncodedMessage::encode(&LinkMessage::Peer(closed)).unwrap()
}

fn queue(bytes: usize) -> LinkQueue {
    LinkQueue::new(QueueLimits { messages: 4_096, bytes })
}

fn waiting(queue: &LinkQueue) -> Vec<EncodedMessage> {
    std::iter::from_fn(|| queue.try_pop()).collect()
}

// Guards against memory use that grows with the messages that a slow peer hasn't read.
#[test]
fn a_full_queue_refuses_by_bytes() {
    let queue = queue(2_000);
    let fitting = 2_000 / job_closed(0).len();
    for number in 0..fitting {
        assert_eq!(queue.try_push(job_closed(number)), Ok(()));
    }
    assert_eq!(queue.try_push(job_closed(99)), Err(LinkError::Full));
    assert_eq!(queue.try_pop(), Some(job_closed(0)));
    assert_eq!(queue.try_push(job_closed(99)), Ok(()), "there is room again");
    let mut expected: Vec<_> = (1..fitting).map(job_closed).collect();
    expected.push(job_closed(99));
    assert_eq!(waiting(&queue), expected);
}

// Guards against messages that can never be sent because they exceed the size limit of the queue.
#[test]
fn a_message_larger_than_the_queue_is_queued_alone() {
    let queue = queue(50);
    assert_eq!(queue.try_push(job_closed(1)), Ok(()));
    assert_eq!(queue.try_push(job_closed(2)), Err(LinkError::Full));
    assert_eq!(waiting(&queue), [job_closed(1)]);
}

// Guards against sending outdated states before the newest one to a slow peer.
#[test]
fn a_newer_state_replaces_the_queued_one() {
    let queue = queue(2_000);
    queue.try_push(job_closed(1)).unwrap();
    for configuration in 1..=1_000 {
        assert_eq!(queue.try_push(report(configuration)), Ok(()));
    }
    queue.try_push(job_closed(2)).unwrap();
    queue.try_push(report(1_001)).unwrap();
    assert_eq!(waiting(&queue), [job_closed(1), job_closed(2), report(1_001)]);
}

// Guards against a writer that waits forever, and against messages that are lost when the queue is
// closed.
#[test]
fn a_closed_queue_can_be_drained() {
    let queue = queue(2_000);
    queue.try_push(job_closed(1)).unwrap();
    queue.close();
    assert_eq!(queue.try_push(job_closed(2)), Err(LinkError::Closed));
    assert_eq!(task::block_on(queue.pop()), Some(job_closed(1)));
    assert_eq!(task::block_on(queue.pop()), None);
}
