//! Links of this gateway: which stand, which are dialled, what waits for one.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use notch_link::prelude::*;
use notch_membership::{MemberRoster, gateways_of, sidecars_of};
use notch_messages::prelude::*;
use notch_types::prelude::*;

/// Messages held for a gateway while its link is being dialled.
const WAITING: usize = 64;
/// A link dialled for one message is kept this long after its last use.
const ON_DEMAND_KEEP: Duration = Duration::from_secs(60);
/// Gateways through which a message for a sidecar without a link is relayed.
const RELAYS: usize = 2;

/// A sidecar VM as the VM list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedSidecar {
    /// Its VM.
    pub vm: VmName,
    /// Where it takes links.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct DialedPeer {
    address: SocketAddr,
    /// Dropping it ends the link.
    _dialer: LinkDialer,
    /// Last use of a link dialled on demand; `None` for one that is to stay.
    on_demand: Option<MonoTime>,
}

#[derive(Debug)]
struct StandingLink {
    link: LinkHandle,
    role: NodeRole,
}

/// Links and dialers. Bounds: sidecars of the subset, partners, and on-demand peers that expire.
pub struct LinkDesk {
    vm: VmName,
    settings: LinkSettings,
    sink: LinkSink,
    /// Gateways that each sidecar is linked to.
    subset: usize,
    /// Newest link to each VM.
    links: FastMap<VmName, StandingLink>,
    dialers: FastMap<VmName, DialedPeer>,
    /// Messages waiting for a link, at most [`WAITING`] a VM.
    waiting: FastMap<VmName, VecDeque<LinkMessage>>,
    sidecars: Vec<ListedSidecar>,
    partners: Vec<VmName>,
}

impl LinkDesk {
    /// A desk without links.
    pub fn new(settings: LinkSettings, subset: usize, sink: LinkSink) -> Self {
        Self {
            vm: settings.vm.clone(),
            settings,
            sink,
            subset,
            links: FastMap::default(),
            dialers: FastMap::default(),
            waiting: FastMap::default(),
            sidecars: Vec::new(),
            partners: Vec::new(),
        }
    }

    /// A link stands: the newest one to a VM is used.
    pub fn up(&mut self, peer: &LinkPeer, link: LinkHandle) {
        for message in self.waiting.remove(&peer.vm).unwrap_or_default() {
            let _ = link.send(message);
        }
        self.links.insert(peer.vm.clone(), StandingLink { link, role: peer.role });
    }

    /// A link ended; says whether it was the one in use.
    pub fn down(&mut self, peer: &LinkPeer, link: u64) -> bool {
        let current = self.links.get(&peer.vm).is_some_and(|standing| standing.link.id() == link);
        if current {
            self.links.remove(&peer.vm);
        }
        current
    }

    /// Whether a message that came on `link` is of the link in use.
    pub fn is_current(&self, vm: &VmName, link: u64) -> bool {
        self.links.get(vm).is_some_and(|standing| standing.link.id() == link)
    }

    /// Whether a link to the VM stands.
    pub fn is_linked(&self, vm: &VmName) -> bool {
        self.links.contains_key(vm)
    }

    /// Number of links to processes of a role.
    pub fn count(&self, role: NodeRole) -> usize {
        self.links.values().filter(|standing| standing.role == role).count()
    }

    /// VMs linked to, by role, in name order.
    pub fn linked(&self, role: NodeRole) -> Vec<VmName> {
        let of_role = self.links.iter().filter(|(_, standing)| standing.role == role);
        let mut vms: Vec<VmName> = of_role.map(|(vm, _)| vm.clone()).collect();
        vms.sort();
        vms
    }

    /// Sidecars of the VM list, linked here or not.
    pub fn listed(&self) -> &[ListedSidecar] {
        &self.sidecars
    }

    /// Sends on the standing link.
    ///
    /// # Errors
    /// When there is none, or it can take no more; nothing was sent then.
    pub fn send(&self, to: &VmName, message: LinkMessage) -> Result<(), LinkError> {
        let standing = self.links.get(to).ok_or(LinkError::Closed)?;
        standing.link.send(message)
    }

