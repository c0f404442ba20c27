//! Versioned configuration documents: their content, validation and differences.
