#!/usr/bin/env bash
# All checks that a change must pass: formatting, lints, release build, tests.
# Tests with known failures are listed in KNOWN-RED.txt, if there are any. Only these are skipped, and each is reported.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
# Builds the forwarder alone; the experiment tool is built by its tests.
cargo build --locked --release
names=$(cargo test --locked --workspace -- --list | sed -n 's/: test$//p')
skips=$(.ci/known-red KNOWN-RED.txt <<<"$names")
# $skips is unquoted to be split into arguments: test names contain no spaces. Without --exact, --skip would also skip
# every test whose name contains the name of a skipped one.
cargo test --locked --workspace -- --exact $skips
