//! When which request wants attention.

use std::collections::BTreeSet;

use notch_types::prelude::*;

/// At most one time for each request; bounded by the number of requests.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    times: FastMap<RequestId, MonoTime>,
    /// The same pairs as `times`, earliest first.
    order: BTreeSet<(MonoTime, RequestId)>,
}

impl TimerQueue {
    /// Sets, moves or clears the request's time.
    pub(crate) fn set(&mut self, request: RequestId, at: Option<MonoTime>) {
        let before = match at {
            Some(at) => self.times.insert(request, at),
            None => self.times.remove(&request),
        };
        if before == at {
            return;
        }
        if let Some(before) = before {
            self.order.remove(&(before, request));
        }
        if let Some(at) = at {
            self.order.insert((at, request));
        }
    }

    /// The earliest time.
    pub(crate) fn next(&self) -> Option<MonoTime> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Takes out the earliest request whose time has come.
    pub(crate) fn pop_due(&mut self, now: MonoTime) -> Option<RequestId> {
        let (at, request) = *self.order.first()?;
        if at > now {
            return None;
        }
        self.order.pop_first();
        self.times.remove(&request);
        Some(request)
    }
}
