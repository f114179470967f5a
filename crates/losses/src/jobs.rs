//! Outcomes of the items of all jobs, from the log lines of all gateways.

use std::{collections::BTreeMap, fmt};

use notch_types::prelude::*;

use crate::{
    activity::VmActivity,
    item::{ItemRun, ItemTimeBreakdown, LateCause, TimeSpan},
    line::LogLine,
};

/// Rounding error of the logged durations, which are whole milliseconds.
const ROUNDING_SECONDS: f64 = 0.001;

/// History of one job.
#[derive(Debug, Default)]
struct JobHistory {
    accepted: Option<f64>,
    due: Option<f64>,
    /// Times at which gateways became the job's owner, with their VMs.
    owners: Vec<(f64, String)>,
    /// Writes of results to the store, from start to end, with the VM that wrote.
    stored: Vec<(TimeSpan, String)>,
    items: BTreeMap<String, Vec<ItemRun>>,
    /// The client ended the job.
    is_ended: bool,
}

/// Outcomes of the items of all jobs.
#[derive(Debug, Default)]
pub struct ItemStatistics {
    in_time: usize,
    late: BTreeMap<LateCause, usize>,
    /// Late items that would have been in time without this cause. An item may count under several causes.
    decisive: BTreeMap<LateCause, usize>,
    /// Seconds of all late items by cause.
    seconds: BTreeMap<LateCause, f64>,
    /// Items that ran, but whose job the client ended before their result was stored.
    ended: usize,
    /// Other items that ran without any completed run whose result was stored.
    not_stored: usize,
}

impl ItemStatistics {
    /// Analyses the lines of all gateways, which are in the order of their times.
    pub fn of_lines(lines: &[LogLine]) -> Self {
        let activity = VmActivity::of_lines(lines);
        let mut jobs: FastMap<&str, JobHistory> = FastMap::default();
        for line in lines {
            let job = line.text("job");
            if !job.is_empty() {
                jobs.entry(job).or_default().add_line(line);
            }
        }
        let mut statistics = Self::default();
        for mut job in jobs.into_values() {
            job.end_unfinished_runs(&activity);
            statistics.add_job(&job, &activity);
        }
        statistics
    }

    /// Number of items whose result was stored by their deadline.
    pub fn in_time(&self) -> usize {
        self.in_time
    }

    /// Number of items whose result was stored late, with this main cause.
    pub fn late(&self, cause: LateCause) -> usize {
        self.late.get(&cause).copied().unwrap_or_default()
    }

    /// Number of late items that would have been in time without this cause.
    pub fn decisive(&self, cause: LateCause) -> usize {
        self.decisive.get(&cause).copied().unwrap_or_default()
    }

    /// Number of items that ran, but whose job the client ended before their result was stored.
    pub fn ended(&self) -> usize {
        self.ended
    }

    /// Number of other items that ran and whose result was never stored.
    pub fn not_stored(&self) -> usize {
        self.not_stored
    }

    fn add_job(&mut self, job: &JobHistory, activity: &VmActivity) {
        let unowned = job.unowned(activity);
        for runs in job.items.values() {
            let Some((stored, count)) = job.stored_at(runs) else {
                if job.is_ended {
                    self.ended += 1;
                } else {
                    self.not_stored += 1;
                }
                continue;
            };
            let from = job.accepted.unwrap_or(runs[0].time.from);
            let due = job.due.unwrap_or(f64::MAX);
            if stored <= due {
                self.in_time += 1;
                continue;
            }
            let time =
                ItemTimeBreakdown::of(TimeSpan { from, to: stored }, &runs[..count], &unowned);
            *self.late.entry(time.cause(due - from)).or_default() += 1;
            for cause in LateCause::ALL {
                let seconds = time.seconds(cause);
                *self.seconds.entry(cause).or_default() += seconds;
                *self.decisive.entry(cause).or_default() += usize::from(seconds >= stored - due);
            }
        }
    }
}

impl JobHistory {
    fn add_line(&mut self, line: &LogLine) {
        let seconds = line.number("ms").unwrap_or_default() / 1_000.0;
        match line.event.as_str() {
            "job_owned" => {
                if line.text("cause") == "accepted" {
                    self.accepted.get_or_insert(line.at);
                }
                self.owners.push((line.at, line.vm.clone()));
            }
            "results_stored" => {
                let time = TimeSpan { from: line.at - seconds, to: line.at };
                self.stored.push((time, line.vm.clone()));
            }
            "item_run_started" => {
                let left = line.number("due_ms").unwrap_or_default() / 1_000.0;
                self.due.get_or_insert(line.at + left);
                let after = line.number("after").unwrap_or(-1.0);
                let time = TimeSpan { from: line.at, to: f64::INFINITY };
                let (vm, outcome) = (line.vm.clone(), String::new());
                let run = ItemRun { vm, time, after, reached: after, outcome };
                self.items.entry(line.text("item").to_owned()).or_default().push(run);
            }
            "item_run_ended" => self.end_run(line),
            "job_ended" => self.is_ended = true,
            _ => {}
        }
    }

    fn end_run(&mut self, line: &LogLine) {
        let runs = self.items.get_mut(line.text("item")).into_iter().flatten();
        let open = runs.rev().find(|run| run.vm == line.vm && run.outcome.is_empty());
        if let Some(run) = open {
            run.time.to = line.at;
            run.reached = line.number("last_event").unwrap_or(run.after).max(run.after);
            line.text("outcome").clone_into(&mut run.outcome);
        }
    }

    /// Ends the runs without a logged end at the last line of their gateway's process.
    fn end_unfinished_runs(&mut self, activity: &VmActivity) {
        for runs in self.items.values_mut() {
            for run in runs.iter_mut().filter(|run| run.outcome.is_empty()) {
                run.time.to = activity.last_seen(&run.vm, run.time.from, f64::MAX);
            }
            runs.sort_by(|a, b| a.time.to.total_cmp(&b.time.to));
        }
    }

    /// Time at which the result of the first completed run was stored, and the number of runs up to that one.
    fn stored_at(&self, runs: &[ItemRun]) -> Option<(f64, usize)> {
        runs.iter().enumerate().filter(|(_, run)| run.is_complete()).find_map(|(index, run)| {
            let written = |(time, vm): &&(TimeSpan, String)| {
                *vm == run.vm && time.from >= run.time.to - ROUNDING_SECONDS
            };
            self.stored.iter().find(written).map(|(time, _)| (time.to, index + 1))
        })
    }

    /// Spans without an owner: from each owner's last line, or its handover, to the next owner's first.
    fn unowned(&self, activity: &VmActivity) -> Vec<TimeSpan> {
        let pairs = self.owners.windows(2);
        pairs
            .map(|pair| {
                let [(since, vm), (to, _)] = pair else { return TimeSpan { from: 0.0, to: 0.0 } };
                TimeSpan { from: activity.last_seen(vm, *since, *to), to: *to }
            })
            .collect()
    }
}

impl fmt::Display for ItemStatistics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let late: usize = self.late.values().sum();
        let Self { in_time, ended, not_stored, .. } = self;
        writeln!(
            f,
            "items that ran: {in_time} stored in time, {late} late, {ended} ended by their clients, \
             {not_stored} not done"
        )?;
        for (cause, seconds) in &self.seconds {
            let (late, decisive) = (self.late(*cause), self.decisive(*cause));
            let code = cause.code();
            writeln!(f, "  {late:6} late, {decisive} in time without it, {seconds:.1} s: {code}")?;
        }
        Ok(())
    }
}
