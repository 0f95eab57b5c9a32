#!/bin/sh
# Builds the stand-ins of the second review's scripts. They need nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/scene-2/Cargo.toml --target-dir target/review-2
