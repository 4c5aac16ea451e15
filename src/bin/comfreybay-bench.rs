//! Experiments with stand-ins for the platform.

fn main() {}
