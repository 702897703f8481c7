#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start; needs the compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/main.rs
