//! Which jobs are accepted when more come than can be done before they are due.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

/// Places that items find.
const PLACES: u32 = 100;
/// Work of a usual job: ten items of five seconds.
const JOB_WORK: Duration = Duration::from_secs(50);
/// Time until a job is due.
const DUE: Duration = Duration::from_secs(18);
/// Step of the replay: how long news of an accepted job takes to the other gateways.
const STEP: Duration = Duration::from_millis(10);
/// The slack that a forecast allows.
const SLACK: f64 = 1.25;

/// A replay: places work through accepted jobs in the order of their due times. Gateways learn of the
/// others' work a step late.
struct Replay {
    now: MonoTime,
    /// Work left of accepted jobs, by gateway.
    gateways: Vec<Vec<DueWork>>,
    /// The same as the others were told last.
    told: Vec<Vec<DueWork>>,
    accepted: usize,
    refused: Vec<Duration>,
    /// How long after its due time the latest job ended; zero when all were in time.
    latest: Duration,
}

impl Replay {
    fn new(gateways: usize) -> Self {
        Self {
            now: MonoTime::from_millis(1_000),
            gateways: vec![Vec::new(); gateways],
            told: vec![Vec::new(); gateways],
            accepted: 0,
            refused: Vec::new(),
            latest: Duration::ZERO,
        }
    }

    fn submit(&mut self, gateway: usize) {
        let mut works = self.gateways[gateway].clone();
        let others = self.told.iter().enumerate().filter(|(other, _)| *other != gateway);
        works.extend(others.flat_map(|(_, works)| works.iter().copied()));
        let job = DueWork { due: self.now + DUE, work: JOB_WORK };
        let demand = WorkDemand::new(works);
        let forecast = JobAdmissionForecast { demand: &demand, slots: f64::from(PLACES) };
        match forecast.refusal(job, self.now) {
            None => {
                self.gateways[gateway].push(job);
                self.accepted += 1;
            }
            Some(wait) => self.refused.push(wait),
        }
    }

    /// A step of work, in the order of due times at all gateways together.
    fn work(&mut self) {
        self.told = self.gateways.clone();
        let mut left = STEP * PLACES;
        let end = self.now + STEP;
        let mut open: Vec<&mut DueWork> = self.gateways.iter_mut().flatten().collect();
        open.sort_by_key(|work| work.due);
        for work in open {
            let done = work.work.min(left);
            work.work -= done;
            left -= done;
            if work.work.is_zero() {
                self.latest = self.latest.max(end.since(work.due));
            }
        }
        for works in &mut self.gateways {
            works.retain(|work| !work.work.is_zero());
        }
        self.now = end;
    }

    /// Jobs come for `time`, so many a second, at each gateway in turn.
    fn run(&mut self, time: Duration, jobs_per_second: f64) {
        let steps = (time.as_millis() / STEP.as_millis()) as usize;
        let mut come = 0.0;
        for _ in 0..steps {
            come += jobs_per_second * STEP.as_secs_f64();
            while come >= 1.0 {
                come -= 1.0;
                let count = self.accepted + self.refused.len();
                self.submit(count % self.gateways.len());
            }
            self.work();
        }
    }
}

/// Jobs that can be done each second.
fn capacity() -> f64 {
    f64::from(PLACES) / JOB_WORK.as_secs_f64()
}

