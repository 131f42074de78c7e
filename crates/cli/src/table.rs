//! Output as tables.

use comfy_table::{Table, presets::UTF8_BORDERS_ONLY};

/// Prints a table with a header to stdout.
pub fn print<S: AsRef<str>>(header: &[S], rows: impl IntoIterator<Item = Vec<String>>) {
    let mut table = Table::new();
    table
        .load_preset(UTF8_BORDERS_ONLY)
        .set_header(header.iter().map(AsRef::as_ref));
    for row in rows {
        table.add_row(row);
    }
    println!("{table}");
}
