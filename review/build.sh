#!/usr/bin/env bash
# Builds the stand-ins of the scripts, which need nothing but the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
