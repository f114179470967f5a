//! The state machine that routes online requests.

mod arrival;
mod attempt;
mod claim;
mod dispatch;
mod finish;
mod fleet;
mod seal;

use std::time::Duration;

use notch_types::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    account_table::AccountTable,
    effect::RouterEffect,
    event::{ArrivalId, RouterEvent},
    expiring_set::ExpiringSet,
    held_ends::HeldEnds,
    policy::TargetPolicy,
    request_state::{RequestPhase, RequestState, RunStage},
    retry_budget::RetryBudget,
    settings::RouterSettings,
    sidecar_table::SidecarTable,
    suspect_runs::SuspectRuns,
    suspect_table::SuspectTable,
    timer_queue::TimerQueue,
};

/// Weight of the newest attempt in the smoothed service time.
const SERVICE_WEIGHT: f64 = 0.1;
/// Service time before one was measured.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(200);

/// One target of the catalogue.
#[derive(Debug)]
struct TargetState {
    policy: TargetPolicy,
    budget: RetryBudget,
    /// Smoothed time from dispatch to the end of a whole answer.
    service_time: Duration,
}

impl TargetState {
    fn note_service(&mut self, took: Duration) {
        let kept = self.service_time.mul_f64(1.0 - SERVICE_WEIGHT);
        self.service_time = kept + took.mul_f64(SERVICE_WEIGHT);
    }
}

/// One call of `handle`.
struct RouterTurn<'a> {
    now: MonoTime,
    effects: &'a mut Vec<RouterEffect>,
}

impl RouterTurn<'_> {
    fn emit(&mut self, effect: RouterEffect) {
        self.effects.push(effect);
    }

    fn count(&mut self, counter: Counter) {
        self.effects.push(RouterEffect::Count(counter));
    }

    fn note(&mut self, note: DecisionNote) {
        self.effects.push(RouterEffect::Note(note));
    }
}

/// Routes the online requests of one gateway. Pure: time comes in with each event, chance from
/// the seed.
#[derive(Debug)]
pub struct OnlineRouter {
    settings: RouterSettings,
    rng: SmallRng,
    /// High bits of every attempt number, so that two gateways never name the same attempt.
    number_base: u64,
    attempts_made: u64,
    /// Bounded by the catalogue.
    targets: FastMap<TargetName, TargetState>,
    sidecars: SidecarTable,
    accounts: AccountTable,
    suspects: SuspectTable,
    /// A suspect is at one VM at a time, whichever gateway sent it there.
    suspect_runs: SuspectRuns,
    /// Ends of calls that wait until the other gateways know of a crash.
    held_ends: HeldEnds,
    /// Bounded by `RouterSettings::max_requests`.
    requests: FastMap<RequestId, Box<RequestState>>,
    /// Calls not yet finished. Bounded by requests and followers.
    arrivals: FastMap<ArrivalId, RequestId>,
    timers: TimerQueue,
    /// Keyed requests that may have started through this gateway.
    ///
    /// What goes wrong without it: a caller gets no answer, sends again with the same key, and the
    /// second send is refused early (account limit, overload) as not run, though the first ran.
    /// One would notice a request that was refused as not run and yet has an effect. While a
    /// request is remembered here, no refusal of it says so.
    started: ExpiringSet<RequestId>,
    /// Attempts that were claimed or may have been, and will never be dispatched. Should a late
    /// claim of one take effect, it is released again.
    dropped_claims: ExpiringSet<AttemptId>,
    /// Settled requests whose record is pending. Bounded by `ClaimSettings::max_recording`.
    recording: usize,
    leaving: bool,
}

