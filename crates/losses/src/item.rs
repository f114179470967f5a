//! Why a job item was late.

/// Why an item was late: what took most of its time without making progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LateCause {
    /// A run restarted from an earlier event than had been reached before.
    LostProgress,
    /// No gateway owned the item's job.
    NoOwner,
    /// The item was complete but its result wasn't stored yet.
    StoredLate,
    /// Runs failed without making progress.
    FailedRuns,
    /// The item waited for a slot at a target.
    NoFreeSlot,
    /// None of the above: the necessary runs alone took longer than the time to the deadline.
    LongRun,
}

impl LateCause {
    /// All causes.
    pub const ALL: [Self; 6] = [
        Self::LostProgress,
        Self::NoOwner,
        Self::StoredLate,
        Self::FailedRuns,
        Self::NoFreeSlot,
        Self::LongRun,
    ];

    /// Stable name for the printed tables.
    pub fn code(self) -> &'static str {
        match self {
            Self::LostProgress => "lost progress",
            Self::NoOwner => "no owner",
            Self::StoredLate => "stored late",
            Self::FailedRuns => "failed runs",
            Self::NoFreeSlot => "no place",
            Self::LongRun => "its runs alone",
        }
    }
}

/// A span of time, in seconds since the day began.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimeSpan {
    /// Start of the span.
    pub from: f64,
    /// End of the span.
    pub to: f64,
}

impl TimeSpan {
    /// Length in seconds; 0 if the end is before the start.
    pub fn length(self) -> f64 {
        (self.to - self.from).max(0.0)
    }

    /// The part of this span that lies within `other`.
    pub fn within(self, other: TimeSpan) -> TimeSpan {
        TimeSpan { from: self.from.max(other.from), to: self.to.min(other.to) }
    }
}

/// One run of an item, from its log lines.
#[derive(Debug, Clone, PartialEq)]
pub struct ItemRun {
    /// VM of the gateway that ran the item.
    pub vm: String,
    /// Start and end of the run.
    pub time: TimeSpan,
    /// Number of the event after which the run resumed; below 0 if it began from the start.
    pub after: f64,
    /// Number of the last event that the run delivered.
    pub reached: f64,
    /// How the run ended; empty if its gateway was lost first.
    pub outcome: String,
}

impl ItemRun {
    /// Whether the run completed the item.
    pub fn is_complete(&self) -> bool {
        self.outcome == "200"
    }

    /// Whether the gateway was lost before the run ended.
    fn is_gateway_lost(&self) -> bool {
        self.outcome.is_empty()
    }

    /// Seconds spent on events that earlier runs, which had reached event `known`, had already delivered.
    fn repeated(&self, known: f64) -> f64 {
        let events = self.reached - self.after;
        let again = known.min(self.reached) - self.after;
        if events <= 0.0 || again <= 0.0 { 0.0 } else { self.time.length() * again / events }
    }
}

/// Seconds of a late item's time by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ItemTimeBreakdown([f64; LateCause::ALL.len()]);

impl ItemTimeBreakdown {
    /// Breaks down the time of an item. `lifetime` reaches from the job's acceptance to the storing of the
    /// result, `runs` are the runs that ended in it, in order, and `unowned` the spans in which no gateway
    /// owned the job.
    pub fn of(lifetime: TimeSpan, runs: &[ItemRun], unowned: &[TimeSpan]) -> Self {
        let mut time = Self::default();
        let mut known = -1.0_f64;
        let mut useful = 0.0;
        for run in runs {
            let took = run.time.within(lifetime).length();
            let lost = if run.is_gateway_lost() { took } else { run.repeated(known).min(took) };
            let made_no_progress = run.reached <= run.after && !run.is_complete();
            match (run.is_gateway_lost(), made_no_progress) {
                (false, true) => time.add(LateCause::FailedRuns, took),
                _ => time.add(LateCause::LostProgress, lost),
            }
            useful += if made_no_progress { 0.0 } else { took - lost };
            known = known.max(run.reached);
        }
        let done = runs.last().map_or(lifetime.to, |run| run.time.to);
        time.add(LateCause::StoredLate, TimeSpan { from: done, to: lifetime.to }.length());
        let without_owner = unowned.iter().map(|span| span.within(lifetime).length()).sum();
        time.add(LateCause::NoOwner, without_owner);
        time.add(LateCause::LongRun, useful);
        let spent: f64 = time.0.iter().sum();
        time.add(LateCause::NoFreeSlot, (lifetime.length() - spent).max(0.0));
        time
    }

    /// Seconds that a cause took.
    pub fn seconds(&self, cause: LateCause) -> f64 {
        self.0[cause as usize]
    }

    /// The main cause of a delay. `given` is the time from acceptance to the deadline, seconds: if the necessary
    /// runs alone took that long, they are the cause, else the cause that took the most time.
    pub fn cause(&self, given: f64) -> LateCause {
        if self.seconds(LateCause::LongRun) >= given {
            return LateCause::LongRun;
        }
        let causes = LateCause::ALL.into_iter().filter(|cause| *cause != LateCause::LongRun);
        let most = causes.max_by(|a, b| self.seconds(*a).total_cmp(&self.seconds(*b)));
        most.unwrap_or(LateCause::LongRun)
    }

    fn add(&mut self, cause: LateCause, seconds: f64) {
        self.0[cause as usize] += seconds;
    }
}
