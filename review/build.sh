#!/usr/bin/env bash
# Builds what the scripts of the review start, besides the host itself, which the build of the
# deploy file makes. Needs no network after that build.
set -eu
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline --target-dir ../../target/review
