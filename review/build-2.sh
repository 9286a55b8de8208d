#!/bin/sh
# Builds the stand-ins of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
cargo build --offline --release --target-dir target/review-2 \
    --manifest-path review/standins-2/Cargo.toml
