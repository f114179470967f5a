//! The command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    magnolianotch::cli::main()
}
