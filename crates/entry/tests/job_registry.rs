//! A gateway's in-memory state of jobs.

use std::{sync::Arc, time::Duration};

use notch_entry::batch::job_registry::JobRegistry;
use notch_relay::prelude::*;
use notch_types::prelude::*;

fn job(listed: &[&str]) -> OwnedJob {
    let item = |id: &str| ItemSpec {
        id: id.to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        answer: AnswerSize::default(),
        limit_tokens: 9,
    };
    let terms = JobTerms {
        due: Duration::from_secs(18),
        item_lifetime: Duration::from_secs(60),
        max_attempts: 2,
    };
    let spec = JobSpec {
        id: "j1".to_owned(),
        host: "h".to_owned(),
        path: "/".to_owned(),
        route: "r1".to_owned(),
        account: String::new(),
        accepted_at: WallTime(0),
        terms,
        items: vec![item("0"), item("1")],
    };
    let line = |id: &&str| {
        let (state, output) = (ItemState::Completed, "x".to_owned());
        Arc::new(ResultLine { id: (*id).to_owned(), state, output })
    };
    OwnedJob::new(Arc::new(spec), listed.iter().map(line).collect(), Now::at_millis(0))
}

/// Guards against a result that disappears after it was read. A client ends a job while results are
/// being stored; another gateway reads them from the store; then the former owner is asked. It
/// treated its list as complete because the job had ended.
#[test]
fn an_ended_jobs_list_is_not_treated_as_complete() {
    let mut registry = JobRegistry::default();
    assert!(registry.own_job(job(&["0"])));
    registry.retire_job("j1");
    let held = registry.cache.get("j1").expect("the job is cached");
    assert!(!held.is_whole(), "a write of results may be in progress");
}

/// Guards against items that run seconds after their job was ended. A job is submitted twice while
/// the store is slow; the first submission is accepted and ended; then the second one's write turns
/// out to name this gateway as the owner. The job was started again.
#[test]
fn an_ended_job_does_not_start_again() {
    let mut registry = JobRegistry::default();
    assert!(registry.own_job(job(&[])));
    registry.note_ended("j1", MonoTime::default());
    registry.retire_job("j1");
    assert!(!registry.own_job(job(&[])));
    assert!(registry.open_owned().is_empty());
}

#[test]
fn a_job_is_owned_once() {
    let mut registry = JobRegistry::default();
    assert!(registry.own_job(job(&["0"])));
    assert!(!registry.own_job(job(&[])));
    assert_eq!(registry.table.get("j1").map(|job| job.results().len()), Some(1));
}

/// Guards against memory that grows from day to day. Jobs are closed and ended at other gateways,
/// thousands a day; their owners and ends were kept forever.
#[test]
fn done_jobs_are_dropped_eventually() {
    let at = MonoTime::from_millis;
    let mut registry = JobRegistry::default();
    registry.note_owner(&["closed".to_owned(), "open".to_owned()], "g-2#1");
    registry.note_closed("closed", at(1_000));
    registry.note_ended("ended", at(2_000));
    registry.forget_done(at(1_000));
    assert!(
        registry.is_known("closed") && registry.is_ended("ended"),
        "kept until the retention time is over"
    );
    registry.forget_done(at(2_001));
    assert!(!registry.is_known("closed") && !registry.is_ended("ended"));
    assert!(registry.is_known("open"));
}
