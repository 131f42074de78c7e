#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later, which use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2021 -O -o target/review-2 review/harness-2/main.rs
