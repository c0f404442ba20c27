#!/usr/bin/env bash
# Builds the stand-ins of review cases 6 and on, from a clean checkout without a network. They need only
# the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
