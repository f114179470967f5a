//! Budget of the bytes that a process holds for clients, targets and other gateways that read slowly.

/// Budget of a process whose memory limit is unknown, bytes.
const DEFAULT_BUDGET_BYTES: usize = 64 << 20;
/// Fraction of a process's memory that it may spend on held data. The rest is for jobs, connections, links and state.
const BUDGET_FRACTION: f64 = 0.25;
/// Reservations of at most this size may use the whole part of their use; larger ones leave some of it free, so that a
/// few large bodies or answers don't keep out the many small ones.
const SMALL_BYTES: usize = 64 << 10;
/// Fraction of a use's part that larger reservations may take.
const LARGE_FRACTION: f64 = 0.75;

/// What held bytes are for. Each use has its own part of the budget, so that none can take the memory of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// Body of a request that has not run. Beyond the part, the request is refused.
    RequestBody,
    /// Page of a job's results or an item's body. Beyond the part, pages get shorter, then reads are refused.
    JobPage,
    /// Answer of a target to a request that has run. Beyond the part, it is relayed unbuffered.
    TargetAnswer,
}

impl MemoryUse {
    /// Number of uses.
    const COUNT: usize = 3;

    /// Fraction of the budget that is for this use. Invariant: all fractions add up to 1.
    fn fraction(self) -> f64 {
        match self {
            Self::RequestBody => 0.4,
            Self::JobPage | Self::TargetAnswer => 0.3,
        }
    }

    fn index(self) -> usize {
        match self {
            Self::RequestBody => 0,
            Self::JobPage => 1,
            Self::TargetAnswer => 2,
        }
    }
}

/// Counts the bytes held for each use against its part of a budget.
///
/// The worst case is many connections whose other ends read slowly or not at all, each with the largest body or answer.
#[derive(Debug, Clone, Copy)]
pub struct MemoryBudget {
    /// Maximum bytes held, over all uses.
    limit: usize,
    /// Bytes held, by use. Invariant: at most the part of each use.
    used: [usize; MemoryUse::COUNT],
}

impl Default for MemoryBudget {
    fn default() -> Self {
        Self { limit: DEFAULT_BUDGET_BYTES, used: [0; MemoryUse::COUNT] }
    }
}

impl MemoryBudget {
    /// Budget of a process that may use `process_bytes` in all; `None` if that is unknown.
    pub fn of_process(process_bytes: Option<usize>) -> Self {
        let Some(bytes) = process_bytes else { return Self::default() };
        Self { limit: (bytes as f64 * BUDGET_FRACTION) as usize, ..Self::default() }
    }

    /// Reserves `bytes` for a use; false, without any change, if its part of the budget doesn't suffice.
    pub fn try_reserve(&mut self, kind: MemoryUse, bytes: usize) -> bool {
        let free = if bytes <= SMALL_BYTES { self.free(kind) } else { self.available(kind) };
        if bytes > free {
            return false;
        }
        self.used[kind.index()] += bytes;
        true
    }

    /// Releases reserved bytes.
    pub fn release(&mut self, kind: MemoryUse, bytes: usize) {
        let used = &mut self.used[kind.index()];
        *used = used.saturating_sub(bytes);
    }

    /// Bytes that a large reservation for a use can get now.
    pub fn available(&self, kind: MemoryUse) -> usize {
        let large = (self.part(kind) as f64 * LARGE_FRACTION) as usize;
        large.saturating_sub(self.used[kind.index()])
    }

    /// Bytes held, over all uses.
    pub fn used(&self) -> usize {
        self.used.iter().sum()
    }

    /// Maximum bytes held for a use.
    pub fn part(&self, kind: MemoryUse) -> usize {
        (self.limit as f64 * kind.fraction()) as usize
    }

    fn free(&self, kind: MemoryUse) -> usize {
        self.part(kind) - self.used[kind.index()]
    }
}
