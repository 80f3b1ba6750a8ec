#!/bin/sh
# Builds the stand-ins of the second review; run from the root of the repository.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/trial review/stand-in-2/main.rs
