//! Job admission when more jobs arrive than can be done before they are due.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

/// Slots available to items.
const SLOTS: u32 = 100;
/// Work of a usual job: ten items of five seconds.
const JOB_WORK: Duration = Duration::from_secs(50);
/// Time until a job is due.
const DUE: Duration = Duration::from_secs(18);
/// Step of the simulation, which is also the delay until other gateways know of an accepted job.
const STEP: Duration = Duration::from_millis(10);
/// The overcommit factor of the forecast.
const OVERCOMMIT_FACTOR: f64 = 1.25;

/// Simulation in which slots process the accepted jobs in order of their due times. Gateways learn
/// of the others' work with a delay of one step.
struct Replay {
    now: MonoTime,
    /// Remaining work of accepted jobs, by gateway.
    gateways: Vec<Vec<DueWork>>,
    /// The same, as last reported to the other gateways.
    reported: Vec<Vec<DueWork>>,
    accepted: usize,
    refused: Vec<Duration>,
    /// Maximum lateness of a job; zero if all were in time.
    latest: Duration,
}

impl Replay {
    fn new(gateways: usize) -> Self {
        Self {
            now: MonoTime::from_millis(1_000),
            gateways: vec![Vec::new(); gateways],
            reported: vec![Vec::new(); gateways],
            accepted: 0,
            refused: Vec::new(),
            latest: Duration::ZERO,
        }
    }

    fn submit(&mut self, gateway: usize) {
        let mut works = self.gateways[gateway].clone();
        let others = self.reported.iter().enumerate().filter(|(other, _)| *other != gateway);
        works.extend(others.flat_map(|(_, works)| works.iter().copied()));
        let job = DueWork { due: self.now + DUE, work: JOB_WORK };
        let demand = WorkDemand::new(works);
        let forecast = JobAdmissionForecast { demand: &demand, slots: f64::from(SLOTS) };
        match forecast.refusal(job, self.now) {
            None => {
                self.gateways[gateway].push(job);
                self.accepted += 1;
            }
            Some(wait) => self.refused.push(wait),
        }
    }

