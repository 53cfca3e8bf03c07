#!/bin/sh
# Builds the stand-ins that the scripts start. They need no library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/standins/Cargo.toml --target-dir target/review
