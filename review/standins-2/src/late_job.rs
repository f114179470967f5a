//! A batch job whose write at the store gets no answer and is done seconds later, after the machine that sent it was
//! lost. The client sends the job again, and gets its 202.

use std::{thread, time::Duration};

use crate::{
    common::{batch_route, config, stream_route, until, Lot, Stage, CONTRACTS, ZONES},
    gateway::{Sheet, SIGKILL, SIGSTOP},
    store::Manner,
    Outcome,
};

/// The write is done this long after it was sent.
const LATE: Duration = Duration::from_millis(3_500);
/// How long the client waits for a 202: the time budget of the sheet.
const CLIENT_WAIT: Duration = Duration::from_secs(4);
/// How long the batch job has after that: `finishByS`, and more.
const FINISH: Duration = Duration::from_secs(30);

pub fn run(stage: &Stage) -> Outcome {
    let fleet = stage.fleet(false);
    stage.configure(&config(7, &[stream_route(), batch_route(0)], ""));
    for zone in ZONES.iter().cycle().take(6) {
        fleet.start(zone);
    }
    let Some(gateways) = stage.start_gateways(4, &Sheet::new(CONTRACTS)) else {
        return Outcome::CouldNotRun;
    };
    let client = stage.client();

    // A batch job on a calm system, to show that it works.
    let first = Lot::new("7c41e09b52d6a3f0", 3, 200, 300);
    if client.submit(&gateways[1], &first, None, CLIENT_WAIT) != Some(202) {
        return Outcome::CouldNotRun;
    }
    let is_done = |lot: &Lot| {
        let read = client.read(gateways[2].front, &lot.id);
        read.is_ok_and(|(total, results)| results.len() as u64 == total)
    };
    if !until(Duration::from_secs(20), || is_done(&first)) {
        return Outcome::CouldNotRun;
    }
    stage.record.line("the first batch job is done");

    let lot = Lot::new("7c41e09b52d6a3f8", 3, 200, 300);
    let lost = &gateways[0];
    if stage.trouble {
        let late = Some(("POST /magnolianotch/objects/notch-jobs".to_owned(), LATE));
        lost.endpoint.set(Manner { late, ..Manner::default() });
    }
    let answers = thread::scope(|scope| {
        let sending = scope.spawn(|| client.submit(lost, &lot, None, CLIENT_WAIT));
        if stage.trouble {
            // The machine is lost while its call is under way: it falls silent and never comes back.
            until(Duration::from_secs(2), || lost.endpoint.late_calls() > 0);
            lost.signal(SIGSTOP);
        }
        sending.join().expect("the client ends")
    });
    let accepted = match answers {
        Some(202) => Some(202),
        _ => client.submit(&gateways[1], &lot, None, CLIENT_WAIT),
    };
    if stage.trouble {
        lost.signal(SIGKILL);
        lost.reap();
    }
    if accepted != Some(202) {
        stage.record.line("the batch job was not accepted");
        return Outcome::CouldNotRun;
    }
    let is_listed = until(FINISH, || is_done(&lot));
    for gateway in &gateways[1..] {
        let read = client.read(gateway.front, &lot.id);
        stage.record.line(&format!("client: results of {} at {}: {read:?}", lot.id, gateway.name));
    }
    let runs: usize = lot.items.iter().map(|item| fleet.runs_of(item).len()).sum();
    stage.record.line(&format!(
        "{} s after the 202: all items listed: {is_listed}, runs at servers: {runs}, the store's record: owner {:?}",
        FINISH.as_secs(),
        stage.store.spec("notch-jobs", &lot.id).and_then(|spec| {
            let at = spec.find("\"owner\"")?;
            Some(spec[at..].chars().take(50).collect::<String>())
        })
    ));
    if is_listed {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
