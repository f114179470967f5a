//! The entries in force on one node.

use std::collections::BTreeMap;

use notch_messages::entry::{EntryKey, EntryKind, EntryRecord, EntryStamp};
use notch_types::prelude::*;

use crate::{
    accounts::AccountIndex,
    schema::{self, AccountEntry, CatalogueEntry, EntryFault, PolicyEntry, TargetEntry},
};

/// Buckets that entries are spread over for comparison between nodes.
pub const BUCKET_COUNT: u16 = 256;

/// What became of a record that arrived.
#[derive(Debug, Clone, PartialEq)]
pub enum Adoption {
    /// In force from now on.
    Adopted(CatalogueEntry),
    /// Older than what is in force, or the same.
    Stale,
    /// Invalid; the version in force (if any) stays so.
    Invalid {
        /// The version that stays in force.
        in_force: Option<EntryVersion>,
        /// What is wrong.
        faults: Vec<EntryFault>,
    },
    /// The table is at its bound and the entry new.
    Full,
}

/// An entry in force.
///
/// Invariants: the version in force only rises; a refused version is above it. A version is only
/// kept as refused where an older one is in force: a node that has none must go on asking for it.
#[derive(Debug, Clone)]
struct HeldEntry {
    record: EntryRecord,
    entry: CatalogueEntry,
    refused: Option<EntryRecord>,
}

impl HeldEntry {
    fn refused_version(&self) -> Option<EntryVersion> {
        self.refused.as_ref().map(|record| record.version)
    }

    /// The entry's part of its bucket's digest.
    fn digest(&self) -> u64 {
        let refused = self.refused_version().unwrap_or_default();
        stable_hash64(&[
            &[self.record.key.kind as u8],
            self.record.key.name.as_bytes(),
            &self.record.version.0.to_le_bytes(),
            &refused.0.to_le_bytes(),
        ])
    }
}

/// The entries in force on one node; adopts newer versions only.
///
/// Bound: `max_entries` entries, each of at most [`schema::MAX_ENTRY_BYTES`], and as many refused.
/// Retired entries stay, so that an older copy that comes late can't bring them back.
#[derive(Debug, Clone)]
pub struct EntryTable {
    max_entries: usize,
    /// By bucket, then key: comparison between nodes goes by bucket.
    buckets: Vec<BTreeMap<EntryKey, HeldEntry>>,
    /// One digest a bucket: the exclusive or of its entries' digests.
    digests: Vec<u64>,
    in_force: usize,
    refused: usize,
    accounts: AccountIndex,
}

impl EntryTable {
    /// An empty table.
    pub fn new(max_entries: usize) -> Self {
        let count = usize::from(BUCKET_COUNT);
        Self {
            max_entries,
            buckets: vec![BTreeMap::new(); count],
            digests: vec![0; count],
            in_force: 0,
            refused: 0,
            accounts: AccountIndex::default(),
        }
    }

    /// Takes a record that arrived from the store or another node.
    pub fn adopt(&mut self, record: EntryRecord) -> Adoption {
        let bucket = bucket_of(&record.key);
        let held = self.buckets[bucket].get(&record.key);
        if held.is_some_and(|held| record.version <= held.record.version) {
            return Adoption::Stale;
        }
        if held.is_some_and(|held| Some(record.version) == held.refused_version()) {
            return Adoption::Stale;
        }
        if held.is_none() && self.in_force >= self.max_entries {
            return Adoption::Full;
        }
        match schema::check(record.key.kind, &record.key.name, &record.body) {
            Ok(entry) => {
                self.put_in_force(bucket, record, entry.clone());
                Adoption::Adopted(entry)
            }
            Err(faults) => {
                let in_force = self.refuse(bucket, record);
                Adoption::Invalid { in_force, faults }
            }
        }
    }

    /// Entries in force, retired ones included.
    pub fn len(&self) -> usize {
        self.in_force
    }

    /// Whether nothing is in force.
    pub fn is_empty(&self) -> bool {
        self.in_force == 0
    }

