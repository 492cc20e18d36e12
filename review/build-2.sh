#!/usr/bin/env bash
# Builds the program that the scripts of the second review run: stand-ins of the store, of workers and of callers. Its
# one dependency is a library that the deploy file's build fetches, too.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
