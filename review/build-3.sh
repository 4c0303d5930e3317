#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases from 11 on start. They need no crates.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins-3/Cargo.toml --target-dir target/review-3
