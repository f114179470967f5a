//! What is true now of the subject of an `explain`, beside the notes of what happened.

use notch_catalogue::key;
use notch_jobs::state::job_state::JobState;
use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::control::core::ControlCore;

/// Milliseconds of a minute.
const MINUTE_MS: u64 = 60_000;

impl ControlCore {
    /// Sentences on how the subject stands here; none where this gateway knows nothing of it.
    pub(super) fn facts(&self, now: Now, subject: &NoteSubject) -> Vec<String> {
        match subject {
            NoteSubject::Request(_) => Vec::new(),
            NoteSubject::Job(job) => self.job_facts(now, *job),
            NoteSubject::Target(target) => self.target_facts(target),
            NoteSubject::Vm(vm) => self.vm_facts(vm),
        }
    }

    fn job_facts(&self, now: Now, job: JobId) -> Vec<String> {
        let host = self.shards.hosts().get(usize::from(job.shard.0));
        let Some(host) = host.filter(|host| host.epoch().is_some()) else {
            let is_known = self.shards.directory().owner(job.shard).is_some();
            let ownerless = format!("its shard {} has no owner known here", job.shard.0);
            return if is_known { Vec::new() } else { vec![ownerless] };
        };
        let Some(state) = host.service().state().job(job) else { return Vec::new() };
        let progress = state.progress(0);
        let ended = progress.answered + progress.failed + progress.cancelled;
        let phase = format!("{:?}", progress.phase).to_lowercase();
        let JobProgress { total, answered, failed, cancelled, .. } = progress;
        let mut facts = vec![format!(
            "{phase}: {ended} of {total} items ended ({answered} answered, {failed} failed, \
             {cancelled} cancelled)"
        )];
        if progress.phase == JobPhase::Running {
            facts.extend(self.pace(now, state, ended));
            facts.extend(self.target_facts(&progress.target));
        }
        facts
    }

    /// When the job would end at its pace so far, against when it is due. Without its first note,
    /// which the owner that accepted it has, there is no pace.
    fn pace(&self, now: Now, state: &JobState, ended: u32) -> Option<String> {
        let accepted = state.accepted();
        let due = format!("due {}", span_text(now.wall, accepted.due));
        let notes = self.notes.lookup(&NoteSubject::Job(accepted.job));
        let begun = notes.and_then(|notes| notes.entries.front()).map(|note| note.first);
        let (Some(begun), 1..) = (begun, ended) else {
            return Some(format!("{due}; no pace known here yet"));
        };
        let spent = now.wall.0.saturating_sub(begun.0);
        let open = u64::from(accepted.item_count.saturating_sub(ended));
        let end = WallTime(now.wall.0 + spent.saturating_mul(open) / u64::from(ended));
        let verdict = if end > accepted.due { "it would be late" } else { "it is in time" };
        Some(format!("{due}; at its pace so far it ends {}: {verdict}", span_text(now.wall, end)))
    }

    fn target_facts(&self, target: &TargetName) -> Vec<String> {
        let entry_key = EntryKey { kind: EntryKind::Target, name: target.as_str().to_owned() };
        let table = self.catalogue.table();
        let mut facts = vec![match (table.record(&entry_key), table.target(target)) {
            (Some(record), Some(entry)) => {
                let class = format!("{:?}", entry.class).to_lowercase();
                format!("{}: version {} in force, class {class}", target, record.version)
            }
            (Some(record), None) => format!("{target}: retired by version {}", record.version),
            (None, _) => format!("no {} entry {target} in force", key::kind_name(entry_key.kind)),
        }];
        let loads: Vec<(&VmName, &TargetLoad)> = self.operators.loads_of(target).collect();
        let up = loads.iter().filter(|(_, load)| load.up).count();
        let draining = loads.iter().filter(|(vm, _)| self.drained.contains(*vm)).count();
        let sum =
            |of: fn(&TargetLoad) -> u32| loads.iter().map(|(_, load)| u64::from(of(load))).sum();
        let (online, waiting): (u64, u64) =
            (sum(|load| load.online_running), sum(|load| load.online_waiting));
        let (batch, limit): (u64, u64) = (sum(|load| load.batch_running), sum(|load| load.limit));
        facts.push(format!(
            "{} sidecars report here, {up} with the target up, {draining} draining: \
             {online} online running, {waiting} waiting, {batch} batch running, limit {limit}",
            loads.len()
        ));
        facts
    }

    fn vm_facts(&self, vm: &VmName) -> Vec<String> {
        let mut facts = Vec::new();
        if let Some(member) = self.members.members().iter().find(|member| member.vm == *vm) {
            let state = format!("{:?}", member.state).to_lowercase();
            facts.push(format!("gateway, {state}, in {}", member.domain));
        }
        if self.links.linked(NodeRole::Sidecar).contains(vm) {
            let draining = if self.drained.contains(vm) { "draining" } else { "takes work" };
            facts.push(format!("sidecar, linked, {draining}"));
        }
        for load in self.operators.load_of(vm) {
            let state = if load.up { "up" } else { "down" };
            facts.push(format!(
                "{} {state}: {} online running, {} waiting, {} batch running, limit {}",
                load.target,
                load.online_running,
                load.online_waiting,
                load.batch_running,
                load.limit
            ));
        }
        facts
    }
}

/// A time as seen from another, to the minute.
fn span_text(now: WallTime, then: WallTime) -> String {
    let minutes = then.0.abs_diff(now.0) / MINUTE_MS;
    let span = match (minutes / 60, minutes % 60) {
        (0, 0) => "under a minute".to_owned(),
        (0, minutes) => format!("{minutes} min"),
        (hours, minutes) => format!("{hours} h {minutes} min"),
    };
    if then < now { format!("{span} ago") } else { format!("in {span}") }
}
