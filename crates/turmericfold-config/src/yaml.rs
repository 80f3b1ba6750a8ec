//! Parses YAML text into a tree that keeps the location of each value.

use ecow::EcoString;
use granit_parser::{Event, Parser, ScalarStyle, Span};

use crate::{Fault, Mark};

/// The maximum nesting depth of values.
const MAX_DEPTH: usize = 32;

/// The maximum size of a file, in bytes.
const MAX_FILE_BYTES: usize = 64 << 20;

/// A value and its location.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) mark: Mark,
    pub(crate) value: Value,
}

/// The content of a node.
#[derive(Debug, Clone)]
pub(crate) enum Value {
    /// Text, a number or a flag; `plain` if written without quotes.
    Scalar { text: EcoString, plain: bool },
    /// A list.
    List(Vec<Node>),
    /// A mapping with distinct keys, in the order written.
    Map(Vec<Entry>),
}

/// One field of a mapping.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) key: EcoString,
    pub(crate) key_mark: Mark,
    pub(crate) value: Node,
}

impl Node {
    /// Returns the value of the field `key`, or `None` if the node is no mapping or
    /// does not have the field.
    pub(crate) fn get(&self, key: &str) -> Option<&Node> {
        let entry = self.entries().iter().find(|entry| entry.key == key)?;
        Some(&entry.value)
    }

    /// Returns the fields of a mapping, or an empty slice for any other node.
    pub(crate) fn entries(&self) -> &[Entry] {
        match &self.value {
            Value::Map(entries) => entries,
            _ => &[],
        }
    }

    /// Returns the text of a scalar, or `None` for any other node.
    pub(crate) fn text(&self) -> Option<&str> {
        match &self.value {
            Value::Scalar { text, .. } => Some(text),
            _ => None,
        }
    }

    /// Returns whether the value is null: empty, `~` or `null` without quotes.
    pub(crate) fn is_null(&self) -> bool {
        matches!(&self.value, Value::Scalar { text, plain: true }
            if matches!(text.as_str(), "" | "~" | "null"))
    }

    /// Returns the text that represents the value in a fault.
    pub(crate) fn to_fault_text(&self) -> EcoString {
        match &self.value {
            Value::Scalar { text, plain: true } => text.clone(),
            Value::Scalar { text, .. } => ecow::eco_format!("\"{text}\""),
            Value::List(_) => "a list".into(),
            Value::Map(_) => "a mapping".into(),
        }
    }
}

/// Parses one document and adds its faults to `faults`.
///
/// Returns `None` if there is no document or its root was not complete before
/// parsing stopped.
pub(crate) fn parse(file: &EcoString, text: &str, faults: &mut Vec<Fault>) -> Option<Node> {
    if text.len() > MAX_FILE_BYTES {
        let problem = ecow::eco_format!("larger than {MAX_FILE_BYTES} bytes");
        faults.push(Fault::new(&Mark::whole_file(file.clone()), "", problem));
        return None;
    }
    let mut builder = TreeBuilder {
        file,
        faults,
        open_collections: Vec::new(),
        root: None,
        documents: 0,
    };
    for parsed in Parser::new_from_str(text) {
        match parsed {
            Ok((event, span)) => {
                if builder.on_event(event, &span).is_none() {
                    break;
                }
            }
            Err(error) => {
                let mark = builder.mark_at(error.marker());
                let problem = ecow::eco_format!("not YAML: {}", error.info());
                builder.faults.push(Fault::new(&mark, "", problem));
                break;
            }
        }
    }
    builder.root
}

/// A list or mapping whose end has not been parsed yet.
struct OpenCollection {
    node: Node,
    /// The key that was parsed, if its value comes next.
    key: Option<(EcoString, Mark)>,
}

/// Builds the tree from the events of the parser.
struct TreeBuilder<'text> {
    file: &'text EcoString,
    faults: &'text mut Vec<Fault>,
    open_collections: Vec<OpenCollection>,
    root: Option<Node>,
    documents: usize,
}

impl TreeBuilder<'_> {
    /// Handles one event; returns `None` if parsing can't continue.
    fn on_event(&mut self, event: Event<'_>, span: &Span) -> Option<()> {
        let mark = self.mark_at(&span.start);
        match event {
            Event::DocumentStart(..) => {
                self.documents += 1;
                if self.documents > 1 {
                    let fault = Fault::new(&mark, "", "contains a second document")
                        .with_hint("split it into two files");
                    self.faults.push(fault);
                    return None;
                }
            }
            Event::Scalar(text, style, _, tag) => {
                if tag.is_some() {
                    self.faults
                        .push(Fault::new(&mark, "", "tags are not supported"));
                }
                let value = Value::Scalar {
                    text: text.as_ref().into(),
                    plain: style == ScalarStyle::Plain,
                };
                self.add(Node { mark, value });
            }
            Event::SequenceStart(..) => self.open_collection(mark, Value::List(Vec::new()))?,
            Event::MappingStart(..) => self.open_collection(mark, Value::Map(Vec::new()))?,
            Event::SequenceEnd | Event::MappingEnd => {
                let closed = self.open_collections.pop()?;
                self.add(closed.node);
            }
            Event::Alias(_) | Event::UnresolvedAlias(_) => {
                let fault = Fault::new(&mark, "", "anchors and aliases are not supported")
                    .with_hint("write out the value");
                self.faults.push(fault);
                return None;
            }
            _ => {}
        }
        Some(())
    }

    fn open_collection(&mut self, mark: Mark, value: Value) -> Option<()> {
        if self.open_collections.len() >= MAX_DEPTH {
            let problem = ecow::eco_format!("nested deeper than {MAX_DEPTH} levels");
            self.faults.push(Fault::new(&mark, "", problem));
            return None;
        }
        let node = Node { mark, value };
        self.open_collections
            .push(OpenCollection { node, key: None });
        Some(())
    }

    /// Adds a complete value to the innermost open collection, or makes it the root
    /// if none is open.
    fn add(&mut self, node: Node) {
        let Some(parent) = self.open_collections.last_mut() else {
            self.root = Some(node);
            return;
        };
        let entries = match &mut parent.node.value {
            Value::List(items) => {
                items.push(node);
                return;
            }
            Value::Map(entries) => entries,
            Value::Scalar { .. } => return,
        };
        let Some((key, key_mark)) = parent.key.take() else {
            parent.key = Some(into_key(node, self.faults));
            return;
        };
        if let Some(first) = entries.iter().find(|entry| entry.key == key) {
            let problem = ecow::eco_format!("`{key}` appears twice");
            let fault = Fault::new(&key_mark, "", problem).with_hint(ecow::eco_format!(
                "first defined at line {}",
                first.key_mark.line
            ));
            self.faults.push(fault);
            return;
        }
        entries.push(Entry {
            key,
            key_mark,
            value: node,
        });
    }

    fn mark_at(&self, marker: &granit_parser::Marker) -> Mark {
        Mark {
            file: self.file.clone(),
            line: marker.line(),
            column: marker.col() + 1,
        }
    }
}

fn into_key(node: Node, faults: &mut Vec<Fault>) -> (EcoString, Mark) {
    match node.value {
        Value::Scalar { text, .. } => (text, node.mark),
        _ => {
            faults.push(Fault::new(
                &node.mark,
                "",
                "the name of a field must be text",
            ));
            (EcoString::new(), node.mark)
        }
    }
}
