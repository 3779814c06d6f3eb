#!/bin/sh
# Builds the stand-ins that the cases of the third review start. Needs no network: they use the
# standard library alone.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-3"
for name in interim_heads late_tail restart_behind_silence release_during_outage; do
    rustc --edition 2021 -O -o "$root/target/review-3/$name" "$root/review/stand-ins-3/$name.rs"
done
