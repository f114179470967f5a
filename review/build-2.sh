#!/bin/sh
# Builds the stand-ins that the cases 4 to 8 start. They use the standard library alone, so that no network is needed.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
