//! What the control state does with news of links.

use notch_catalogue::CatalogueEvent;
use notch_link::prelude::*;
use notch_membership::{MembershipEvent, gateways_of};
use notch_messages::prelude::*;
use notch_placement::prelude::PlacementEvent;
use notch_routing::RouterEvent;
use notch_types::prelude::*;

use crate::control::{
    core::ControlCore,
    step::{ControlStep, ShardReply},
};

impl ControlCore {
    /// Takes news of a link.
    pub(super) fn take_link(&mut self, now: Now, event: LinkEvent) {
        match event {
            LinkEvent::Up { peer, link } => {
                self.log.debug("link_up", &[("peer", &peer.vm)]);
                self.links.up(&peer, link);
                if peer.role == NodeRole::Gateway {
                    let event = MembershipEvent::LinkUp { vm: peer.vm };
                    self.steps.push_back(ControlStep::Member(event));
                }
            }
            LinkEvent::Down { peer, link, reason } => {
                if self.links.down(&peer, link) {
                    let reason = format!("{reason:?}");
                    self.log.debug("link_down", &[("peer", &peer.vm), ("reason", &reason)]);
                    self.metrics.count(Counter::Event("links_lost"));
                    self.link_lost(now, &peer);
                }
            }
            LinkEvent::Heartbeat { .. } => {}
            LinkEvent::Message { peer, link, message, .. } => {
                self.take_message(now, &peer, link, message);
            }
        }
    }

    fn link_lost(&mut self, now: Now, peer: &LinkPeer) {
        match peer.role {
            NodeRole::Gateway => {
                let event = MembershipEvent::LinkDown { vm: peer.vm.clone() };
                self.steps.push_back(ControlStep::Member(event));
                let told = self.suspect_calls.gateway_gone(&peer.vm);
                self.suspicions_told(&told);
            }
            NodeRole::Sidecar => {
                self.operators.load_gone(&peer.vm);
                self.with_online(|online, send, steps| {
                    online.link_down(now, &peer.vm, send, steps);
                });
                let event = CatalogueEvent::SidecarGone { vm: peer.vm.clone() };
                self.steps.push_back(ControlStep::Catalogue(event));
            }
            NodeRole::Operator => {}
        }
    }

    fn take_message(&mut self, now: Now, peer: &LinkPeer, link: u64, message: LinkMessage) {
        let from = peer.vm.clone();
        match message {
            LinkMessage::ToGateway(message) if peer.role == NodeRole::Sidecar => {
                self.take_sidecar(now, from, link, message);
            }
            LinkMessage::Gossip(message) if peer.role == NodeRole::Gateway => {
                self.steps.push_back(ControlStep::Member(MembershipEvent::Received {
                    from: from.clone(),
                    message: message.clone(),
                }));
                self.steps
                    .push_back(ControlStep::Catalogue(CatalogueEvent::Received { from, message }));
            }
            LinkMessage::Shard(message) if peer.role == NodeRole::Gateway => {
                self.with_shards(|shards, steps, reads| {
                    shards.received(now, &from, message, steps, reads);
                });
            }
            LinkMessage::Relay { vm, message } if peer.role == NodeRole::Gateway => {
                // Only to a link of our own: relaying further could go round in circles.
                let _ = self.links.send(&vm, LinkMessage::ToSidecar(message));
            }
            LinkMessage::Placement(message) if peer.role == NodeRole::Gateway => {
                self.take_placement(message);
            }
            LinkMessage::ExplainAsk { call, subject } if peer.role == NodeRole::Gateway => {
                let notes = self.notes_json(now, &subject);
                let message = LinkMessage::ExplainAnswer { call, notes: notes.into() };
                self.steps.push_back(ControlStep::ToGateway { to: from, message });
            }
            LinkMessage::ExplainAnswer { call, notes } if peer.role == NodeRole::Gateway => {
                self.operators.explained(&from, call, &notes);
            }
            LinkMessage::SuspectTell { call, fingerprint, vm, alone }
                if peer.role == NodeRole::Gateway =>
            {
                self.hear_suspect(fingerprint, vm, alone);
                let message = LinkMessage::SuspectHeard { call };
                self.steps.push_back(ControlStep::ToGateway { to: from, message });
            }
            LinkMessage::SuspectHeard { call } if peer.role == NodeRole::Gateway => {
                let told = self.suspect_calls.heard(call, &from);
                self.suspicions_told(told.as_slice());
            }
            _ => self.metrics.count(Counter::Dropped(DropReason::Undecodable)),
        }
    }

