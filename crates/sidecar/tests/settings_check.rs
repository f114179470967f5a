//! `--check`, and what a daemon says of settings that can't be used.

#![allow(clippy::unwrap_used, reason = "a surprise fails the test")]

use std::{fs, path::PathBuf, process::Command};

use rstest::rstest;

const GOOD: &str = "[node]\nvm = vm-7\ndomain = east\nregion = r\n[target]\nname = diary\n[links]\nsecret = sixteen-bytes-long\n";

// Symptom: a script that checks settings takes a bad file for a crash, or a good one for unread.
// Sequence: `--check`, or a start, with a good or a bad file.
// Cause: the daemons had different exit codes, and one said nothing of a good file.
#[rstest]
#[case("good", GOOD, &["--check"], 0, "valid, for VM vm-7 in failure domain east")]
#[case("typo", "[node]\nvn = 1\n", &["--check"], 2, "[node] vn: unknown key")]
#[case("typo-start", "[node]\nvn = 1\n", &[], 2, "[node] vn: unknown key")]
fn settings_are_judged(
    #[case] name: &str,
    #[case] text: &str,
    #[case] options: &[&str],
    #[case] code: i32,
    #[case] told: &str,
) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
    fs::write(&path, text).unwrap();
    let ended = Command::new(env!("CARGO_BIN_EXE_notch-sidecar"))
        .arg("--config")
        .arg(&path)
        .args(options)
        .output()
        .unwrap();
    let text = String::from_utf8([ended.stdout, ended.stderr].concat()).unwrap();
    assert!(text.contains(told), "{text}");
    assert_eq!(ended.status.code(), Some(code), "{text}");
}
