//! Human-readable tables.

/// Rows of text below a header, with columns as wide as their widest cell.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the given header and no rows.
    #[must_use]
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(ToString::to_string).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row; cells beyond the header's columns are shown as well.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Whether the table has no rows below its header.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    /// Returns the table as text, one line per row.
    #[must_use]
    pub fn render(&self) -> String {
        let widths = self.widths();
        self.rows
            .iter()
            .map(|row| render_row(row, &widths))
            .collect()
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width_of = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells
                .map(|cell| without_control_characters(cell).chars().count())
                .max()
        };
        (0..columns)
            .map(|column| width_of(column).unwrap_or(0))
            .collect()
    }
}

fn render_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let cells: Vec<String> = cells
        .map(|(cell, width)| format!("{:<width$}", without_control_characters(cell)))
        .collect();
    format!("{}\n", cells.join("  ").trim_end())
}

/// Replaces control characters, since text from other systems must neither break the table nor
/// send control sequences to the terminal.
fn without_control_characters(cell: &str) -> String {
    cell.replace(char::is_control, " ")
}
