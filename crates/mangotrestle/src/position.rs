//! Line and column numbers for error messages.

/// Returns the number of the line that contains the byte at `offset_bytes`, starting at one.
#[must_use]
pub fn line_at(text: &str, offset_bytes: usize) -> usize {
    text_before(text, offset_bytes).split('\n').count()
}

/// Returns the position within its line of the character that contains the byte at `offset_bytes`,
/// in characters and starting at one.
#[must_use]
pub fn column_at(text: &str, offset_bytes: usize) -> usize {
    let line = text_before(text, offset_bytes).rsplit('\n').next();
    line.map_or(0, |line| line.chars().count()) + 1
}

fn text_before(text: &str, offset_bytes: usize) -> &str {
    &text[..text.floor_char_boundary(offset_bytes)]
}
