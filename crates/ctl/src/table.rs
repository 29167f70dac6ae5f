//! Tables with aligned columns.

/// Returns the rows as lines with aligned columns; the first row holds the titles.
///
/// The last cell of a row that is shorter than the others may run over the columns.
pub(crate) fn render(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let cell_width = |column: usize| {
        let whole = rows
            .iter()
            .filter(|row| row.len() == columns || column + 1 < row.len());
        let cells = whole.filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(cell_width).collect();
    rows.iter().map(|row| line(row, &widths)).collect()
}

/// Returns the rows without the columns in which no row but the titles says anything.
pub(crate) fn without_empty(rows: Vec<Vec<String>>) -> Vec<Vec<String>> {
    let columns = rows.first().map_or(0, Vec::len);
    let says = |row: &Vec<String>, column: usize| {
        row.len() == columns && row.get(column).is_some_and(|cell| cell != "-")
    };
    let is_kept = |column: usize| column < 2 || rows.iter().skip(1).any(|row| says(row, column));
    let kept: Vec<bool> = (0..columns).map(is_kept).collect();
    let filter = |row: Vec<String>| {
        let cells = row.into_iter().zip(&kept).filter(|(_, kept)| **kept);
        cells.map(|(cell, _)| cell).collect()
    };
    rows.into_iter().map(filter).collect()
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let padded: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    padded.join("  ").trim_end().to_owned() + "\n"
}

/// Returns a row of a table.
pub(crate) fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.into_iter().map(str::to_owned).collect()
}
