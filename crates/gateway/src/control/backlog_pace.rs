//! When the work of a shard owned here is told to the other gateways.
//!
//! What goes wrong without it: facts ride on pings, a bounded number on each, so their rate over
//! the whole fleet is bounded too. 64 shards that each tell their work once a second fill that, and
//! every fact then arrives many seconds late; one would notice sidecars that pull from shards
//! without work. Most tellings change nothing that a pull goes by: those may be rare.

use std::time::Duration;

use notch_jobs::prelude::TargetBacklog;
use notch_types::prelude::*;

/// Unchanged work is told this often; well within the age at which it counts no more.
const REPEAT: Duration = Duration::from_secs(4);

/// What a pull goes by: which targets have work, which of it is late, and its floor.
#[derive(Debug, Clone, PartialEq)]
struct WorkMark {
    target: TargetName,
    has_work: bool,
    is_late: bool,
    floor: f64,
}

impl WorkMark {
    fn of(line: &TargetBacklog) -> Self {
        Self {
            target: line.target.clone(),
            has_work: line.open > 0,
            is_late: line.least_laxity_ms < 0,
            floor: line.floor,
        }
    }
}

/// The last telling of a shard.
#[derive(Debug)]
struct ToldWork {
    at: MonoTime,
    epoch: Epoch,
    marks: Vec<WorkMark>,
}

/// The last telling of each shard.
#[derive(Debug)]
pub struct BacklogPace {
    told: Vec<Option<ToldWork>>,
}

impl BacklogPace {
    /// Nothing told yet of `shards` shards.
    pub fn new(shards: usize) -> Self {
        Self { told: (0..shards).map(|_| None).collect() }
    }

    /// Whether to tell now; taken as told when so. A new epoch is told at once.
    pub fn is_due(
        &mut self,
        at: MonoTime,
        shard: ShardId,
        epoch: Epoch,
        backlog: &[TargetBacklog],
    ) -> bool {
        let Some(told) = self.told.get_mut(usize::from(shard.0)) else { return false };
        let marks: Vec<WorkMark> = backlog.iter().map(WorkMark::of).collect();
        let is_same = |last: &ToldWork| {
            last.epoch == epoch && last.marks == marks && at.since(last.at) < REPEAT
        };
        if told.as_ref().is_some_and(is_same) {
            return false;
        }
        *told = Some(ToldWork { at, epoch, marks });
        true
    }
}
