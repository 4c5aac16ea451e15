#!/usr/bin/env bash
# Builds the stand-ins of the second review. Needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
