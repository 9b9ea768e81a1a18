#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. It needs the build of the
# deploy file, and no network.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline \
    --manifest-path review/standin-2/Cargo.toml