    /// Entries whose newest version was refused.
    pub fn refused_len(&self) -> usize {
        self.refused
    }

    /// The highest version in force or refused.
    pub fn highest_version(&self) -> EntryVersion {
        let held = self.buckets.iter().flat_map(BTreeMap::values);
        held.map(|held| held.refused_version().unwrap_or(held.record.version))
            .max()
            .unwrap_or_default()
    }

    /// One digest over everything held; equal digests mean equal tables.
    pub fn root(&self) -> u64 {
        root_of(&self.digests)
    }

    /// One digest a bucket.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// The record in force.
    pub fn record(&self, key: &EntryKey) -> Option<&EntryRecord> {
        self.buckets[bucket_of(key)].get(key).map(|held| &held.record)
    }

    /// The entry in force, retired ones included.
    pub fn entry(&self, key: &EntryKey) -> Option<&CatalogueEntry> {
        self.buckets[bucket_of(key)].get(key).map(|held| &held.entry)
    }

    /// The newest version that needs no reading: in force or refused.
    pub fn newest_version(&self, key: &EntryKey) -> Option<EntryVersion> {
        let held = self.buckets[bucket_of(key)].get(key)?;
        Some(held.refused_version().unwrap_or(held.record.version))
    }

    /// A target that is not retired.
    pub fn target(&self, name: &TargetName) -> Option<&TargetEntry> {
        let key = EntryKey { kind: EntryKind::Target, name: name.as_str().to_owned() };
        match self.entry(&key)? {
            CatalogueEntry::Target(target) if !target.retired => Some(target),
            _ => None,
        }
    }

    /// An account that is not retired.
    pub fn account(&self, name: &AccountName) -> Option<&AccountEntry> {
        let key = EntryKey { kind: EntryKind::Account, name: name.as_str().to_owned() };
        match self.entry(&key)? {
            CatalogueEntry::Account(account) if !account.retired => Some(account),
            _ => None,
        }
    }

    /// The account whose key this is, if it isn't retired.
    pub fn find_account(&self, key: &str) -> Option<(AccountName, &AccountEntry)> {
        let name = self.accounts.find(key)?;
        self.account(name).map(|account| (name.clone(), account))
    }

    /// The policy in force.
    pub fn policy(&self) -> PolicyEntry {
        let key = EntryKey { kind: EntryKind::Policy, name: PolicyEntry::NAME.to_owned() };
        match self.entry(&key) {
            Some(CatalogueEntry::Policy(policy)) if !policy.retired => policy.clone(),
            _ => PolicyEntry::default(),
        }
    }

    /// The VMs that operators want drained, by name.
    pub fn leaving_vms(&self) -> Vec<VmName> {
        let mut vms: Vec<VmName> = self
            .entries()
            .filter_map(|(_, entry)| match entry {
                CatalogueEntry::Leaving(leaving) if !leaving.retired => Some(leaving.vm.clone()),
                _ => None,
            })
            .collect();
        vms.sort();
        vms.dedup();
        vms
    }

