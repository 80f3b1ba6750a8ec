//! Schemas: which fields a file has and which values each field accepts.
//!
//! The same table is used for validation and for the JSON Schema, so they can't
//! differ.

use serde_json::{Map, Value as Json, json};

/// The schema of one value.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Schema {
    /// A mapping with known fields.
    Object(&'static [Field]),
    /// A mapping from names to values of one schema.
    Named(&'static Schema),
    /// A mapping from any text to values of one schema.
    Keyed(&'static Schema),
    /// A list of distinct values of one schema, with the minimum and maximum number
    /// of entries.
    List(&'static Schema, usize, usize),
    /// A whole number in an inclusive range.
    Number { min: u64, max: u64 },
    /// `true` or `false`.
    Flag,
    /// One of several words.
    Choice(&'static [&'static str]),
    /// A name: letters, digits, `-` and `_`.
    Name,
    /// `IP:port`.
    Address,
    /// The path of a file.
    Path,
    /// A base URL with the scheme `http`.
    Url,
}

/// One field of an object.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Field {
    pub(crate) name: &'static str,
    pub(crate) description: &'static str,
    pub(crate) schema: Schema,
    pub(crate) required: bool,
}

/// Creates a required field.
pub(crate) const fn required(
    name: &'static str,
    description: &'static str,
    schema: Schema,
) -> Field {
    Field {
        name,
        description,
        schema,
        required: true,
    }
}

/// Creates an optional field.
pub(crate) const fn optional(
    name: &'static str,
    description: &'static str,
    schema: Schema,
) -> Field {
    Field {
        name,
        description,
        schema,
        required: false,
    }
}

/// Creates the schema of a whole number from `min` to `max`.
pub(crate) const fn number(min: u64, max: u64) -> Schema {
    Schema::Number { min, max }
}

/// The regular expression that names match.
const NAME_PATTERN: &str = "^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$";

/// Returns the JSON Schema of a schema.
pub(crate) fn json_schema(title: &str, schema: &Schema) -> Json {
    let mut json = json_schema_of(schema);
    if let Json::Object(fields) = &mut json {
        fields.insert(
            "$schema".into(),
            "https://json-schema.org/draft/2020-12/schema".into(),
        );
        fields.insert("title".into(), title.into());
    }
    json
}

fn json_schema_of(schema: &Schema) -> Json {
    match schema {
        Schema::Object(fields) => object_json_schema(fields),
        Schema::Named(value) => json!({
            "type": "object",
            "propertyNames": { "pattern": NAME_PATTERN },
            "additionalProperties": json_schema_of(value),
        }),
        Schema::Keyed(value) => json!({
            "type": "object",
            "additionalProperties": json_schema_of(value),
        }),
        Schema::List(item, min, max) => json!({
            "type": "array",
            "items": json_schema_of(item),
            "minItems": min,
            "maxItems": max,
            "uniqueItems": true,
        }),
        Schema::Number { min, max } => {
            json!({ "type": "integer", "minimum": min, "maximum": max })
        }
        Schema::Flag => json!({ "type": "boolean" }),
        Schema::Choice(words) => json!({ "enum": words }),
        Schema::Name => json!({ "type": "string", "pattern": NAME_PATTERN }),
        Schema::Address => json!({ "type": "string", "description": "IP:port" }),
        Schema::Path => json!({ "type": "string", "minLength": 1 }),
        Schema::Url => json!({ "type": "string", "pattern": "^http://" }),
    }
}

fn object_json_schema(fields: &[Field]) -> Json {
    let properties: Map<String, Json> = fields
        .iter()
        .map(|field| {
            let mut json = json_schema_of(&field.schema);
            if let Json::Object(entries) = &mut json {
                entries.insert("description".into(), field.description.into());
            }
            (field.name.to_owned(), json)
        })
        .collect();
    let required_names: Vec<_> = fields
        .iter()
        .filter(|field| field.required)
        .map(|field| field.name)
        .collect();
    json!({
        "type": "object",
        "properties": properties,
        "required": required_names,
        "additionalProperties": false,
    })
}
