//! A stand-in for an upstream.

fn main() {}