impl OnlineRouter {
    /// A router that knows no sidecar, target or account yet. `seed` also makes attempt numbers
    /// unique across gateways, so it must differ at each start of each gateway.
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let number_base = u64::from(rng.random::<u32>()) << 32;
        let claim = &settings.claim;
        Self {
            rng,
            number_base,
            attempts_made: 0,
            targets: FastMap::default(),
            sidecars: SidecarTable::default(),
            accounts: AccountTable::new(settings.account.clone()),
            suspects: SuspectTable::new(settings.quarantine.clone()),
            suspect_runs: SuspectRuns::new(settings.quarantine.max_suspects),
            held_ends: HeldEnds::default(),
            requests: FastMap::default(),
            arrivals: FastMap::default(),
            timers: TimerQueue::default(),
            started: ExpiringSet::new(claim.start_memory_age, claim.start_memory_size),
            dropped_claims: ExpiringSet::new(claim.start_memory_age, claim.start_memory_size),
            recording: 0,
            leaving: false,
            settings,
        }
    }

    /// Takes an event and appends what is to be done. Deadlines that have passed are seen first,
    /// so an event can't bring an expired request back.
    pub fn handle(&mut self, now: Now, event: RouterEvent, effects: &mut Vec<RouterEffect>) {
        let mut turn = RouterTurn { now: now.mono, effects };
        self.run_timers(&mut turn);
        self.run_event(&mut turn, event);
    }

    /// When to feed `Tick` at the latest; `None` while nothing waits.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let wakes = [self.timers.next(), self.accounts.next_wake(), self.held_ends.next_wake()];
        wakes.into_iter().flatten().min()
    }

    /// Calls not yet finished and answers not yet recorded, for a graceful shutdown to wait on.
    pub fn unfinished(&self) -> usize {
        self.requests.len() + self.held_ends.len()
    }

    fn run_event(&mut self, turn: &mut RouterTurn<'_>, event: RouterEvent) {
        match event {
            RouterEvent::Arrived(request) => self.on_arrived(turn, request),
            RouterEvent::CallerGone { arrival } => self.on_caller_gone(turn, arrival),
            RouterEvent::AnswerBegun { attempt, .. } => self.on_answer_begun(turn, attempt),
            RouterEvent::DeliveryBegun { request } => self.on_delivery_begun(turn, request),
            RouterEvent::AttemptStarted { attempt } => self.on_started(turn, attempt),
            RouterEvent::AttemptEnded { attempt, outcome, .. } => {
                self.on_ended(turn, attempt, outcome);
            }
            RouterEvent::AttemptRefused(refusal) => self.on_refused(turn, refusal),
            RouterEvent::AttemptSealed { attempt, verdict } => {
                self.on_sealed(turn, attempt, verdict);
            }
            RouterEvent::AttemptLost { attempt } => self.on_lost(turn, attempt),
            RouterEvent::ClaimAnswered { request, attempt, result } => {
                self.on_claim_answered(turn, request, attempt, result);
            }
            RouterEvent::AnswerFetched { request, result } => {
                self.on_answer_fetched(turn, request, result);
            }
            RouterEvent::AnswerRecorded { request, ok } => {
                self.on_answer_recorded(turn, request, ok);
            }
            RouterEvent::Tick => {}
            RouterEvent::Leave => self.on_leave(turn),
            event => self.run_fleet_event(turn, event),
        }
    }

    fn on_leave(&mut self, turn: &mut RouterTurn<'_>) {
        if !std::mem::replace(&mut self.leaving, true) {
            turn.count(Counter::Event("router_leaving"));
        }
    }

    fn run_timers(&mut self, turn: &mut RouterTurn<'_>) {
        for fingerprint in self.held_ends.due(turn.now) {
            turn.count(Counter::Event("suspicions_untold"));
            self.release_ends(turn, fingerprint);
        }
        while let Some(request) = self.timers.pop_due(turn.now) {
            self.step(turn, request, Self::on_timer);
        }
        let mut rumors = Vec::new();
        self.accounts.tick(turn.now, &mut rumors);
        turn.effects.extend(rumors.into_iter().map(RouterEffect::Rumor));
    }

    /// Lets `decide` work on a request, then puts it back with its timer, or forgets it.
    /// Returns false when the request isn't known.
    fn step(
        &mut self,
        turn: &mut RouterTurn<'_>,
        request: RequestId,
        decide: impl FnOnce(&mut Self, &mut RouterTurn<'_>, &mut RequestState),
    ) -> bool {
        let Some(mut state) = self.requests.remove(&request) else { return false };
        decide(self, turn, &mut state);
        self.keep(turn, state);
        true
    }

    fn keep(&mut self, turn: &mut RouterTurn<'_>, state: Box<RequestState>) {
        let request = state.id();
        if state.is_done() {
            self.timers.set(request, None);
            if state.lead.keyed && !state.is_clean() {
                self.started.insert(turn.now, request);
            }
            turn.emit(RouterEffect::Forget { request });
            return;
        }
        self.timers.set(request, state.next_wake());
        self.requests.insert(request, state);
    }

    fn on_timer(&mut self, turn: &mut RouterTurn<'_>, state: &mut RequestState) {
        self.expire_callers(turn, state);
        if state.callers.is_empty() {
            self.on_callers_gone(turn, state);
        }
        let is_due = state.wake_at.is_some_and(|at| at <= turn.now);
        if state.is_done() || !is_due {
            return;
        }
        match state.phase {
            RequestPhase::Fetching => self.begin(turn, state),
            RequestPhase::Claiming { .. } => self.on_claim_late(turn, state),
            RequestPhase::Held { .. } => self.on_held_wake(turn, state),
            RequestPhase::Backoff => self.begin(turn, state),
            RequestPhase::Running { attempt, stage } => {
                self.on_run_wake(turn, state, attempt, stage);
            }
            RequestPhase::Settled { .. } => self.on_record_wake(turn, state),
            RequestPhase::Done => {}
        }
    }

    fn on_run_wake(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &mut RequestState,
        attempt: AttemptId,
        stage: RunStage,
    ) {
        if self.listen_until(state) <= turn.now {
            return self.stop_listening(turn, state, attempt);
        }
        match stage {
            RunStage::Offered => self.ask_seal(turn, state, attempt, 1),
            RunStage::Sealing { tries } => self.on_seal_late(turn, state, attempt, tries),
            RunStage::Started => self.set_run_wake(state, None),
        }
    }
}
