//! The laboratory's command.

#![allow(clippy::unwrap_used, reason = "a surprise fails the test")]

use std::process::{Command, Output};

use rstest::rstest;

fn run(line: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_magnolianotch")).args(line.split(' ')).output().unwrap()
}

// Guards against a misspelt name that is taken for a pattern or a policy.
#[rstest]
#[case("lab no-such-pattern", "there are: crests")]
#[case("lab calm --compare guess", "no policy guess")]
fn an_unknown_name_is_told(#[case] line: &str, #[case] told: &str) {
    let ended = run(line);
    assert_eq!((ended.status.code(), ended.stdout.as_slice()), (Some(2), &b""[..]));
    let notes = String::from_utf8(ended.stderr).unwrap();
    assert!(notes.contains(told), "{notes}");
}
