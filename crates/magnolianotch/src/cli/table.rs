//! Tables of text for a person.

use super::output::CommandOutput;

/// Blanks between two columns.
const GAP: usize = 2;

/// Rows under a head, in columns as wide as their widest cell.
pub(super) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// A table without rows; `first` names what a row is.
    pub(super) fn new(first: &str, others: &[&str]) -> Self {
        let head = std::iter::once(first).chain(others.iter().copied());
        Self { rows: vec![head.map(str::to_owned).collect()] }
    }

    /// Adds a row; cells that are left out stay blank.
    pub(super) fn row(&mut self, cells: &[&str]) {
        self.rows.push(cells.iter().map(|cell| (*cell).to_owned()).collect());
    }

    /// Writes the table after an empty line. Without rows, one line says that there are none.
    pub(super) fn write(&self, output: &mut CommandOutput) {
        output.line("");
        if let [head] = self.rows.as_slice() {
            let name = head.first().map_or("", String::as_str);
            output.line(&format!("{name}: none"));
            return;
        }
        for row in &self.rows {
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column) + GAP;
                line.push_str(&format!("{cell:width$}"));
            }
            output.line(&line);
        }
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}
