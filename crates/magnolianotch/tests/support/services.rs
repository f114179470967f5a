//! Plain services with sidecars of their own, beside a fleet's engines.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use magnolianotch::fleet::{LocalFleet, local_fleet::target_vm};
use notch_messages::prelude::EntryKind;
use notch_platform::{VmRecord, VmRole, VmState};
use notch_sidecar::prelude::*;
use notch_standins::{ServiceHandle, ServiceSettings};
use notch_types::{class::TargetKind, prelude::*};
use serde_json::json;

use super::until;

/// Catalogue name of the service whose calls run at most once.
pub const BOOKING: &str = "booking";
/// The secret of a local fleet's links.
const SECRET: &str = "a local fleet's own secret";

/// The service's instances.
pub struct BookingService {
    pub instances: Vec<ServiceHandle>,
    /// Number of the first one's VM.
    first_vm: usize,
}

impl BookingService {
    /// Starts `count` instances, each with its sidecar, and waits until every gateway has links
    /// to them and the entry is in force.
    pub async fn start(fleet: &mut LocalFleet, count: usize, delay: Duration) -> Self {
        let entry = json!({
            "owner": "tests",
            "class": "online",
            "kind": "service",
            "idempotent": false,
            "limits": { "concurrency": 16, "queue": 64, "default_deadline_ms": 5_000 },
        });
        fleet.put_entry(EntryKind::Target, BOOKING, &entry).await.expect("the store takes it");
        let mut service = Self { instances: Vec::new(), first_vm: fleet.sidecars.len() };
        for _ in 0..count {
            service.add(fleet, delay).await;
        }
        let linked = fleet.sidecars.iter().flatten().count() as i64;
        until("gateways have links to the services", || {
            fleet.gateways.iter().flatten().all(|gateway| gateway.sidecars_linked() == linked)
        })
        .await;
        service
    }

    async fn add(&mut self, fleet: &mut LocalFleet, delay: Duration) {
        let settings = ServiceSettings { delay, ..ServiceSettings::default() };
        let instance = ServiceHandle::start(settings).await.expect("it listens");
        let vm = target_vm(fleet.sidecars.len());
        let domain = DomainName::new(fleet.settings().profile.domains[0]);
        let mut settings = fleet.settings().sidecar.clone();
        let config = &mut settings.config;
        config.node.vm = vm.clone();
        config.node.domain = domain.clone();
        config.listen.links = any_port();
        config.listen.metrics = any_port();
        config.links.secret = Some(SECRET.to_owned());
        config.links.secret_file = None;
        config.target.address = instance.address();
        config.target.name = TargetName::new(BOOKING);
        config.target.kind = TargetKind::Service;
        let sidecar = SidecarHandle::start(settings).await.expect("it starts");
        let address = sidecar.links_address().expect("it runs").to_string();
        let record = VmRecord { vm, role: VmRole::Target, address, domain, state: VmState::Live };
        fleet.platform.vms().put(record);
        fleet.sidecars.push(Some(sidecar));
        self.instances.push(instance);
    }

    /// How often each call began to run, over all instances.
    pub fn started(&self) -> BTreeMap<String, u64> {
        let mut started = BTreeMap::new();
        for instance in &self.instances {
            for (key, counts) in instance.runs().all() {
                *started.entry(key).or_default() += counts.started;
            }
        }
        started
    }

    /// Calls that began to run, over all instances.
    pub fn total_started(&self) -> u64 {
        self.started().values().sum()
    }

    /// Ends the sidecar of an instance at once.
    pub fn kill_sidecar(&self, fleet: &mut LocalFleet, instance: usize) {
        drop(fleet.sidecars[self.first_vm + instance].take());
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
