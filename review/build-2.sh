#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need no crate.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml
