#!/bin/sh
# Builds the stand-ins and the scripted cases; needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
