//! Which gateway admits requests to which target.

use notch_types::prelude::*;

/// Which gateway admits requests to which target, and which of them are asked for a place.
#[derive(Debug, Default)]
pub struct TargetHomes {
    /// By the target's id. Empty where targets aren't shared out, so that all belong to this gateway.
    homes: FastMap<String, VmName>,
    /// This gateway, as it stands in `homes`.
    own: Option<VmName>,
    /// What `homes` was computed from.
    divided_for: u64,
    /// Gateways that aren't asked until then: they had no place, or didn't answer.
    denied: FastMap<VmName, MonoTime>,
}

impl TargetHomes {
    /// Divides `targets` among `gateways`, this one among them, each with its failure domain. All gateways
    /// that know the same compute the same.
    pub fn divide(
        &mut self,
        own: &str,
        mut targets: Vec<(&str, &str)>,
        gateways: &[(String, String)],
    ) {
        targets.sort_unstable();
        let mut names: Vec<(&str, &str)> =
            gateways.iter().map(|(name, domain)| (name.as_str(), domain.as_str())).collect();
        names.sort_unstable();
        let pairs = targets.iter().chain(&names);
        let input: Vec<&[u8]> = pairs.flat_map(|(a, b)| [a.as_bytes(), b.as_bytes()]).collect();
        let divided_for = stable_hash64(&input);
        if divided_for == self.divided_for {
            return;
        }
        self.homes = if names.len() < 2 { FastMap::default() } else { divided(&targets, &names) };
        self.own = Some(VmName::new(own));
        self.divided_for = divided_for;
        self.denied.retain(|home, _| names.iter().any(|(name, _)| *name == home.as_str()));
    }

    /// Whether targets are shared out among several gateways.
    pub fn is_shared(&self) -> bool {
        !self.homes.is_empty()
    }

    /// Whether this gateway admits requests to a target. One that was divided to nobody yet is nobody's.
    pub fn is_own(&self, id: &str) -> bool {
        match self.homes.get(id) {
            Some(home) => self.own.as_ref() == Some(home),
            None => !self.is_shared(),
        }
    }

    /// The other gateway that admits requests to a target.
    pub fn other_home(&self, id: &str) -> Option<&VmName> {
        self.homes.get(id).filter(|home| self.own.as_ref() != Some(home))
    }

    /// A gateway isn't asked for places until `until`.
    pub fn note_denied(&mut self, home: &VmName, until: MonoTime) {
        self.denied.insert(home.clone(), until);
    }

    /// Whether a gateway may be asked for a place.
    pub fn may_ask(&self, home: &VmName, now: MonoTime) -> bool {
        self.denied.get(home).is_none_or(|until| now >= *until)
    }
}

/// Divides targets among the gateways of their failure domain by rendezvous hashing, none with more than its
/// part: when a gateway comes or goes few targets change their home. Where a domain has no gateway, all
/// gateways share its targets.
fn divided(targets: &[(&str, &str)], gateways: &[(&str, &str)]) -> FastMap<String, VmName> {
    let mut domains: FastMap<&str, Vec<&str>> = FastMap::default();
    for (id, domain) in targets {
        domains.entry(domain).or_default().push(id);
    }
    let mut homes = FastMap::default();
    for (domain, ids) in domains {
        let near = gateways.iter().filter(|(_, place)| *place == domain);
        let mut names: Vec<&str> = near.map(|(name, _)| *name).collect();
        if names.is_empty() {
            names = gateways.iter().map(|(name, _)| *name).collect();
        }
        let most = ids.len().div_ceil(names.len());
        let mut counts: FastMap<&str, usize> = FastMap::default();
        for id in ids {
            let open = names.iter().filter(|name| counts.get(**name).is_none_or(|n| *n < most));
            let first = open.max_by_key(|name| stable_hash64(&[id.as_bytes(), name.as_bytes()]));
            let Some(first) = first else { continue };
            *counts.entry(*first).or_default() += 1;
            homes.insert(id.to_owned(), VmName::new(first));
        }
    }
    homes
}
