#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] || { echo 'run review/build.sh first' >&2; exit 2; }
exec target/review/cases late-request review/3
