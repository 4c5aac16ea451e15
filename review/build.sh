#!/bin/sh
# Builds the stand-ins of the cases into target/review/; they use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand review/standin/main.rs
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
