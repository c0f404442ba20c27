//! Places in a text, as messages to people name them.

/// Number of the line that holds a byte, from one.
#[must_use]
pub fn line_at(text: &str, offset_bytes: usize) -> usize {
    before(text, offset_bytes).split('\n').count()
}

/// Number of the character that holds a byte, in its line, from one.
#[must_use]
pub fn column_at(text: &str, offset_bytes: usize) -> usize {
    let line = before(text, offset_bytes).rsplit('\n').next();
    line.map_or(0, |line| line.chars().count()) + 1
}

fn before(text: &str, offset_bytes: usize) -> &str {
    &text[..text.floor_char_boundary(offset_bytes)]
}
