//! Ends of calls that wait until the other gateways know of a crash.

use notch_types::prelude::*;

use crate::effect::RouterEffect;

/// A crash that the other gateways are being told of.
#[derive(Debug, PartialEq, Eq)]
struct CrashNews {
    /// The VM whose target crashed.
    vm: VmName,
    /// Whether the suspect was the only one in flight.
    alone: bool,
}

/// What is under way for one suspect.
#[derive(Debug)]
struct HeldNews {
    crashes: Vec<CrashNews>,
    until: MonoTime,
    /// In their order.
    effects: Vec<RouterEffect>,
}

/// Ends of calls whose request was in flight at a crash, until the other gateways know it.
///
/// What goes wrong without it: a caller is told that its send came to nothing and sends again
/// through another gateway, faster than the word of the crash. Sent out there beside others, the request
/// crashes a second target with company; then both crashes together name nobody, and it takes a third.
/// One would notice `suspects_named` lines of two VMs that both name several requests.
///
/// Held for a bounded time only: a gateway that doesn't answer must not keep callers waiting. Bounded in
/// number by the crashes of that time.
#[derive(Debug, Default)]
pub struct HeldEnds {
    news: FastMap<Fingerprint, HeldNews>,
}

impl HeldEnds {
    /// The other gateways are about to be told; false when they are being told that already.
    pub fn begin(
        &mut self,
        fingerprint: Fingerprint,
        vm: &VmName,
        alone: bool,
        until: MonoTime,
    ) -> bool {
        let crash = CrashNews { vm: vm.clone(), alone };
        let news = self.news.entry(fingerprint).or_insert_with(|| HeldNews {
            crashes: Vec::new(),
            until,
            effects: Vec::new(),
        });
        if news.crashes.contains(&crash) {
            return false;
        }
        news.crashes.push(crash);
        news.until = until;
        true
    }

    /// Keeps an effect back while the other gateways are being told of `fingerprint`; else gives it back.
    pub fn hold(&mut self, fingerprint: Fingerprint, effect: RouterEffect) -> Option<RouterEffect> {
        match self.news.get_mut(&fingerprint) {
            Some(news) => {
                news.effects.push(effect);
                None
            }
            None => Some(effect),
        }
    }

    /// The other gateways know, or aren't waited for any longer: what was kept back, in its order.
    pub fn release(&mut self, fingerprint: Fingerprint) -> Vec<RouterEffect> {
        self.news.remove(&fingerprint).map(|news| news.effects).unwrap_or_default()
    }

    /// The suspect for which an end of `request` is kept back.
    pub fn suspect_of(&self, request: RequestId) -> Option<Fingerprint> {
        let is_its_end = |effect: &RouterEffect| matches!(effect, RouterEffect::Finish { request: held, .. } if *held == request);
        let news = self.news.iter().find(|(_, news)| news.effects.iter().any(is_its_end));
        news.map(|(fingerprint, _)| *fingerprint)
    }

    /// Suspects whose time is up.
    pub fn due(&self, now: MonoTime) -> Vec<Fingerprint> {
        let due = self.news.iter().filter(|(_, news)| news.until <= now);
        let mut due: Vec<Fingerprint> = due.map(|(fingerprint, _)| *fingerprint).collect();
        due.sort_unstable();
        due
    }

    /// When the first one's time is up.
    pub fn next_wake(&self) -> Option<MonoTime> {
        self.news.values().map(|news| news.until).min()
    }

    /// Effects kept back.
    pub fn len(&self) -> usize {
        self.news.values().map(|news| news.effects.len()).sum()
    }

    /// Whether nothing is kept back.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
