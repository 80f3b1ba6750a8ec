//! Validates a YAML tree against a schema and converts it to JSON.

use std::net::{IpAddr, SocketAddr};

use ecow::{EcoString, eco_format};
use serde_json::{Map, Value as Json};

use crate::schema::{Field, Schema};
use crate::yaml::{Entry, Node, Value};
use crate::{Fault, Mark};

/// Converts `node` to JSON and adds every deviation from `schema` to `faults`.
///
/// Faulty values are left out of the JSON.
pub(crate) fn validate(
    node: &Node,
    schema: &Schema,
    field: &str,
    faults: &mut Vec<Fault>,
) -> Option<Json> {
    match schema {
        Schema::Object(fields) => validate_object(node, fields, field, faults),
        Schema::Named(value) => {
            let entries = mapping(node, field, faults)?;
            for entry in entries.iter().filter(|entry| !is_name(&entry.key)) {
                let fault = Fault::new(&entry.key_mark, field, "not a valid name");
                faults.push(
                    fault
                        .with_seen(entry.key.clone())
                        .with_allowed(NAME_ALLOWED),
                );
            }
            Some(validate_values(entries, value, field, faults))
        }
        Schema::Keyed(value) => {
            let entries = mapping(node, field, faults)?;
            Some(validate_values(entries, value, field, faults))
        }
        Schema::List(item, min, max) => validate_list(node, item, (*min, *max), field, faults),
        Schema::Number { min, max } => validate_number(node, *min, *max, field, faults),
        Schema::Flag => validate_flag(node, field, faults),
        Schema::Choice(words) => validate_choice(node, words, field, faults),
        Schema::Name => validate_text(node, field, NAME_ALLOWED, is_name, faults),
        Schema::Address => validate_text(
            node,
            field,
            "IP:port with a port from 1",
            is_address,
            faults,
        ),
        Schema::Path => validate_text(node, field, "a path", |text| !text.is_empty(), faults),
        Schema::Url => validate_text(node, field, "http://host:port", is_url, faults),
    }
}

const NAME_ALLOWED: &str = "up to 63 letters, digits, `-` and `_`";

fn validate_object(
    node: &Node,
    fields: &[Field],
    path: &str,
    faults: &mut Vec<Fault>,
) -> Option<Json> {
    let entries = mapping(node, path, faults)?;
    let mut json = Map::new();
    for entry in entries {
        let path = join_path(path, &entry.key);
        let Some(field) = fields.iter().find(|field| field.name == entry.key) else {
            let names = fields.iter().map(|field| field.name);
            let fault = Fault::new(&entry.key_mark, &path, "unknown field")
                .with_suggestion(&entry.key, names.clone());
            let names: Vec<_> = names.collect();
            faults.push(fault.with_allowed(names.join(", ")));
            continue;
        };
        if entry.value.is_null() && !field.required {
            continue;
        }
        if let Some(value) = validate(&entry.value, &field.schema, &path, faults) {
            json.insert(field.name.to_owned(), value);
        }
    }
    for field in fields.iter().filter(|field| field.required) {
        if !entries.iter().any(|entry| entry.key == field.name) {
            let path = join_path(path, field.name);
            let fault = Fault::new(&node.mark, &path, "missing");
            faults.push(fault.with_hint(eco_format!(
                "add `{}`: {}",
                field.name,
                field.description
            )));
        }
    }
    Some(Json::Object(json))
}

fn validate_values(
    entries: &[Entry],
    schema: &Schema,
    path: &str,
    faults: &mut Vec<Fault>,
) -> Json {
    let mut json = Map::new();
    for entry in entries {
        let path = join_path(path, &entry.key);
        if let Some(value) = validate(&entry.value, schema, &path, faults) {
            json.insert(entry.key.to_string(), value);
        }
    }
    Json::Object(json)
}

fn mapping<'node>(
    node: &'node Node,
    path: &str,
    faults: &mut Vec<Fault>,
) -> Option<&'node [Entry]> {
    match &node.value {
        Value::Map(entries) => Some(entries),
        _ => {
            faults.push(wrong_type(node, path, "a mapping"));
            None
        }
    }
}

fn validate_list(
    node: &Node,
    item: &Schema,
    (min, max): (usize, usize),
    path: &str,
    faults: &mut Vec<Fault>,
) -> Option<Json> {
    let Value::List(items) = &node.value else {
        faults.push(wrong_type(node, path, "a list"));
        return None;
    };
    if items.len() < min || items.len() > max {
        let fault = Fault::new(&node.mark, path, eco_format!("has {} entries", items.len()));
        faults.push(fault.with_allowed(eco_format!("{min} to {max}")));
    }
    let mut json: Vec<Json> = Vec::new();
    for (index, node) in items.iter().enumerate() {
        let path = eco_format!("{path}[{index}]");
        let Some(value) = validate(node, item, &path, faults) else {
            continue;
        };
        if json.contains(&value) {
            faults.push(
                Fault::new(&node.mark, &path, "appears twice").with_seen(node.to_fault_text()),
            );
            continue;
        }
        json.push(value);
    }
    Some(Json::Array(json))
}

