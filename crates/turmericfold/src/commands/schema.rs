//! `turmericfold schema`.

use anyhow::Result;
use turmericfold_config::{Configuration, Settings};

use crate::args::SchemaKind;
use crate::exit::ExitCode;

/// Prints the JSON Schema of a kind of file.
pub(super) fn schema(kind: SchemaKind) -> Result<ExitCode> {
    let schema = match kind {
        SchemaKind::Configuration => Configuration::json_schema(),
        SchemaKind::Settings => Settings::json_schema(),
    };
    println!("{}", serde_json::to_string_pretty(&schema)?);
    Ok(ExitCode::Done)
}
