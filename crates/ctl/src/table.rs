//! Tables in plain text.

use crate::output::print_line;

/// Prints a heading and rows, with each column as wide as its widest cell.
pub(crate) fn print_table(heading: &[&str], rows: &[Vec<String>]) {
    for line in table_lines(heading, rows) {
        print_line(&line);
    }
}

fn table_lines(heading: &[&str], rows: &[Vec<String>]) -> Vec<String> {
    let heading: Vec<String> = heading.iter().map(|cell| (*cell).to_owned()).collect();
    let width = |column: usize| {
        let cells = rows.iter().chain([&heading]).filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heading.len()).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    std::iter::once(&heading).chain(rows).map(line).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn columns_are_aligned() {
        let rows = vec![vec!["router-10".to_owned(), "7".to_owned()]];
        assert_eq!(table_lines(&["router", "n"], &rows), ["router     n", "router-10  7"]);
    }
}