// The load of the burst day: ninety times the usual jobs for four seconds. Where all are accepted a tenth of the
// items ends in time, and readers can't get through what is open.
#[rstest]
#[case::one_gateway(1)]
#[case::many_gateways(27)]
fn in_a_burst_the_accepted_jobs_are_those_that_can_be_done(#[case] gateways: usize) {
    let mut replay = Replay::new(gateways);
    replay.run(Duration::from_secs(4), 90.0 * capacity());
    assert!(!replay.refused.is_empty());
    // In time with the slack, and what a step of the burst brings before the others hear of it.
    let can = capacity() * (DUE.as_secs_f64() * SLACK + 4.0);
    let unheard = 90.0 * capacity() * STEP.as_secs_f64() + 1.0;
    assert!((replay.accepted as f64) <= can + 2.0 * unheard, "{} accepted", replay.accepted);
    assert!((replay.accepted as f64) >= capacity() * DUE.as_secs_f64(), "as many as fit");
    let accepted = replay.accepted;
    replay.run(DUE * 2, 0.0);
    assert_eq!(replay.accepted, accepted);
    let late = DUE.mul_f64(SLACK - 1.0) + Duration::from_secs_f64(2.0 * unheard / capacity());
    assert!(replay.latest <= late, "late by {:?}", replay.latest);
}

#[test]
fn usual_jobs_are_never_refused() {
    let mut replay = Replay::new(9);
    replay.run(Duration::from_secs(300), 0.95 * capacity());
    assert!(replay.refused.is_empty());
    assert_eq!(replay.latest, Duration::ZERO);
}

#[test]
fn a_burst_that_can_be_done_in_time_is_taken_whole() {
    let mut replay = Replay::new(9);
    replay.run(Duration::from_secs(10), 0.5 * capacity());
    // Six times the usual jobs for three seconds.
    replay.run(Duration::from_secs(3), 3.0 * capacity());
    replay.run(Duration::from_secs(20), 0.5 * capacity());
    assert!(replay.refused.is_empty());
    assert_eq!(replay.latest, Duration::ZERO);
}

#[test]
fn who_is_refused_is_told_when_there_may_be_time() {
    let mut replay = Replay::new(1);
    replay.run(Duration::from_secs(2), 90.0 * capacity());
    let wait = *replay.refused.last().expect("some are refused");
    assert!(wait >= Duration::from_millis(300) && wait <= Duration::from_secs(5), "{wait:?}");
    // As many have ended by then as are needed for one job more.
    replay.run(Duration::from_secs(5), 0.0);
    let refused = replay.refused.len();
    replay.submit(0);
    assert_eq!(replay.refused.len(), refused, "it is taken");
}

fn at(seconds: u64) -> MonoTime {
    MonoTime::from_millis(seconds * 1_000)
}

fn due(seconds: u64, work: u64) -> DueWork {
    DueWork { due: at(seconds), work: Duration::from_secs(work) }
}

#[rstest]
#[case::nothing_waits(&[], 10.0, due(10, 10_000), false)]
#[case::no_places_are_known(&[due(10, 10_000)], 0.0, due(10, 10), false)]
#[case::it_fits_behind_what_is_due_before(&[due(5, 40)], 10.0, due(10, 60), false)]
#[case::it_fits_with_the_slack(&[due(5, 40)], 10.0, due(10, 80), false)]
#[case::it_does_not_fit(&[due(5, 40)], 10.0, due(10, 90), true)]
#[case::what_is_due_later_is_not_before_it(&[due(100, 900)], 10.0, due(10, 90), false)]
#[case::what_is_due_later_keeps_its_time(&[due(20, 240)], 10.0, due(10, 20), true)]
#[case::what_was_accepted_last_is_looked_at_too(&[due(5, 10), due(30, 360)], 10.0, due(20, 20), true)]
fn a_job_is_refused_if_it_or_an_accepted_one_would_be_late(
    #[case] waiting: &[DueWork],
    #[case] places: f64,
    #[case] job: DueWork,
    #[case] is_refused: bool,
) {
    let demand = WorkDemand::new(waiting.to_vec());
    let forecast = JobAdmissionForecast { demand: &demand, slots: places };
    assert_eq!(forecast.refusal(job, at(0)).is_some(), is_refused);
}

fn any_work() -> impl Strategy<Value = DueWork> {
    (1_u64..60, 1_u64..400).prop_map(|(seconds, work)| due(seconds, work))
}

