//! Numbers of calls to other gateways.

use std::time::Duration;

use async_std::task;
use notch_entry::peers::calls::{CallEnd, CallTable};

const WAIT: Duration = Duration::from_millis(50);

/// Guards against an answer to a call of a gateway's earlier process that is taken for the answer to one of its later
/// process: the number alone tells which call an answer belongs to.
#[test]
fn calls_of_two_processes_have_different_numbers() {
    task::block_on(async {
        let (earlier, later) = (CallTable::<&str>::default(), CallTable::<&str>::default());
        let mut numbers = Vec::new();
        for _ in 0..100 {
            let note = |call| {
                numbers.push(call);
                false
            };
            assert!(matches!(earlier.ask(note, WAIT).await, CallEnd::NotSent));
        }
        for _ in 0..10 {
            let deliver = |_| {
                numbers.iter().for_each(|call| later.answer(*call, "the answer to another call"));
                true
            };
            assert!(matches!(later.ask(deliver, WAIT).await, CallEnd::Unanswered));
        }
    });
}

/// Guards against an answer that no call takes.
#[test]
fn an_answer_reaches_its_call() {
    task::block_on(async {
        let calls = CallTable::<&str>::default();
        let deliver = |call| {
            calls.answer(call, "its answer");
            true
        };
        assert!(matches!(calls.ask(deliver, WAIT).await, CallEnd::Answered("its answer")));
    });
}
