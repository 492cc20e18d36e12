#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: one program, of the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2024 -o target/review/standins review/standins/main.rs
