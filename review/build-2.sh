#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