    /// Processes one step of work in order of due times over all gateways.
    fn work(&mut self) {
        self.reported = self.gateways.clone();
        let mut left = STEP * SLOTS;
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

    /// Simulates `jobs_per_second` arriving for `time`, at each gateway in turn.
    fn run(&mut self, time: Duration, jobs_per_second: f64) {
        let steps = (time.as_millis() / STEP.as_millis()) as usize;
        let mut pending_jobs = 0.0;
        for _ in 0..steps {
            pending_jobs += jobs_per_second * STEP.as_secs_f64();
            while pending_jobs >= 1.0 {
                pending_jobs -= 1.0;
                let count = self.accepted + self.refused.len();
                self.submit(count % self.gateways.len());
            }
            self.work();
        }
    }
}

/// Number of jobs that can be done per second.
fn capacity() -> f64 {
    f64::from(SLOTS) / JOB_WORK.as_secs_f64()
}

// Guards against accepting all jobs of a burst, here ninety times the usual jobs for four seconds:
// only a tenth of the items would end in time, and readers could not get through the open jobs.
#[rstest]
#[case::one_gateway(1)]
#[case::many_gateways(27)]
fn in_a_burst_jobs_are_accepted_up_to_capacity(#[case] gateways: usize) {
    let mut replay = Replay::new(gateways);
    replay.run(Duration::from_secs(4), 90.0 * capacity());
    assert!(!replay.refused.is_empty());
    // Jobs that can be done in time including the overcommit, plus those accepted in a step of the
    // burst before other gateways learn of them.
    let feasible = capacity() * (DUE.as_secs_f64() * OVERCOMMIT_FACTOR + 4.0);
    let unreported = 90.0 * capacity() * STEP.as_secs_f64() + 1.0;
    assert!(
        (replay.accepted as f64) <= feasible + 2.0 * unreported,
        "{} accepted",
        replay.accepted
    );
    assert!(
        (replay.accepted as f64) >= capacity() * DUE.as_secs_f64(),
        "all jobs that fit are accepted"
    );
    let accepted = replay.accepted;
    replay.run(DUE * 2, 0.0);
    assert_eq!(replay.accepted, accepted);
    let late = DUE.mul_f64(OVERCOMMIT_FACTOR - 1.0)
        + Duration::from_secs_f64(2.0 * unreported / capacity());
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
fn a_burst_within_capacity_is_accepted_completely() {
    let mut replay = Replay::new(9);
    replay.run(Duration::from_secs(10), 0.5 * capacity());
    // Six times the usual jobs for three seconds.
    replay.run(Duration::from_secs(3), 3.0 * capacity());
    replay.run(Duration::from_secs(20), 0.5 * capacity());
    assert!(replay.refused.is_empty());
    assert_eq!(replay.latest, Duration::ZERO);
}

#[test]
fn a_refused_job_is_accepted_after_the_retry_delay() {
    let mut replay = Replay::new(1);
    replay.run(Duration::from_secs(2), 90.0 * capacity());
    let wait = *replay.refused.last().expect("some are refused");
    assert!(wait >= Duration::from_millis(300) && wait <= Duration::from_secs(5), "{wait:?}");
    // By now, enough work has ended for one more job.
    replay.run(Duration::from_secs(5), 0.0);
    let refused = replay.refused.len();
    replay.submit(0);
    assert_eq!(replay.refused.len(), refused, "the job is accepted");
}

fn at(seconds: u64) -> MonoTime {
    MonoTime::from_millis(seconds * 1_000)
}

fn due(seconds: u64, work: u64) -> DueWork {
    DueWork { due: at(seconds), work: Duration::from_secs(work) }
}

#[rstest]
#[case::nothing_waits(&[], 10.0, due(10, 10_000), false)]
#[case::no_slots_are_known(&[due(10, 10_000)], 0.0, due(10, 10), false)]
#[case::it_fits_after_work_due_before_it(&[due(5, 40)], 10.0, due(10, 60), false)]
#[case::it_fits_with_overcommit(&[due(5, 40)], 10.0, due(10, 80), false)]
#[case::it_does_not_fit(&[due(5, 40)], 10.0, due(10, 90), true)]
#[case::work_due_later_does_not_delay_it(&[due(100, 900)], 10.0, due(10, 90), false)]
#[case::it_would_delay_work_due_later(&[due(20, 240)], 10.0, due(10, 20), true)]
#[case::it_would_delay_the_last_accepted_job(&[due(5, 10), due(30, 360)], 10.0, due(20, 20), true)]
fn a_job_is_refused_if_any_job_would_be_late(
    #[case] waiting: &[DueWork],
    #[case] slots: f64,
    #[case] job: DueWork,
    #[case] is_refused: bool,
) {
    let demand = WorkDemand::new(waiting.to_vec());
    let forecast = JobAdmissionForecast { demand: &demand, slots };
    assert_eq!(forecast.refusal(job, at(0)).is_some(), is_refused);
}

fn any_work() -> impl Strategy<Value = DueWork> {
    (1_u64..60, 1_u64..400).prop_map(|(seconds, work)| due(seconds, work))
}

proptest! {
    /// A job that fits is never refused: if the slots can process all work in order of due times
    /// with each part in time, the job is accepted.
    #[test]
    fn jobs_that_fit_are_accepted(
        waiting in prop::collection::vec(any_work(), 0..12),
        job in any_work(),
        slots in 1_u32..40,
    ) {
        let mut all: Vec<DueWork> = waiting.clone();
        all.push(job);
        all.sort_by_key(|work| work.due);
        let mut ahead = Duration::ZERO;
        let fits = all.iter().all(|work| {
            ahead += work.work;
            ahead <= work.due.since(at(0)) * slots
        });
        let demand = WorkDemand::new(waiting);
        let forecast = JobAdmissionForecast { demand: &demand, slots: f64::from(slots) };
        let refusal = forecast.refusal(job, at(0));
        prop_assert!(!(fits && refusal.is_some()));
    }

    /// Merging a demand keeps its total and refuses no additional job.
    #[test]
    fn a_merged_demand_refuses_no_additional_job(
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
fn slots_are_averaged_over_several_peaks() {
    let mut table = JobAdmissionTable::default();
    // Peaks of two seconds without a free slot, one every six seconds.
    for tick in 0..600_u64 {
        let slots = if tick % 60 < 20 { 0 } else { 90 };
        table.record_slots("s1", slots, MonoTime::from_millis(tick * 100));
    }
    let slots = table.mean_free_slots("s1");
    assert!((45.0..=75.0).contains(&slots), "{slots}");
    assert_eq!(table.mean_free_slots("s2"), 0.0, "no data");
}

#[test]
fn reports_of_a_silent_gateway_expire() {
    let mut table = JobAdmissionTable::default();
    let peer = VmName::new("g-2");
    let demands = || [("s1".to_owned(), WorkDemand::new(vec![due(10, 5)]))].into_iter().collect();
    let run_time = ItemRunTimeStats { item_us: 5_000_000, token_ns: 3_000, runs: 4 };
    table.take_demand(&peer, demands(), run_time, at(1));
    assert_eq!(WorkDemand::joined(table.demands("s1")).total(), Duration::from_secs(5));
    assert_eq!(table.run_time(ItemRunTimeStats::default()).figures(), run_time);
    table.expire(|_| true, at(4));
    assert_eq!(table.demands("s1").count(), 0);
    assert!(!table.run_time(ItemRunTimeStats::default()).is_known());
}

// Guards against accepting ten times the jobs that can be done in a burst at the start of a day:
// most of the items that have ended by then are short, and a gateway that has seen only one of them
// underestimates the others.
#[test]
fn run_times_are_weighted_by_the_number_of_runs() {
    let few = ItemRunTimeStats { item_us: 500_000, token_ns: 300, runs: 1 };
    let many = ItemRunTimeStats { item_us: 5_000_000, token_ns: 3_000, runs: 9 };
    let mean = ItemRunTime::mean_of([few, many].into_iter()).figures();
    assert_eq!((mean.item_us, mean.token_ns, mean.runs), (4_550_000, 2_730, 10));
    let unsized_runs = ItemRunTimeStats { item_us: 5_000_000, token_ns: 0, runs: 9 };
    let mean = ItemRunTime::mean_of([few, unsized_runs].into_iter()).figures();
    assert_eq!(mean.token_ns, 300, "runs without tokens do not count");
}
