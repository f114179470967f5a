//! Who owns each shard, and where batch work is, as far as this gateway has heard.

use std::time::Duration;

use notch_jobs::prelude::TargetBacklog;
use notch_types::prelude::*;

/// A shard that said "no work" for a target isn't asked again for this long.
const EMPTY_PAUSE: Duration = Duration::from_millis(400);
/// News of work older than this counts no more.
const BACKLOG_AGE: Duration = Duration::from_secs(15);

#[derive(Debug, Default, Clone)]
struct ShardLine {
    epoch: Epoch,
    owner: Option<VmName>,
    backlog: Vec<TargetBacklog>,
    heard: MonoTime,
    /// Targets that had no work when asked, and until when that holds.
    empty: Vec<(TargetName, MonoTime)>,
}

/// Owners and backlogs by shard. Bound: one line a shard, as many targets as the catalogue has.
#[derive(Debug)]
pub struct ShardDirectory {
    lines: Vec<ShardLine>,
}

impl ShardDirectory {
    /// Nothing known of `shards` shards.
    pub fn new(shards: u16) -> Self {
        Self { lines: vec![ShardLine::default(); usize::from(shards)] }
    }

    /// Takes news of an owner; older epochs are ignored, so that a late rumour can't send calls
    /// back to an owner that was deposed.
    pub fn owner_seen(&mut self, shard: ShardId, epoch: Epoch, owner: Option<VmName>) -> bool {
        let Some(line) = self.lines.get_mut(usize::from(shard.0)) else { return false };
        let newer = epoch > line.epoch || (epoch == line.epoch && line.owner != owner);
        if newer {
            line.epoch = epoch;
            line.owner = owner;
        }
        newer
    }

    /// The owner, as far as known.
    pub fn owner(&self, shard: ShardId) -> Option<&VmName> {
        self.lines.get(usize::from(shard.0))?.owner.as_ref()
    }

    /// The newest epoch heard of.
    pub fn epoch(&self, shard: ShardId) -> Epoch {
        self.lines.get(usize::from(shard.0)).map(|line| line.epoch).unwrap_or_default()
    }

    /// Takes news of a shard's work.
    pub fn backlog_seen(&mut self, now: MonoTime, shard: ShardId, backlog: Vec<TargetBacklog>) {
        if let Some(line) = self.lines.get_mut(usize::from(shard.0)) {
            line.backlog = backlog;
            line.heard = now;
        }
    }

    /// A shard had no work for a target.
    pub fn empty_seen(&mut self, now: MonoTime, shard: ShardId, target: &TargetName) {
        if let Some(line) = self.lines.get_mut(usize::from(shard.0)) {
            line.empty.retain(|(name, until)| name != target && *until > now);
            line.empty.push((target.clone(), now + EMPTY_PAUSE));
        }
    }

    /// Shards that likely have work for a target, the one most in need first: late jobs before
    /// others, then in an order turned by `turn`, so that pulls spread over equal shards.
    pub fn shards_with_work(
        &self,
        now: MonoTime,
        target: &TargetName,
        turn: usize,
    ) -> Vec<ShardId> {
        let count = self.lines.len();
        let mut found: Vec<(bool, usize, ShardId)> = Vec::new();
        for (place, line) in self.lines.iter().enumerate() {
            if now.since(line.heard) > BACKLOG_AGE || line.is_empty_for(now, target) {
                continue;
            }
            let Some(work) = line.backlog.iter().find(|work| work.target == *target) else {
                continue;
            };
            if work.open > 0 {
                let turned = (place + count - turn % count.max(1)) % count.max(1);
                found.push((work.least_laxity_ms > 0, turned, ShardId(place as u16)));
            }
        }
        found.sort_unstable();
        found.into_iter().map(|(_, _, shard)| shard).collect()
    }

    /// Open items over all shards, by what was last heard.
    pub fn open_items(&self) -> u64 {
        self.lines.iter().flat_map(|line| &line.backlog).map(|work| work.open).sum()
    }
}

impl ShardLine {
    fn is_empty_for(&self, now: MonoTime, target: &TargetName) -> bool {
        self.empty.iter().any(|(name, until)| name == target && *until > now)
    }
}
