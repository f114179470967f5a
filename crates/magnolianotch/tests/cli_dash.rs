//! A dash on the command line stands for standard input.

#![allow(clippy::unwrap_used, reason = "a surprise fails the test")]

use std::{
    io::Write,
    process::{Command, Stdio},
};

use rstest::rstest;

/// An address where nobody listens.
const NOWHERE: &str = "http://127.0.0.1:1";

// Symptom: `job submit --target m --due 6h -` ends with "Unrecognized argument: -" and code 2,
// although the help says that - is standard input.
// Sequence: a lone dash reaches the argument library.
// Cause: the library takes whatever begins with a dash for an option.
#[rstest]
#[case("job submit --target diary --due 6h -", "", 3, "connection refused")]
#[case("job submit - --target diary --due 6h", "", 3, "connection refused")]
#[case("catalogue put account a - --new", r#"{"owner": "x"}"#, 1, "key_sha256 is required")]
#[case("catalogue put --new leaving vm-1 -", "{}", 3, "connection refused")]
#[case("job submit -", "", 2, "--target")]
fn a_dash_is_standard_input(
    #[case] line: &str,
    #[case] input: &str,
    #[case] code: i32,
    #[case] told: &str,
) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_magnolianotch"))
        .args(line.split(' '))
        .args(["--gateway", NOWHERE, "--key", "secret"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A command that ends before it reads takes no input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let ended = child.wait_with_output().unwrap();
    let notes = String::from_utf8(ended.stderr).unwrap();
    assert!(notes.contains(told), "{notes}");
    assert_eq!(ended.status.code(), Some(code));
}
