#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 and up start. Needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-2/Cargo.toml --target-dir target/review-2
