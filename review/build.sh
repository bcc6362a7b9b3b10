#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the standard library alone. The project's own programs are built by the
# deploy file's `build`.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[0-9]*/main.rs; do
    number=$(basename "$(dirname "$main")")
    rustc --edition 2024 -O -o "target/review/case-$number" "$main"
done
