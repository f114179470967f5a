//! The member table: who is a gateway of the fleet, and in which state.

use notch_messages::gossip::{MemberUpdate, Rumor, RumorTopic};
use notch_types::prelude::*;
use rand::rngs::SmallRng;

use crate::{
    effect::MembershipEffect,
    event::MembershipEvent,
    roster::MemberRoster,
    settings::{MemberIdentity, MembershipSettings},
};

/// How a domain stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainSummary {
    /// The domain.
    pub domain: DomainName,
    /// Members alive or suspected.
    pub live: usize,
    /// Members held dead.
    pub dead: usize,
    /// Whether the domain is held lost.
    pub down: bool,
}

/// The member table of one gateway.
#[derive(Debug)]
pub struct MemberTable {
    identity: MemberIdentity,
    settings: MembershipSettings,
    random: SmallRng,
}

impl MemberTable {
    /// A table that knows only this gateway.
    pub fn new(identity: MemberIdentity, settings: MembershipSettings, random: SmallRng) -> Self {
        Self { identity, settings, random }
    }

    /// Takes one event and appends what it wants done.
    pub fn handle(
        &mut self,
        _now: Now,
        _event: MembershipEvent,
        _effects: &mut Vec<MembershipEffect>,
    ) {
        let _ = (&self.settings, &self.random);
    }

    /// When the next tick is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        None
    }

    /// The gateways that take work, this one included unless it is leaving.
    pub fn roster(&self) -> MemberRoster {
        MemberRoster::default()
    }

    /// Every member held, dead and departed ones included, by VM.
    pub fn members(&self) -> Vec<MemberUpdate> {
        Vec::new()
    }

    /// The gateways to keep a link to.
    pub fn partners(&self) -> Vec<VmName> {
        Vec::new()
    }

    /// Where a member, or a listed VM that is no member yet, listens.
    pub fn address_of(&self, _vm: &VmName) -> Option<String> {
        None
    }

    /// Whether this gateway is leaving, by its own will, the VM list or an operator's entry.
    pub fn is_leaving(&self) -> bool {
        false
    }

    /// How each domain stands, by name.
    pub fn domains(&self) -> Vec<DomainSummary> {
        let _ = &self.identity;
        Vec::new()
    }

    /// The newest fact held on a topic.
    pub fn rumor(&self, _topic: &RumorTopic) -> Option<&Rumor> {
        None
    }

    /// All facts held, by topic.
    pub fn rumors(&self) -> Vec<&Rumor> {
        Vec::new()
    }
}