fn validate_number(
    node: &Node,
    min: u64,
    max: u64,
    path: &str,
    faults: &mut Vec<Fault>,
) -> Option<Json> {
    let Value::Scalar { text, plain } = &node.value else {
        faults.push(wrong_type(node, path, "a whole number"));
        return None;
    };
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let number = if *plain && digits {
        text.parse::<u64>().ok()
    } else {
        None
    };
    let allowed = eco_format!("{min} to {max}");
    match number {
        Some(number) if (min..=max).contains(&number) => Some(number.into()),
        Some(_) => {
            faults.push(
                Fault::new(&node.mark, path, "out of range")
                    .with_seen(node.to_fault_text())
                    .with_allowed(allowed),
            );
            None
        }
        None => {
            let mut fault = wrong_type(node, path, "a whole number").with_allowed(allowed);
            if digits {
                fault = fault.with_hint("write it without quotes");
            }
            faults.push(fault);
            None
        }
    }
}

fn validate_flag(node: &Node, path: &str, faults: &mut Vec<Fault>) -> Option<Json> {
    match &node.value {
        Value::Scalar { text, plain: true } if text == "true" => Some(true.into()),
        Value::Scalar { text, plain: true } if text == "false" => Some(false.into()),
        _ => {
            faults.push(wrong_type(node, path, "`true` or `false`"));
            None
        }
    }
}

fn validate_choice(
    node: &Node,
    words: &[&str],
    path: &str,
    faults: &mut Vec<Fault>,
) -> Option<Json> {
    let text = node.text().unwrap_or_default();
    if words.contains(&text) {
        return Some(text.into());
    }
    let fault = Fault::new(&node.mark, path, "unknown value")
        .with_seen(node.to_fault_text())
        .with_allowed(words.join(", "))
        .with_suggestion(text, words.iter().copied());
    faults.push(fault);
    None
}

fn validate_text<Rule>(
    node: &Node,
    path: &str,
    allowed: &str,
    is_allowed: Rule,
    faults: &mut Vec<Fault>,
) -> Option<Json>
where
    Rule: Fn(&str) -> bool,
{
    match node.text() {
        Some(text) if !node.is_null() && is_allowed(text) => Some(text.into()),
        _ => {
            let problem = if node.is_null() {
                "has no value"
            } else {
                "not allowed"
            };
            faults.push(
                Fault::new(&node.mark, path, problem)
                    .with_seen(node.to_fault_text())
                    .with_allowed(allowed),
            );
            None
        }
    }
}

fn wrong_type(node: &Node, path: &str, expected: &str) -> Fault {
    let problem = if node.is_null() {
        eco_format!("has no value; must be {expected}")
    } else {
        eco_format!("must be {expected}")
    };
    Fault::new(&node.mark, path, problem).with_seen(node.to_fault_text())
}

/// Returns the path of the field `name` in the mapping at `path`.
pub(crate) fn join_path(path: &str, name: &str) -> EcoString {
    if path.is_empty() {
        name.into()
    } else {
        eco_format!("{path}.{name}")
    }
}

fn is_name(text: &str) -> bool {
    let mut bytes = text.bytes();
    text.len() <= 63
        && bytes
            .next()
            .is_some_and(|byte| byte.is_ascii_alphanumeric())
        && bytes.all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_')
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>()
        .is_ok_and(|address| address.port() > 0)
}

fn is_url(text: &str) -> bool {
    let Some(rest) = text.strip_prefix("http://") else {
        return false;
    };
    let authority = rest.split('/').next().unwrap_or_default();
    let (host, port) = match authority.rsplit_once(':') {
        Some((host, port)) if !port.ends_with(']') => (host, Some(port)),
        _ => (authority, None),
    };
    let bracketed = host
        .strip_prefix('[')
        .and_then(|host| host.strip_suffix(']'));
    let host_fits = match bracketed {
        Some(address) => address.parse::<IpAddr>().is_ok(),
        None => {
            !host.is_empty()
                && host
                    .bytes()
                    .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'.')
        }
    };
    host_fits
        && port.is_none_or(|port| port.parse::<u16>().is_ok_and(|port| port > 0))
        && rest.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Returns the location of `node`, or the whole file if there is no node.
pub(crate) fn mark_of(node: Option<&Node>, file: &EcoString) -> Mark {
    node.map_or_else(|| Mark::whole_file(file.clone()), |node| node.mark.clone())
}
