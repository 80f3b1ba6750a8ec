//! The stored form of a job's record.
//!
//! The load: jobs of thousands of steps, whose bodies just fit what callers may send. A field of a
//! step that has its default value is left out, so that the record stays within a value of the store.

use serde_json::{Map, Value};
use turmericfold_jobs::JobRecord;

/// Encodes a record.
///
/// # Errors
/// Fails if the record can't be encoded as JSON.
pub(super) fn encode_record(record: &JobRecord) -> serde_json::Result<String> {
    let mut value = serde_json::to_value(record)?;
    let steps = value
        .pointer_mut("/spec/steps")
        .and_then(Value::as_array_mut);
    for step in steps.into_iter().flatten() {
        if let Value::Object(fields) = step {
            drop_defaults(fields);
        }
    }
    serde_json::to_string(&value)
}

/// Removes the fields that have their default value.
fn drop_defaults(fields: &mut Map<String, Value>) {
    fields.retain(|_, value| !is_default(value));
}

fn is_default(value: &Value) -> bool {
    match value {
        Value::Null => true,
        Value::Bool(value) => !value,
        Value::Number(number) => number.as_u64() == Some(0),
        Value::String(text) => text.is_empty(),
        Value::Array(items) => items.is_empty(),
        Value::Object(fields) => fields.values().all(is_default),
    }
}