proptest! {
    /// What fits is never refused: if places get through all work in the order of its due times, each part
    /// in time, the job is taken.
    #[test]
    fn what_fits_is_taken(
        waiting in prop::collection::vec(any_work(), 0..12),
        job in any_work(),
        places in 1_u32..40,
    ) {
        let mut all: Vec<DueWork> = waiting.clone();
        all.push(job);
        all.sort_by_key(|work| work.due);
        let mut ahead = Duration::ZERO;
        let fits = all.iter().all(|work| {
            ahead += work.work;
            ahead <= work.due.since(at(0)) * places
        });
        let demand = WorkDemand::new(waiting);
        let forecast = JobAdmissionForecast { demand: &demand, slots: f64::from(places) };
        let refusal = forecast.refusal(job, at(0));
        prop_assert!(!(fits && refusal.is_some()));
    }

    /// Told in fewer parts, a demand is as large as before and refuses nothing more.
    #[test]
    fn a_merged_demand_refuses_nothing_more(
        waiting in prop::collection::vec(any_work(), 0..40),
        job in any_work(),
        most in 1_usize..8,
    ) {
        let demand = WorkDemand::new(waiting);
        let merged = WorkDemand::new(demand.merged(most));
        prop_assert!(merged.works().len() <= most);
        prop_assert_eq!(merged.total(), demand.total());
        let refused = |demand| JobAdmissionForecast { demand, slots: 10.0 }.refusal(job, at(0)).is_some();
        prop_assert!(refused(&demand) || !refused(&merged));
    }
}

#[test]
fn places_are_a_mean_over_several_crests() {
    let mut table = JobAdmissionTable::default();
    // Crests of two seconds in which no place is left, each six seconds.
    for tick in 0..600_u64 {
        let places = if tick % 60 < 20 { 0 } else { 90 };
        table.record_slots("s1", places, MonoTime::from_millis(tick * 100));
    }
    let places = table.mean_free_slots("s1");
    assert!((45.0..=75.0).contains(&places), "{places}");
    assert_eq!(table.mean_free_slots("s2"), 0.0, "nothing is known");
}

#[test]
fn a_gateway_that_is_not_heard_counts_no_longer() {
    let mut table = JobAdmissionTable::default();
    let peer = VmName::new("g-2");
    let demands = || [("s1".to_owned(), WorkDemand::new(vec![due(10, 5)]))].into_iter().collect();
    let pace = ItemRunTimeStats { item_us: 5_000_000, token_ns: 3_000, runs: 4 };
    table.take_demand(&peer, demands(), pace, at(1));
    assert_eq!(WorkDemand::joined(table.demands("s1")).total(), Duration::from_secs(5));
    assert_eq!(table.run_time(ItemRunTimeStats::default()).figures(), pace);
    table.expire(|_| true, at(4));
    assert_eq!(table.demands("s1").count(), 0);
    assert!(!table.run_time(ItemRunTimeStats::default()).is_known());
}

// The load: a burst at the start of a day. Of items that ended so soon most were short; a gateway that knows one of
// them only would take ten times the jobs in that can be done.
#[test]
fn what_a_few_runs_tell_counts_little() {
    let few = ItemRunTimeStats { item_us: 500_000, token_ns: 300, runs: 1 };
    let many = ItemRunTimeStats { item_us: 5_000_000, token_ns: 3_000, runs: 9 };
    let mean = ItemRunTime::mean_of([few, many].into_iter()).figures();
    assert_eq!((mean.item_us, mean.token_ns, mean.runs), (4_550_000, 2_730, 10));
    let unsized_runs = ItemRunTimeStats { item_us: 5_000_000, token_ns: 0, runs: 9 };
    let mean = ItemRunTime::mean_of([few, unsized_runs].into_iter()).figures();
    assert_eq!(mean.token_ns, 300, "items that told no tokens say nothing of them");
}
