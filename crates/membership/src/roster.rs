//! The members that assignments are computed over.

use notch_types::prelude::*;

/// One member of a roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterMember {
    /// The VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Digest of the name, for rendezvous scores.
    hash: u64,
}

impl RosterMember {
    /// A member.
    pub fn new(vm: &VmName, domain: &DomainName) -> Self {
        let hash = stable_hash64(&[b"member", vm.as_str().as_bytes()]);
        Self { vm: vm.clone(), domain: domain.clone(), hash }
    }

    /// Digest of the name; the same on every node.
    pub fn hash(&self) -> u64 {
        self.hash
    }
}

/// Gateways that take work: alive or suspected, neither leaving nor marked.
///
/// Invariant: sorted by VM, each VM once, so that equal sets give equal assignments.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberRoster {
    members: Vec<RosterMember>,
}

impl MemberRoster {
    /// A roster of `members`, in any order; the first of several with one name stays.
    pub fn new(mut members: Vec<RosterMember>) -> Self {
        members.sort_by(|a, b| a.vm.cmp(&b.vm));
        members.dedup_by(|later, first| later.vm == first.vm);
        Self { members }
    }

    /// The members, by VM.
    pub fn members(&self) -> &[RosterMember] {
        &self.members
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The member with this name.
    pub fn get(&self, vm: &VmName) -> Option<&RosterMember> {
        let place = self.members.binary_search_by(|member| member.vm.cmp(vm)).ok()?;
        self.members.get(place)
    }

    /// Whether the VM is a member.
    pub fn contains(&self, vm: &VmName) -> bool {
        self.get(vm).is_some()
    }
}
