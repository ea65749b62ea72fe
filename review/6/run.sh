#!/bin/sh
# Plays the case that claim.txt describes, in 100 seconds at most. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/foldtrack review/standins-2/target/release/trial-2; do
    [ -x "$program" ] || { echo "could not run: $program is not built"; exit 2; }
done
exec review/standins-2/target/release/trial-2 forged review/6
