#!/bin/sh
# Builds the stand-ins of the cases into target/review. They need the standard library only.
cd "$(dirname "$0")/.." && mkdir -p target/review &&
    rustc --edition 2024 -O -o target/review/stand review/stand/main.rs