    /// Sends to a gateway, dialling `address` when there is no link. What can't be sent in the
    /// end is lost, as on any network: every protocol over links asks again.
    pub fn send_dialing(
        &mut self,
        now: MonoTime,
        to: &VmName,
        address: Option<&str>,
        message: LinkMessage,
    ) {
        if let Some(peer) = self.dialers.get_mut(to)
            && peer.on_demand.is_some()
        {
            peer.on_demand = Some(now);
        }
        if let Some(standing) = self.links.get(to) {
            let _ = standing.link.send(message);
            return;
        }
        let waiting = self.waiting.entry(to.clone()).or_default();
        if waiting.len() == WAITING {
            waiting.pop_front();
        }
        waiting.push_back(message);
        if let Some(address) = address.and_then(|address| address.parse().ok()) {
            self.dial(to, address, Some(now));
        }
    }

    /// Sends to a sidecar, or through gateways that are linked to it.
    pub fn send_sidecar(
        &self,
        to: &VmName,
        message: SidecarMessage,
        roster: &MemberRoster,
    ) -> Vec<(VmName, LinkMessage)> {
        let wrapped = LinkMessage::ToSidecar(message.clone());
        if self.send(to, wrapped).is_ok() {
            return Vec::new();
        }
        let others = gateways_of(to, roster, self.subset).into_iter().filter(|vm| *vm != self.vm);
        others
            .take(RELAYS)
            .map(|vm| (vm, LinkMessage::Relay { vm: to.clone(), message: message.clone() }))
            .collect()
    }

    /// The gateways to keep links to. The one with the lesser name dials, so that two partners
    /// don't keep two links; the other dials on demand.
    pub fn set_partners(&mut self, partners: Vec<(VmName, Option<String>)>) {
        self.partners = partners.iter().map(|(vm, _)| vm.clone()).collect();
        for (vm, address) in partners {
            let address = address.and_then(|address| address.parse().ok());
            if let Some(address) = address.filter(|_| self.vm < vm) {
                self.dial(&vm, address, None);
            }
        }
    }

    /// The VM list's sidecars; says whether they changed.
    pub fn set_sidecars(&mut self, sidecars: Vec<ListedSidecar>) -> bool {
        let changed = self.sidecars != sidecars;
        self.sidecars = sidecars;
        changed
    }

    /// Drops links dialled on demand that nobody used for a while.
    pub fn expire(&mut self, now: MonoTime) {
        self.dialers
            .retain(|_, peer| peer.on_demand.is_none_or(|used| now.since(used) < ON_DEMAND_KEEP));
        let dialers = &self.dialers;
        self.waiting.retain(|vm, _| dialers.contains_key(vm));
    }

    /// Dials the sidecars of this gateway's subset and drops the others. Costs a ranking of all
    /// gateways for each sidecar, so it is done on changes only.
    pub fn balance(&mut self, roster: &MemberRoster) {
        let names: Vec<VmName> = self.sidecars.iter().map(|sidecar| sidecar.vm.clone()).collect();
        let mine = sidecars_of(&self.vm, &names, roster, self.subset);
        let chosen: Vec<ListedSidecar> =
            self.sidecars.iter().filter(|sidecar| mine.contains(&sidecar.vm)).cloned().collect();
        for sidecar in &chosen {
            self.dial(&sidecar.vm, sidecar.address, None);
        }
        let partners = &self.partners;
        self.dialers.retain(|vm, peer| {
            let chosen = || chosen.iter().any(|sidecar| sidecar.vm == *vm);
            peer.on_demand.is_some() || partners.contains(vm) || chosen()
        });
    }

    /// Ends every link.
    pub fn close(&mut self) {
        self.dialers.clear();
        self.links.clear();
    }

    fn dial(&mut self, vm: &VmName, address: SocketAddr, on_demand: Option<MonoTime>) {
        match self.dialers.get_mut(vm) {
            Some(peer) if peer.address == address => {
                if on_demand.is_none() {
                    peer.on_demand = None;
                }
                return;
            }
            Some(_) => {}
            None if on_demand.is_some() && self.links.contains_key(vm) => return,
            None => {}
        }
        let dialer = LinkDialer::start(address, vm, self.settings.clone(), self.sink.clone());
        self.dialers.insert(vm.clone(), DialedPeer { address, _dialer: dialer, on_demand });
    }
}
