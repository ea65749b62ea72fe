#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They use the standard library only, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --offline --locked
