#!/usr/bin/env bash
# Builds the stand-in of the third review's cases, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin review/standin-3/main.rs
