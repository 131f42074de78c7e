//! Tables for people.

use comfy_table::{Table, presets::UTF8_BORDERS_ONLY};

/// Prints rows under a header.
pub fn print<const N: usize>(header: [&str; N], rows: impl IntoIterator<Item = [String; N]>) {
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY).set_header(header);
    for row in rows {
        table.add_row(row);
    }
    println!("{table}");
}
