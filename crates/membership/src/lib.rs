//! Membership of the gateways, facts that spread among them, and the pure assignments
//! (subsets, shard owners, watchers) that every gateway computes alike from its members.

pub mod effect;
pub mod event;
pub mod probe;
pub mod rendezvous;
pub mod roster;
pub mod settings;
pub mod table;

pub use crate::{
    effect::MembershipEffect,
    event::{ListedVm, MembershipEvent},
    rendezvous::{gateways_of, placement_candidates, shard_ranks, sidecars_of, watchers_of},
    roster::{MemberRoster, RosterMember},
    settings::{MemberIdentity, MembershipSettings},
    table::{DomainSummary, MemberTable, partners_of},
};
