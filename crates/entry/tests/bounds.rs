//! Bounds that must respect each other, see docs/POLICY.md.

use std::time::Duration;

use notch_entry::constants::{
    JOB_INTAKE_TIMEOUT, JOB_STORING_TIMEOUT, LIMIT_DECISION_TIMEOUT, MAX_PEER_MESSAGE_BYTES,
    OBJECT_BYTES, REFUSAL_LOOKUP_TIMEOUT, RESULT_PAGE_BYTES,
};
use notch_link::prelude::LinkSettings;
use notch_relay::prelude::StopSchedule;
use notch_settings::prelude::{EntryConfig, MIN_STOP_GRACE, SettingsFile};
use rstest::rstest;

/// Largest page of results that clients accept.
const CLIENT_PAGE_BYTES: usize = 1_000_000;
/// Bytes of a page or message beside its contents, at most.
const FRAME_BYTES: usize = 4 << 10;
/// Time that a submission waits for the read of the own entry.
const OWN_ENTRY_WAIT: Duration = Duration::from_millis(400);

/// Guards against a bound that is changed without the one that it must respect.
#[test]
fn bounds_respect_each_other() {
    const { assert!(OBJECT_BYTES + FRAME_BYTES <= MAX_PEER_MESSAGE_BYTES) };
    assert!(MAX_PEER_MESSAGE_BYTES + FRAME_BYTES <= LinkSettings::default().max_message_bytes);
    const { assert!(RESULT_PAGE_BYTES + FRAME_BYTES <= CLIENT_PAGE_BYTES) };
    let parts =
        [OWN_ENTRY_WAIT, LIMIT_DECISION_TIMEOUT, REFUSAL_LOOKUP_TIMEOUT, JOB_STORING_TIMEOUT];
    assert!(parts.iter().sum::<Duration>() <= JOB_INTAKE_TIMEOUT);
    let config = EntryConfig::default();
    assert!(JOB_INTAKE_TIMEOUT < StopSchedule::within(config.stop.grace).exit);
    assert!(StopSchedule::within(MIN_STOP_GRACE).exit < MIN_STOP_GRACE);
}

/// Guards against settings under which a process can't stop gracefully, or can't write a job.
#[rstest]
#[case::grace("[stop]\ngrace = 1s\n", "grace")]
#[case::object_limit("[store]\nobject_limit = 10KB\n", "object_limit")]
fn settings_that_leave_too_little_are_refused(#[case] text: &str, #[case] key: &str) {
    let node = "[node]\nvm = g-1\ndomain = a\n";
    let errors = EntryConfig::from_file(&SettingsFile::parse(&format!("{node}{text}")));
    let errors = errors.expect_err("too little").to_string();
    assert!(errors.contains(key), "{errors}");
}
