#!/bin/sh
# Builds the stand-ins of the scripts. They need nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/scene/Cargo.toml --target-dir target/review
