#!/bin/sh
# Builds the stand-ins of cases 11 to 15: the project's own, and those of review/standins-3, which use the standard library
# only. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --bin hemlockctl
mkdir -p target/release/review-3
rustc --edition 2024 -O -o target/release/review-3/driver review/standins-3/driver.rs
