#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the third review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline \
    --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
