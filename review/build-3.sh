#!/usr/bin/env bash
# Builds the stand-ins of the third review; needs the compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -D warnings -o target/review-3/standins-3 review/standins-3/main.rs
