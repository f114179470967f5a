//! The targets of the cluster, and releases of their software.

use std::{
    sync::{
        Arc, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::task;
use notch_platform_standins::{
    store::StandInStore,
    target::{Conduct, StandInTarget},
};
use rustix::process::Signal;

use super::{SoakCluster, start_proxy};
use crate::{
    culprit::CrashCulprit,
    failing_items::FailingItems,
    fault::GatewayLag,
    proxy::{FaultProxy, ProxyMode},
};

/// How a new target of a release answers first, so that clients take streams up.
const RELEASED_CONDUCT: [Conduct; 6] = [Conduct::CutAfter(3); 6];
/// Time from the end of a lag to the next release. Connections that broke are opened again in it.
const RELEASE_GAP: Duration = Duration::from_secs(2);

/// A target and the proxy in front of it. A replaced target gets a new id.
#[derive(Debug)]
pub(super) struct TargetHandle {
    pub(super) target: StandInTarget,
    pub(super) proxy: FaultProxy,
    pub(super) replacements: u32,
}

/// How targets behave in all runs.
#[derive(Debug, Clone)]
pub(super) struct TargetConduct {
    /// Delay of each event, milliseconds.
    pub(super) event_delay_ms: u64,
    /// Whether they have several versions of their software and name theirs in their events.
    pub(super) names_version: bool,
    /// Number of releases so far, each of which brought a version; `None` where two versions stay in service.
    pub(super) releases: Option<Arc<AtomicUsize>>,
    /// Whether they fail the items of [`FailingItems`].
    pub(super) fails_items: bool,
    /// What crashes them.
    pub(super) culprits: Vec<CrashCulprit>,
}

impl SoakCluster {
    /// Whether no release is going on.
    pub fn is_released(&self) -> bool {
        !self.is_releasing.load(Ordering::Acquire)
    }

    pub(super) async fn release(
        &self,
        gateway: usize,
        lag: GatewayLag,
        lead: Duration,
        duration: Duration,
    ) {
        self.is_releasing.store(true, Ordering::Release);
        let proxies = [&self.store_proxies[gateway], &self.link_proxies[gateway]];
        match lag {
            GatewayLag::Cut => proxies.iter().for_each(|proxy| proxy.set(ProxyMode::Silent)),
            GatewayLag::Pause => {
                self.begin_outage(gateway, |process| process.signal(Signal::STOP));
            }
        }
        task::sleep(lead).await;
        if let Some(releases) = &self.conduct.releases {
            releases.fetch_add(1, Ordering::AcqRel);
        }
        for number in 0..self.targets.len() {
            self.replace_target(number).await;
            self.target(number).target.conduct(&RELEASED_CONDUCT);
        }
        task::sleep(duration).await;
        match lag {
            GatewayLag::Cut => proxies.iter().for_each(|proxy| proxy.set(ProxyMode::Pass)),
            GatewayLag::Pause => {
                self.end_outage(gateway, |process| process.signal(Signal::CONT));
            }
        }
        task::sleep(RELEASE_GAP).await;
        self.is_releasing.store(false, Ordering::Release);
    }

    pub(super) async fn replace_target(&self, number: usize) {
        let (replaced, replacements) = {
            let handle = self.target(number);
            (handle.target.clone(), handle.replacements + 1)
        };
        let next = start_target(&self.store, number, replacements, &self.conduct).await;
        self.store.delete("servers", &replaced.id);
        self.replaced.lock().unwrap_or_else(PoisonError::into_inner).push(replaced);
        *self.target(number) = next;
    }
}

pub(super) async fn start_target(
    store: &StandInStore,
    number: usize,
    replacements: u32,
    conduct: &TargetConduct,
) -> TargetHandle {
    let id = format!("t-{number}-{replacements}");
    let version = match &conduct.releases {
        Some(releases) => releases.load(Ordering::Acquire) + 1,
        None if conduct.names_version => 1 + (number + replacements as usize) % 2,
        None => 1,
    };
    let target = StandInTarget::start_version(&id, &format!("v{version}")).await;
    target.mark_events();
    target.slow_down(conduct.event_delay_ms);
    if conduct.names_version {
        target.name_version();
    }
    if conduct.fails_items {
        for items in FailingItems::ALL {
            target.fail_items_ending(items.prefix(), items.status(), items.end);
        }
    }
    conduct.culprits.iter().for_each(|culprit| target.crash_on(culprit.target_crash()));
    let proxy = start_proxy(target.address).await;
    store.put("servers", &id, target.entry_at(proxy.address));
    TargetHandle { target, proxy, replacements }
}
