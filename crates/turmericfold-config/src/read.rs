//! Reads settings and configuration files and reports all their faults at once.

use std::path::{Path, PathBuf};

use ecow::EcoString;
use serde::de::DeserializeOwned;
use serde_json::Value as Json;

use crate::schema::{Schema, json_schema};
use crate::schema_tables::{CONFIGURATION, SETTINGS};
use crate::validate::{mark_of, validate};
use crate::yaml::{Node, Value, parse};
use crate::{Configuration, Fault, Faults, Mark, Settings, cross_checks};

impl Settings {
    /// Reads a settings file.
    ///
    /// Fails with all faults of the file.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        let mut faults = Vec::new();
        let file = display_path(path);
        let text = read_text(path, &mut faults);
        let root = text.and_then(|text| parse(&file, &text, &mut faults));
        build(root, &file, &SETTINGS, cross_checks::check_settings, faults)
    }

    /// Reads settings from text; faults name it `file`.
    ///
    /// Fails with all faults of the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = Vec::new();
        let file = EcoString::from(file);
        let root = parse(&file, text, &mut faults);
        build(root, &file, &SETTINGS, cross_checks::check_settings, faults)
    }

    /// Returns the JSON Schema of a settings file.
    pub fn json_schema() -> Json {
        json_schema("turmericfold settings", &SETTINGS)
    }
}

impl Configuration {
    /// Reads a configuration from a file, or from all `*.yaml` files of a directory
    /// in the order of their names.
    ///
    /// Fails with the faults of all files.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        let mut faults = Vec::new();
        let mut root = None;
        for path in files_at(path, &mut faults) {
            let file = display_path(&path);
            let text = read_text(&path, &mut faults);
            let part = text.and_then(|text| parse(&file, &text, &mut faults));
            root = merge_parts(root, part, &mut faults);
        }
        build(
            root,
            &display_path(path),
            &CONFIGURATION,
            cross_checks::check_configuration,
            faults,
        )
    }

    /// Reads a configuration from text; faults name it `file`.
    ///
    /// Fails with all faults of the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = Vec::new();
        let file = EcoString::from(file);
        let root = parse(&file, text, &mut faults);
        build(
            root,
            &file,
            &CONFIGURATION,
            cross_checks::check_configuration,
            faults,
        )
    }

    /// Returns the JSON Schema of a configuration.
    pub fn json_schema() -> Json {
        json_schema("turmericfold configuration", &CONFIGURATION)
    }
}

/// Validates a parsed file and converts it to its type, or returns its faults.
fn build<Target, CrossCheck>(
    root: Option<Node>,
    file: &EcoString,
    schema: &Schema,
    cross_check: CrossCheck,
    mut faults: Vec<Fault>,
) -> Result<Target, Faults>
where
    Target: DeserializeOwned,
    CrossCheck: Fn(&Node, &mut Vec<Fault>),
{
    if root.is_none() && faults.is_empty() {
        faults.push(Fault::new(&Mark::whole_file(file.clone()), "", "is empty"));
    }
    let mark = mark_of(root.as_ref(), file);
    let json = root.as_ref().and_then(|root| {
        let json = validate(root, schema, "", &mut faults);
        cross_check(root, &mut faults);
        json
    });
    let value = match json {
        Some(json) if faults.is_empty() => match serde_json::from_value(json) {
            Ok(value) => Some(value),
            Err(error) => {
                faults.push(Fault::new(&mark, "", ecow::eco_format!("{error}")));
                None
            }
        },
        _ => None,
    };
    Faults(faults).or_value(value)
}

fn display_path(path: &Path) -> EcoString {
    ecow::eco_format!("{}", path.display())
}

/// Returns the fault of a file or directory that can't be read.
fn unreadable(path: &Path, error: &std::io::Error) -> Fault {
    let mark = Mark::whole_file(display_path(path));
    Fault::new(&mark, "", ecow::eco_format!("can't be read: {error}"))
}

fn read_text(path: &Path, faults: &mut Vec<Fault>) -> Option<String> {
    let mark = Mark::whole_file(display_path(path));
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) => {
            faults.push(unreadable(path, &error));
            return None;
        }
    };
    match String::from_utf8(bytes) {
        Ok(text) => Some(text),
        Err(error) => {
            let valid_bytes = error.utf8_error().valid_up_to();
            let problem = ecow::eco_format!("is not valid UTF-8 from byte {valid_bytes} on");
            faults.push(Fault::new(&mark, "", problem));
            None
        }
    }
}

/// Returns the file at `path`, or the `*.yaml` files of the directory at `path`.
fn files_at(path: &Path, faults: &mut Vec<Fault>) -> Vec<PathBuf> {
    if !path.is_dir() {
        return vec![path.to_owned()];
    }
    let mark = Mark::whole_file(display_path(path));
    let mut files: Vec<PathBuf> = match std::fs::read_dir(path) {
        Ok(entries) => entries
            .filter_map(|entry| Some(entry.ok()?.path()))
            .filter(|path| {
                path.extension()
                    .is_some_and(|extension| extension == "yaml")
            })
            .collect(),
        Err(error) => {
            faults.push(unreadable(path, &error));
            return Vec::new();
        }
    };
    if files.is_empty() {
        faults.push(Fault::new(&mark, "", "contains no *.yaml file"));
    }
    files.sort();
    files
}

/// Merges two files of one configuration. Sections that both files have are merged
/// entry by entry.
fn merge_parts(root: Option<Node>, part: Option<Node>, faults: &mut Vec<Fault>) -> Option<Node> {
    let (Some(mut root), Some(part)) = (root.clone(), part.clone()) else {
        return root.or(part);
    };
    let Value::Map(sections) = &mut root.value else {
        return Some(root);
    };
    let Value::Map(more) = part.value else {
        faults
            .push(Fault::new(&part.mark, "", "must be a mapping").with_seen(part.to_fault_text()));
        return Some(root);
    };
    for section in more {
        match sections.iter_mut().find(|known| known.key == section.key) {
            None => sections.push(section),
            Some(known) => merge_sections(&mut known.value, section.value, &section.key, faults),
        }
    }
    Some(root)
}

fn merge_sections(known: &mut Node, more: Node, section: &str, faults: &mut Vec<Fault>) {
    let (Value::Map(known), Value::Map(more)) = (&mut known.value, more.value) else {
        faults.push(Fault::new(
            &more.mark,
            section,
            "appears in two files, but is not a mapping in both",
        ));
        return;
    };
    for entry in more {
        if let Some(first) = known.iter().find(|first| first.key == entry.key) {
            let field = crate::validate::join_path(section, &entry.key);
            let fault = Fault::new(&entry.key_mark, &field, "appears in two files");
            faults.push(fault.with_hint(ecow::eco_format!("first defined at {}", first.key_mark)));
            continue;
        }
        known.push(entry);
    }
}
