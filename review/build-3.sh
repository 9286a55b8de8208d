#!/bin/sh
# Builds the stand-ins of the third review; needs no network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
