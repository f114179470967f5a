//! Thin entry point.

fn main() {}
