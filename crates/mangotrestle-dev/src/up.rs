//! Keeps the demonstration's cell running until interrupted.
