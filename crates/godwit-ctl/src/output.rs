//! Prints command output as tables or JSON.

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde::Serialize;

use crate::error::CtlError;

/// Output format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Format {
    Table,
    Json,
}

impl Format {
    pub(crate) fn new(is_json: bool) -> Format {
        if is_json { Format::Json } else { Format::Table }
    }
}

/// Prints `rows` as a table with the given header, or `value` as JSON.
pub(crate) fn print_rows<T: Serialize>(
    format: Format,
    header: &[&str],
    rows: &[Vec<String>],
    value: &T,
) -> Result<(), CtlError> {
    if format == Format::Json {
        return print_json(value);
    }
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(header.iter().map(|title| title.to_uppercase()));
    for row in rows {
        table.add_row(row);
    }
    println!("{table}");
    Ok(())
}

/// Prints a value as JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) -> Result<(), CtlError> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
