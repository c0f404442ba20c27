//! Tables for people.

/// Rows of text under a head, with columns as wide as their widest cell.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with this head and no rows.
    #[must_use]
    pub fn new(head: &[&str]) -> Self {
        let head = head.iter().map(ToString::to_string).collect();
        Self { rows: vec![head] }
    }

    /// Adds a row; cells beyond the head's are shown as well.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Whether there is nothing under the head.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    /// The table as text, one line a row.
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
            cells.map(|cell| one_line(cell).chars().count()).max()
        };
        (0..columns)
            .map(|column| width_of(column).unwrap_or(0))
            .collect()
    }
}

fn render_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let cells: Vec<String> = cells
        .map(|(cell, width)| format!("{:<width$}", one_line(cell)))
        .collect();
    format!("{}\n", cells.join("  ").trim_end())
}

/// Text from other systems must not break the table or drive the terminal.
fn one_line(cell: &str) -> String {
    cell.replace(char::is_control, " ")
}
