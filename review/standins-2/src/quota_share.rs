//! A gateway that is cut off keeps the part of a limit on waiting tokens that it held, though the others have given it
//! away meanwhile.

use std::{thread, time::Duration};

use crate::{
    common::{batch_route, config, stream_route, until, Lot, Stage, CONTRACTS, ZONES},
    gateway::{Gateway, Sheet},
    server::{Fleet, Terms},
    Outcome,
};

const CAP: u64 = 100_000;
const TOKENS: u64 = 1_000;
/// `quotaOverrun`.
const OVERRUN: f64 = 0.1;
/// Longest cut: that of `node_cut` in the site files.
const LONGEST_CUT: Duration = Duration::from_secs(12);
const WAIT: Duration = Duration::from_secs(4);

struct Jobs<'a> {
    stage: &'a Stage,
    fleet: &'a Fleet,
    accepted: Vec<Lot>,
    most: u64,
}

impl Jobs<'_> {
    fn open_tokens(&self) -> u64 {
        let finished = self.fleet.finished.lock().unwrap();
        let items = self.accepted.iter().flat_map(|lot| &lot.items);
        items.filter(|item| !finished.contains(*item)).count() as u64 * TOKENS
    }

    /// Submits a job of so many thousand tokens, again after each refusal, until it is accepted or `patience` is over.
    fn submit(&mut self, number: u32, items: usize, to: &Gateway, patience: Duration) -> bool {
        let lot = Lot::new(&format!("7c41e09b52d6{number:04x}"), items, 40, TOKENS);
        let client = self.stage.client();
        let is_accepted = until(patience, || {
            let is_accepted = client.submit(to, &lot, None, WAIT) == Some(202);
            if !is_accepted {
                thread::sleep(Duration::from_millis(400));
            }
            is_accepted
        });
        if is_accepted {
            self.accepted.push(lot);
            let open = self.open_tokens();
            self.most = self.most.max(open);
            self.stage.record.line(&format!(
                "at this 202, accepted items that no server has finished: {open} tokens of {CAP}"
            ));
        }
        is_accepted
    }

    fn await_done(&self) -> bool {
        until(Duration::from_secs(15), || self.open_tokens() == 0)
    }
}

pub fn run(stage: &Stage) -> Outcome {
    let fleet = stage.fleet(true);
    stage.configure(&config(7, &[stream_route(), batch_route(CAP)], ""));
    for zone in ZONES.iter().cycle().take(18) {
        fleet.start(zone);
    }
    let Some(gateways) = stage.start_severable(3, &Sheet::new(CONTRACTS)) else {
        return Outcome::CouldNotRun;
    };
    let [b, c, a] = gateways.as_slice() else { return Outcome::CouldNotRun };
    let mut jobs = Jobs { stage, fleet: &fleet, accepted: Vec::new(), most: 0 };
    let calm = Duration::from_secs(3);

    // The first gateway gets a part of the limit for a job, and keeps it when the job is done.
    if !jobs.submit(1, 40, a, calm) || !jobs.await_done() {
        return Outcome::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let began = std::time::Instant::now();
    if stage.trouble {
        a.set_cut(true);
        thread::sleep(Duration::from_millis(1_500));
    }
    // The others need its part, and take it once it has been silent for long.
    let is_taken = jobs.submit(2, 70, b, LONGEST_CUT - Duration::from_secs(3)) && jobs.await_done();
    let is_moved = is_taken && jobs.submit(3, 30, c, calm) && jobs.await_done();
    if stage.trouble {
        let cut = began.elapsed();
        a.set_cut(false);
        stage.record.line(&format!("the cut lasted {:.1} s", cut.as_secs_f64()));
        if cut > LONGEST_CUT {
            return Outcome::CouldNotRun;
        }
    }
    if !is_moved {
        stage.record.line("the jobs of the others were not accepted or not done");
        return Outcome::CouldNotRun;
    }
    // Longer than `stableWindowMs` after the cut.
    thread::sleep(Duration::from_secs(6));
    let slow = Terms { events: 60, pause: Duration::from_secs(1), ..Terms::default() };
    *fleet.terms.lock().unwrap() = slow;
    jobs.submit(4, 38, a, calm);
    jobs.submit(5, 90, c, calm);
    let allowed = (CAP as f64 * (1.0 + OVERRUN)) as u64;
    stage.record.line(&format!("most at a 202: {} tokens, allowed {allowed}", jobs.most));
    if jobs.most > allowed {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
