#!/bin/sh
# Builds the stand-ins of the cases 11 to 14: one program that uses only the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/stand-3/main.rs -o target/review-3/stand
