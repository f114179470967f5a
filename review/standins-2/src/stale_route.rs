//! A route is added while a gateway is cut off. When the cut ends, the gateway takes over the batch jobs on that route,
//! which it doesn't know yet, and gives their items up.

use std::{
    collections::HashMap,
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::{batch_route_at, config, stream_route, Lot, Stage, CONTRACTS, ZONES},
    gateway::{Gateway, Sheet},
    server::Terms,
    Outcome,
};

/// Cuts, one after the other until the rule is broken.
const ROUNDS: u64 = 8;
/// Length of the first cut, of which 12 s are allowed; each further one is a little longer.
const CUT: Duration = Duration::from_millis(4_500);
const LONGER: Duration = Duration::from_millis(70);
const JOBS: usize = 9;
const ITEMS: usize = 10;
const WAIT: Duration = Duration::from_secs(4);
/// `itemTtlS`.
const LIFETIME: Duration = Duration::from_secs(60);

/// Items that are listed as `dead_letter`, with the time at which that was read.
fn dead_items(stage: &Stage, from: &Gateway, lots: &[Lot]) -> Vec<String> {
    let client = stage.client();
    let mut states: HashMap<String, usize> = HashMap::new();
    let mut dead = Vec::new();
    for lot in lots {
        for (item, state) in client.read(from.front, &lot.id).map_or_else(|_| vec![], |r| r.1) {
            if state == "dead_letter" {
                dead.push(item);
            }
            *states.entry(state).or_default() += 1;
        }
    }
    stage.record.line(&format!("client: results at {}: {states:?}", from.name));
    dead
}

pub fn run(stage: &Stage) -> Outcome {
    let fleet = stage.fleet(true);
    let mut routes = vec![stream_route()];
    stage.configure(&config(7, &routes, ""));
    for zone in ZONES.iter().cycle().take(18) {
        fleet.start(zone);
    }
    let Some(gateways) = stage.start_severable(3, &Sheet::new(CONTRACTS)) else {
        return Outcome::CouldNotRun;
    };
    let [first, second, cut] = gateways.as_slice() else { return Outcome::CouldNotRun };
    // An item takes four seconds.
    *fleet.terms.lock().unwrap() =
        Terms { events: 40, pause: Duration::from_millis(100), ..Terms::default() };
    let client = stage.client();

    for round in 0..ROUNDS {
        let began = Instant::now();
        if stage.trouble {
            cut.set_cut(true);
        }
        thread::sleep(Duration::from_millis(500));
        let folder = format!("zuma{round}");
        routes.push(batch_route_at(&folder, 0));
        stage.configure(&config(9 + 2 * round, &routes, ""));
        stage.record.line(&format!("store: acknowledges version {}, a new route", 9 + 2 * round));
        let length = CUT + LONGER * round as u32;
        thread::sleep(length.saturating_sub(began.elapsed() + Duration::from_millis(100)));
        let accepted = Instant::now();
        let mut lots = Vec::new();
        for number in 0..JOBS {
            let id = format!("7c41e09b52{:02x}{number:04x}", 0xd0 + round);
            let lot = Lot::on(&folder, &id, ITEMS, 200, 300);
            let to = if number % 2 == 0 { first } else { second };
            if client.submit(to, &lot, None, WAIT) == Some(202) {
                lots.push(lot);
            }
        }
        if lots.len() < JOBS {
            return Outcome::CouldNotRun;
        }
        thread::sleep(length.saturating_sub(began.elapsed()));
        if stage.trouble {
            cut.set_cut(false);
            let line = format!("the cut lasted {:.1} s", began.elapsed().as_secs_f64());
            stage.record.line(&line);
        }
        thread::sleep(Duration::from_millis(2_500));
        let dead = dead_items(stage, first, &lots);
        // No item was answered with 422 or 500, no batch job was ended, and no route was taken away.
        if !dead.is_empty() && accepted.elapsed() < LIFETIME {
            let runs: usize = dead.iter().map(|item| fleet.runs_of(item).len()).sum();
            stage.record.line(&format!(
                "round {round}: {} of {} items are listed as dead_letter {:.1} s after they were accepted; {runs} runs \
                 of these at servers, none of which answered with 422 or 500",
                dead.len(),
                JOBS * ITEMS,
                accepted.elapsed().as_secs_f64()
            ));
            return Outcome::Broken;
        }
        thread::sleep(Duration::from_millis(2_500));
    }
    Outcome::Held
}
