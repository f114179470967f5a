//! The cases of the review: each starts gateways of the project against stand-ins of the platform, of servers and of
//! clients, brings one disruption about, and checks one rule.

mod common;
mod foreign_entry;
mod gateway;
mod http;
mod json;
mod late_job;
mod proxy;
mod record;
mod revoked_key;
mod server;
mod stale_route;
mod store;
mod stored_jobs;

use std::{env, path::PathBuf, process::exit};

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    let words: Vec<String> = env::args().collect();
    let [_, case, folder] = words.as_slice() else {
        eprintln!("review-case CASE FOLDER");
        exit(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let run: fn(&common::Stage) -> Outcome = match case.as_str() {
        "foreign-entry" => foreign_entry::run,
        "late-job" => late_job::run,
        "stored-jobs" => stored_jobs::run,
        "stale-route" => stale_route::run,
        "revoked-key" => revoked_key::run,
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    };
    gateway::end_children_on_signals();
    let stage = common::Stage::new(&folder, trouble);
    let outcome = run(&stage);
    let (word, code) = match outcome {
        Outcome::Held => ("the rule held", 0),
        Outcome::Broken => ("the rule was broken", 1),
        Outcome::CouldNotRun => ("the case could not run", 2),
    };
    stage.record.line(word);
    println!("{word}");
    stage.end();
    exit(code);
}
