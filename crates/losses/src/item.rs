//! Why one item of a job came late.

/// Why an item came late: what took most of its time without bringing it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LateCause {
    /// A run began again from an earlier event than a gateway had reached.
    LostProgress,
    /// No gateway owned its job.
    NoOwner,
    /// It was done, and not stored yet.
    StoredLate,
    /// Runs that failed and brought nothing.
    FailedRuns,
    /// It waited for a place at a target.
    NoPlace,
    /// None of these: its runs alone took longer than its time.
    LongRun,
}

impl LateCause {
    /// Every cause.
    pub const ALL: [Self; 6] = [
        Self::LostProgress,
        Self::NoOwner,
        Self::StoredLate,
        Self::FailedRuns,
        Self::NoPlace,
        Self::LongRun,
    ];

    /// Stable name for tables.
    pub fn code(self) -> &'static str {
        match self {
            Self::LostProgress => "lost progress",
            Self::NoOwner => "no owner",
            Self::StoredLate => "stored late",
            Self::FailedRuns => "failed runs",
            Self::NoPlace => "no place",
            Self::LongRun => "its runs alone",
        }
    }
}

/// A stretch of time, seconds since the day began.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stretch {
    /// Its begin.
    pub from: f64,
    /// Its end.
    pub to: f64,
}

impl Stretch {
    /// Its length.
    pub fn length(self) -> f64 {
        (self.to - self.from).max(0.0)
    }

    /// The part of it that lies within `other`.
    pub fn within(self, other: Stretch) -> Stretch {
        Stretch { from: self.from.max(other.from), to: self.to.min(other.to) }
    }
}

/// One run of an item, from its lines.
#[derive(Debug, Clone, PartialEq)]
pub struct ItemRun {
    /// The gateway's VM.
    pub vm: String,
    /// When it ran.
    pub time: Stretch,
    /// The event it went on after; below 0 for the beginning.
    pub after: f64,
    /// The last event that it brought.
    pub reached: f64,
    /// How it ended; empty where its gateway was lost before.
    pub outcome: String,
}

impl ItemRun {
    /// Whether it ended the item.
    pub fn is_whole(&self) -> bool {
        self.outcome == "200"
    }

    /// Whether its gateway was lost before it ended.
    fn is_cut_off(&self) -> bool {
        self.outcome.is_empty()
    }

    /// Seconds in which it brought events that an earlier run had brought up to `known`.
    fn repeated(&self, known: f64) -> f64 {
        let events = self.reached - self.after;
        let again = known.min(self.reached) - self.after;
        if events <= 0.0 || again <= 0.0 { 0.0 } else { self.time.length() * again / events }
    }
}

/// What a late item's time went into, seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ItemTime([f64; LateCause::ALL.len()]);

impl ItemTime {
    /// The time of an item that was accepted and stored at the ends of `life`, by the `runs` that ended
    /// before, in their order, and the times in which nobody owned its job.
    pub fn of(life: Stretch, runs: &[ItemRun], unowned: &[Stretch]) -> Self {
        let mut time = Self::default();
        let mut known = -1.0_f64;
        let mut useful = 0.0;
        for run in runs {
            let took = run.time.within(life).length();
            let lost = if run.is_cut_off() { took } else { run.repeated(known).min(took) };
            let brought_nothing = run.reached <= run.after && !run.is_whole();
            match (run.is_cut_off(), brought_nothing) {
                (false, true) => time.add(LateCause::FailedRuns, took),
                _ => time.add(LateCause::LostProgress, lost),
            }
            useful += if brought_nothing { 0.0 } else { took - lost };
            known = known.max(run.reached);
        }
        let done = runs.last().map_or(life.to, |run| run.time.to);
        time.add(LateCause::StoredLate, Stretch { from: done, to: life.to }.length());
        let alone = unowned.iter().map(|none| none.within(life).length()).sum();
        time.add(LateCause::NoOwner, alone);
        time.add(LateCause::LongRun, useful);
        let spent: f64 = time.0.iter().sum();
        time.add(LateCause::NoPlace, (life.length() - spent).max(0.0));
        time
    }

    /// Seconds of a cause.
    pub fn seconds(&self, cause: LateCause) -> f64 {
        self.0[cause as usize]
    }

    /// The cause of a delay: what took most, unless the runs that were needed took all the time there was.
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
