//! How the items of all jobs fared, from the lines of all gateways.

use std::{collections::BTreeMap, fmt};

use notch_types::prelude::*;

use crate::{
    item::{ItemRun, ItemTime, LateCause, Stretch},
    line::LogLine,
    presence::VmPresence,
};

/// Rounding of times in lines, seconds: durations are whole milliseconds.
const ROUNDING: f64 = 0.001;

/// One job.
#[derive(Debug, Default)]
struct JobHistory {
    accepted: Option<f64>,
    due: Option<f64>,
    /// When gateways became its owner, and their VMs.
    owners: Vec<(f64, String)>,
    /// When results were stored, from the beginning of the write to its end, and by which VM.
    stored: Vec<(Stretch, String)>,
    items: BTreeMap<String, Vec<ItemRun>>,
    /// Its client ended it.
    is_ended: bool,
}

/// How the items of jobs fared.
#[derive(Debug, Default)]
pub struct ItemAccount {
    in_time: usize,
    late: BTreeMap<LateCause, usize>,
    /// Late items that would have been in time without this. One may count under several.
    decided: BTreeMap<LateCause, usize>,
    /// Seconds of all late items by what they went into.
    seconds: BTreeMap<LateCause, f64>,
    /// Items that ran and whose job the client ended before they were done and stored.
    ended: usize,
    /// Other items that ran, of which no run ended whole and was stored.
    not_stored: usize,
}

impl ItemAccount {
    /// The account of the lines of all gateways, in the order of their times.
    pub fn of_lines(lines: &[LogLine]) -> Self {
        let presence = VmPresence::of_lines(lines);
        let mut jobs: FastMap<&str, JobHistory> = FastMap::default();
        for line in lines {
            let job = line.text("job");
            if !job.is_empty() {
                jobs.entry(job).or_default().take(line);
            }
        }
        let mut account = Self::default();
        for mut job in jobs.into_values() {
            job.end_cut_runs(&presence);
            account.take(&job, &presence);
        }
        account
    }

    /// Items that were stored when they were due.
    pub fn in_time(&self) -> usize {
        self.in_time
    }

    /// Items that were stored later, for this cause.
    pub fn late(&self, cause: LateCause) -> usize {
        self.late.get(&cause).copied().unwrap_or_default()
    }

    /// Late items that would have been in time without this.
    pub fn decided(&self, cause: LateCause) -> usize {
        self.decided.get(&cause).copied().unwrap_or_default()
    }

    /// Items that ran and whose job the client ended before they were stored.
    pub fn ended(&self) -> usize {
        self.ended
    }

    /// Other items that ran and weren't done and stored.
    pub fn not_stored(&self) -> usize {
        self.not_stored
    }

    fn take(&mut self, job: &JobHistory, presence: &VmPresence) {
        let unowned = job.unowned(presence);
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
            let time = ItemTime::of(Stretch { from, to: stored }, &runs[..count], &unowned);
            *self.late.entry(time.cause(due - from)).or_default() += 1;
            for cause in LateCause::ALL {
                let seconds = time.seconds(cause);
                *self.seconds.entry(cause).or_default() += seconds;
                *self.decided.entry(cause).or_default() += usize::from(seconds >= stored - due);
            }
        }
    }
}

impl JobHistory {
    fn take(&mut self, line: &LogLine) {
        let ms = line.number("ms").unwrap_or_default() / 1_000.0;
        match line.event.as_str() {
            "job_owned" => {
                if line.text("cause") == "accepted" {
                    self.accepted.get_or_insert(line.at);
                }
                self.owners.push((line.at, line.vm.clone()));
            }
            "results_stored" => {
                let time = Stretch { from: line.at - ms, to: line.at };
                self.stored.push((time, line.vm.clone()));
            }
            "item_run_started" => {
                let left = line.number("due_ms").unwrap_or_default() / 1_000.0;
                self.due.get_or_insert(line.at + left);
                let after = line.number("after").unwrap_or(-1.0);
                let time = Stretch { from: line.at, to: f64::INFINITY };
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

    /// Runs without an end ended with their gateways.
    fn end_cut_runs(&mut self, presence: &VmPresence) {
        for runs in self.items.values_mut() {
            for run in runs.iter_mut().filter(|run| run.outcome.is_empty()) {
                run.time.to = presence.last_seen(&run.vm, run.time.from, f64::MAX);
            }
            runs.sort_by(|a, b| a.time.to.total_cmp(&b.time.to));
        }
    }

    /// When the first whole run's result was stored, and the number of runs up to that one.
    fn stored_at(&self, runs: &[ItemRun]) -> Option<(f64, usize)> {
        runs.iter().enumerate().filter(|(_, run)| run.is_whole()).find_map(|(index, run)| {
            let written = |(time, vm): &&(Stretch, String)| {
                *vm == run.vm && time.from >= run.time.to - ROUNDING
            };
            self.stored.iter().find(written).map(|(time, _)| (time.to, index + 1))
        })
    }

    /// From each owner's last line, or its leaving, to the next owner's first.
    fn unowned(&self, presence: &VmPresence) -> Vec<Stretch> {
        let pairs = self.owners.windows(2);
        pairs
            .map(|pair| {
                let [(since, vm), (to, _)] = pair else { return Stretch { from: 0.0, to: 0.0 } };
                Stretch { from: presence.last_seen(vm, *since, *to), to: *to }
            })
            .collect()
    }
}

impl fmt::Display for ItemAccount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let late: usize = self.late.values().sum();
        let Self { in_time, ended, not_stored, .. } = self;
        writeln!(
            f,
            "items that ran: {in_time} stored in time, {late} late, {ended} ended by their clients, \
             {not_stored} not done"
        )?;
        for (cause, seconds) in &self.seconds {
            let (late, decided) = (self.late(*cause), self.decided(*cause));
            let code = cause.code();
            writeln!(f, "  {late:6} late, {decided} in time without it, {seconds:.1} s: {code}")?;
        }
        Ok(())
    }
}
