//! News of crashes that other gateways have yet to answer.

use std::time::Duration;

use notch_types::prelude::*;

/// News that isn't answered for this long is given up: the router waits for a fraction of it.
const CALL_AGE: Duration = Duration::from_secs(2);

/// News of one crash.
#[derive(Debug)]
struct SuspectCall {
    fingerprint: Fingerprint,
    /// Gateways that haven't answered.
    silent: FastSet<VmName>,
    since: MonoTime,
}

/// News of crashes that other gateways have yet to answer. Bounded by the crashes of two seconds.
#[derive(Debug, Default)]
pub struct SuspectCalls {
    calls: FastMap<CallId, SuspectCall>,
    last: u64,
}

impl SuspectCalls {
    /// These gateways are being told; the number of the news.
    pub fn begin(
        &mut self,
        now: MonoTime,
        fingerprint: Fingerprint,
        gateways: &[VmName],
    ) -> CallId {
        self.calls.retain(|_, call| now.since(call.since) < CALL_AGE);
        self.last += 1;
        let call = CallId(self.last);
        let silent = gateways.iter().cloned().collect();
        self.calls.insert(call, SuspectCall { fingerprint, silent, since: now });
        call
    }

    /// A gateway knows of the crash; the suspect, if nobody is left who hasn't heard all news of it.
    pub fn heard(&mut self, call: CallId, gateway: &VmName) -> Option<Fingerprint> {
        let news = self.calls.get_mut(&call)?;
        news.silent.remove(gateway);
        if !news.silent.is_empty() {
            return None;
        }
        let fingerprint = news.fingerprint;
        self.calls.remove(&call);
        let is_told = self.calls.values().all(|other| other.fingerprint != fingerprint);
        is_told.then_some(fingerprint)
    }

    /// The link to a gateway is lost: it isn't waited for. Suspects of which all others know.
    pub fn gateway_gone(&mut self, gateway: &VmName) -> Vec<Fingerprint> {
        let mut calls: Vec<CallId> = self.calls.keys().copied().collect();
        calls.sort_unstable();
        calls.into_iter().filter_map(|call| self.heard(call, gateway)).collect()
    }
}