    fn take_sidecar(&mut self, now: Now, vm: VmName, link: u64, message: GatewayMessage) {
        match message {
            GatewayMessage::Welcome(welcome) => self.welcome(now, vm, link, welcome),
            GatewayMessage::Refused(refusal) => {
                self.steps.push_back(ControlStep::Route(RouterEvent::AttemptRefused(refusal)));
            }
            GatewayMessage::Sealed { attempt, verdict } => {
                let event = RouterEvent::AttemptSealed { attempt, verdict };
                self.steps.push_back(ControlStep::Route(event));
            }
            GatewayMessage::Load(report) => {
                self.operators.load_seen(&vm, &report.targets);
                let load = report.clone();
                let seen = PlacementEvent::LoadSeen { vm: vm.clone(), load };
                self.steps.push_back(ControlStep::Placement(seen));
                self.steps.push_back(ControlStep::Route(RouterEvent::SidecarLoad { vm, report }));
            }
            GatewayMessage::Pull(pull) => {
                self.with_shards(|shards, steps, reads| shards.pull(now, pull, steps, reads));
            }
            GatewayMessage::ItemsDone { shard, results } => {
                let request = Box::new(ShardRequest::ItemsDone(results));
                let reply = ShardReply::Items { vm };
                self.steps.push_back(ControlStep::AskShard { shard, request, reply });
            }
            GatewayMessage::ItemsReturned { shard, returns } => {
                let request = Box::new(ShardRequest::ItemsReturned(returns));
                let reply = ShardReply::Items { vm };
                self.steps.push_back(ControlStep::AskShard { shard, request, reply });
            }
            GatewayMessage::Suspects { target, fingerprints, alone } => {
                let event = RouterEvent::Suspects { vm, target, fingerprints, alone };
                self.steps.push_back(ControlStep::Route(event));
            }
            GatewayMessage::OrderEnded { epoch, order, outcome } => {
                let ended = PlacementMessage::Ended { vm, epoch, order, outcome };
                self.pass_placement(ended);
            }
            GatewayMessage::Holdings(holdings) => {
                self.pass_placement(PlacementMessage::Holdings(vec![holdings]));
            }
            GatewayMessage::EntriesInForce(stamps) => {
                let first = self.is_first_gateway(&vm);
                let event = CatalogueEvent::SidecarInForce { vm, stamps, first };
                self.steps.push_back(ControlStep::Catalogue(event));
            }
            GatewayMessage::Leaving => {
                // Its own word holds until it starts again; the VM list's and an operator's, longer.
                // Placement takes it from the holdings, which a new start replaces: told on its
                // own, it would keep loads from the VM for ever.
                self.steps.push_back(ControlStep::Route(RouterEvent::SidecarDraining { vm }));
            }
            // The link's own task gives these to the answers on their way.
            GatewayMessage::Started { .. }
            | GatewayMessage::Chunk { .. }
            | GatewayMessage::Ended { .. } => {}
        }
    }

    fn welcome(&mut self, now: Now, vm: VmName, link: u64, welcome: SidecarWelcome) {
        if welcome.vm != vm || !self.links.is_current(&vm, link) {
            return;
        }
        self.log.info("sidecar_up", &[("sidecar", &vm), ("incarnation", &welcome.incarnation)]);
        self.with_online(|online, send, steps| online.welcome(now, welcome, send, steps));
        let first = self.is_first_gateway(&vm);
        self.steps.extend([
            ControlStep::Catalogue(CatalogueEvent::SidecarGone { vm: vm.clone() }),
            ControlStep::Catalogue(CatalogueEvent::SidecarInForce {
                vm: vm.clone(),
                stamps: vec![],
                first,
            }),
        ]);
        // A sidecar that restarted, or whose link was down, may not have heard it.
        if self.drained.remove(&vm) {
            self.mark_leaving();
        }
    }

    fn is_first_gateway(&self, sidecar: &VmName) -> bool {
        gateways_of(sidecar, &self.roster, 1).first() == Some(&self.vm)
    }

    /// Tells the planner here, and the holder of the placement lease when it is elsewhere.
    fn pass_placement(&mut self, message: PlacementMessage) {
        let holder = self.members.rumor(&RumorTopic::PlacementHolder);
        let holder: Option<VmName> =
            holder.and_then(|rumor| notch_link::codec::decode(&rumor.value).ok());
        if let Some(to) = holder.filter(|vm| *vm != self.vm) {
            let message = LinkMessage::Placement(message.clone());
            self.steps.push_back(ControlStep::ToGateway { to, message });
        }
        self.take_placement(message);
    }

    fn take_placement(&mut self, message: PlacementMessage) {
        match message {
            PlacementMessage::Holdings(holdings) => {
                let seen = holdings.into_iter().map(PlacementEvent::TargetSeen);
                self.steps.extend(seen.map(ControlStep::Placement));
            }
            PlacementMessage::Ended { vm, epoch, order, outcome } => {
                let event = PlacementEvent::OrderEnded { vm, epoch, order, outcome };
                self.steps.push_back(ControlStep::Placement(event));
            }
        }
    }
}
