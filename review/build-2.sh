#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the machine's own rustc and the standard library alone, and the
# project's programs that the cases start beside the proxy (one command builds both). Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline
mkdir -p target/review-2
for case in review/*/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$case"
done
