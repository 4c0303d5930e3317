#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases from 6 on start. They need no crates.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins/Cargo.toml --target-dir target/review-2