    /// Everything in force, retired entries included, in no order that means anything.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryRecord, &CatalogueEntry)> {
        self.buckets.iter().flat_map(BTreeMap::values).map(|held| (&held.record, &held.entry))
    }

    /// The versions in force in a bucket.
    pub fn stamps(&self, bucket: u16) -> Vec<EntryStamp> {
        self.bucket(bucket).map(|held| held.record.stamp()).collect()
    }

    /// The versions refused in a bucket.
    pub fn refused_stamps(&self, bucket: u16) -> Vec<EntryStamp> {
        self.bucket(bucket)
            .filter_map(|held| held.refused.as_ref())
            .map(EntryRecord::stamp)
            .collect()
    }

    /// What a node lacks in a bucket where it has `theirs` in force and has refused `refused`.
    /// Of each entry the version in force comes before the refused one.
    pub fn newer_than(
        &self,
        bucket: u16,
        theirs: &FastMap<&EntryKey, EntryVersion>,
        refused: &FastMap<&EntryKey, EntryVersion>,
    ) -> Vec<EntryRecord> {
        let mut records = Vec::new();
        for held in self.bucket(bucket) {
            let key = &held.record.key;
            let known = theirs.get(key).copied().unwrap_or_default();
            let seen = known.max(refused.get(key).copied().unwrap_or_default());
            // A version they refused is not sent again, or the two would never be done.
            if held.record.version > known && refused.get(key) != Some(&held.record.version) {
                records.push(held.record.clone());
            }
            records.extend(held.refused.iter().filter(|record| record.version > seen).cloned());
        }
        records
    }

    /// The record in force when it is newer than `stamp`, and the refused one after it.
    pub fn answer(&self, stamp: &EntryStamp) -> Vec<EntryRecord> {
        let Some(held) = self.buckets[bucket_of(&stamp.key)].get(&stamp.key) else {
            return Vec::new();
        };
        let newer = [Some(&held.record), held.refused.as_ref()].into_iter().flatten();
        newer.filter(|record| record.version > stamp.version).cloned().collect()
    }

    fn bucket(&self, bucket: u16) -> impl Iterator<Item = &HeldEntry> {
        self.buckets.get(usize::from(bucket)).into_iter().flat_map(BTreeMap::values)
    }

    fn put_in_force(&mut self, bucket: usize, record: EntryRecord, entry: CatalogueEntry) {
        let key = record.key.clone();
        let mut refused = None;
        match self.take(bucket, &key) {
            // An invalid version above this one stays known as refused.
            Some(old) => refused = old.refused.filter(|refused| refused.version > record.version),
            None => self.in_force += 1,
        }
        if let CatalogueEntry::Account(account) = &entry {
            self.accounts.insert(account.key_sha256, &AccountName::new(&key.name));
        }
        self.put(bucket, HeldEntry { record, entry, refused });
    }

    /// Keeps an invalid record in mind; returns the version in force.
    fn refuse(&mut self, bucket: usize, record: EntryRecord) -> Option<EntryVersion> {
        let held = self.buckets[bucket].get(&record.key)?;
        let in_force = held.record.version;
        if held.refused_version().is_some_and(|refused| refused > record.version) {
            return Some(in_force);
        }
        let key = record.key.clone();
        let held = self.take(bucket, &key)?;
        if let CatalogueEntry::Account(account) = &held.entry {
            self.accounts.insert(account.key_sha256, &AccountName::new(&key.name));
        }
        self.put(bucket, HeldEntry { refused: Some(record), ..held });
        Some(in_force)
    }

    fn put(&mut self, bucket: usize, held: HeldEntry) {
        self.digests[bucket] ^= held.digest();
        self.refused += usize::from(held.refused.is_some());
        self.buckets[bucket].insert(held.record.key.clone(), held);
    }

    fn take(&mut self, bucket: usize, key: &EntryKey) -> Option<HeldEntry> {
        let held = self.buckets[bucket].remove(key)?;
        self.digests[bucket] ^= held.digest();
        self.refused -= usize::from(held.refused.is_some());
        if let CatalogueEntry::Account(account) = &held.entry {
            self.accounts.remove(&account.key_sha256, &AccountName::new(&key.name));
        }
        Some(held)
    }
}

/// One digest over all buckets' digests.
pub fn root_of(digests: &[u64]) -> u64 {
    let bytes: Vec<u8> = digests.iter().flat_map(|digest| digest.to_le_bytes()).collect();
    stable_hash64(&[&bytes])
}

/// Whether sidecars need entries of this kind. They never get accounts: they authenticate nobody.
pub fn concerns_sidecars(kind: EntryKind) -> bool {
    kind != EntryKind::Account
}

/// The bucket of an entry.
pub fn bucket_of(key: &EntryKey) -> usize {
    let hash = stable_hash64(&[&[key.kind as u8], key.name.as_bytes()]);
    (hash % u64::from(BUCKET_COUNT)) as usize
}
