#!/usr/bin/env bash
# Everything a change must pass: format, lints, size of the decision module, tests, release build.
# Tests that fail for a known fault are listed in KNOWN-RED.txt, if there are any: just these are passed over, and named.
set -euo pipefail
cd "$(dirname "$0")"
policy=$(sed -n 's/^policy = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')
[ -n "$policy" ]
# The names have no spaces: they are split into words.
lines=$(cat $policy | grep -c '[^[:space:]]')
wide=$(cat $policy | awk 'length($0) > 110' | wc -l)
echo "$policy: $lines lines that are not blank (1200 at most), $wide over 110 characters"
if [ "$lines" -gt 1200 ] || [ "$wide" -gt 0 ]; then
    echo "the decision module is over its limits" >&2
    exit 1
fi
cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings
# The forwarder alone: the experiment tool is built for its tests.
cargo build --locked --release
names=$(cargo test --locked --workspace -- --list | sed -n 's/: test$//p')
skips=$(.ci/known-red KNOWN-RED.txt <<<"$names")
# Names have no spaces. Exact: a test whose name holds that of another is not passed over with it.
cargo test --locked --workspace -- --exact $skips
