//! A stand-in for an upstream.
