//! Slopes.

/// Measures.
pub fn run() {}
