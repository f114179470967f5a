//! Assignment of targets to home gateways, which admit the requests to them.

use notch_types::prelude::*;

/// Home gateway of each target, and which home gateways can currently be asked for a slot.
#[derive(Debug, Default)]
pub struct TargetHomes {
    /// Home gateway by target id. Empty while targets are not divided among gateways, in which case
    /// this gateway is the home of all of them.
    homes: FastMap<String, VmName>,
    /// Name of this gateway, as it appears in `homes`.
    own: Option<VmName>,
    /// Digest of the input from which `homes` was computed.
    input_digest: u64,
    /// Gateways that had no slot or did not answer, with the time until which they are not asked.
    denied: FastMap<VmName, MonoTime>,
}

impl TargetHomes {
    /// Assigns `targets` to `gateways`, which include this one, each given with its failure domain.
    /// The result is deterministic: gateways with the same input compute the same assignment.
    pub fn assign(
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
        let input_digest = stable_hash64(&input);
        if input_digest == self.input_digest {
            return;
        }
        self.homes =
            if names.len() < 2 { FastMap::default() } else { assign_to_gateways(&targets, &names) };
        self.own = Some(VmName::new(own));
        self.input_digest = input_digest;
        self.denied.retain(|home, _| names.iter().any(|(name, _)| *name == home.as_str()));
    }

    /// Whether targets are divided among several gateways.
    pub fn is_shared(&self) -> bool {
        !self.homes.is_empty()
    }

    /// Whether this gateway is the home of a target. An unassigned target has no home while targets
    /// are divided.
    pub fn is_own(&self, id: &str) -> bool {
        match self.homes.get(id) {
            Some(home) => self.own.as_ref() == Some(home),
            None => !self.is_shared(),
        }
    }

    /// The home gateway of a target, if it is another gateway.
    pub fn other_home(&self, id: &str) -> Option<&VmName> {
        self.homes.get(id).filter(|home| self.own.as_ref() != Some(home))
    }

    /// Excludes a gateway from slot requests until `until`.
    pub fn note_denied(&mut self, home: &VmName, until: MonoTime) {
        self.denied.insert(home.clone(), until);
    }

    /// Whether a gateway may be asked for a slot.
    pub fn may_ask(&self, home: &VmName, now: MonoTime) -> bool {
        self.denied.get(home).is_none_or(|until| now >= *until)
    }
}

/// Assigns targets to the gateways of their failure domain by rendezvous hashing with a cap of an
/// equal part for each gateway, so that few targets change their home when a gateway joins or
/// leaves. The targets of a domain without a gateway are divided among all gateways.
fn assign_to_gateways(
    targets: &[(&str, &str)],
    gateways: &[(&str, &str)],
) -> FastMap<String, VmName> {
    let mut domains: FastMap<&str, Vec<&str>> = FastMap::default();
    for (id, domain) in targets {
        domains.entry(domain).or_default().push(id);
    }
    let mut homes = FastMap::default();
    for (domain, ids) in domains {
        let in_domain = gateways.iter().filter(|(_, gateway_domain)| *gateway_domain == domain);
        let mut names: Vec<&str> = in_domain.map(|(name, _)| *name).collect();
        if names.is_empty() {
            names = gateways.iter().map(|(name, _)| *name).collect();
        }
        let max_targets = ids.len().div_ceil(names.len());
        let mut counts: FastMap<&str, usize> = FastMap::default();
        for id in ids {
            let open =
                names.iter().filter(|name| counts.get(**name).is_none_or(|n| *n < max_targets));
            let first = open.max_by_key(|name| stable_hash64(&[id.as_bytes(), name.as_bytes()]));
            let Some(first) = first else { continue };
            *counts.entry(*first).or_default() += 1;
            homes.insert(id.to_owned(), VmName::new(first));
        }
    }
    homes
}
