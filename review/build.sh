#!/usr/bin/env bash
# Builds the stand-ins of the cases, the project's own included, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/stand/Cargo.toml --target-dir target/review
