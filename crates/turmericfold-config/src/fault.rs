//! Faults in settings and configuration files, with their location and a hint.

use std::fmt;

use ecow::EcoString;
use serde::Serialize;

/// A location in a file.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Mark {
    /// The file, as the operator named it.
    pub file: EcoString,
    /// The line, from 1; 0 for the whole file.
    pub line: usize,
    /// The column, from 1; 0 for the whole line.
    pub column: usize,
}

impl Mark {
    /// Creates a location that means a whole file.
    pub fn whole_file(file: EcoString) -> Self {
        Self {
            file,
            line: 0,
            column: 0,
        }
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        Ok(())
    }
}

/// One fault in a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The location of the fault.
    pub mark: Mark,
    /// The field, such as `services.visits.profile`; empty for the whole file.
    pub field: EcoString,
    /// What is wrong.
    pub problem: EcoString,
    /// The value found, if any.
    pub seen: Option<EcoString>,
    /// The allowed values, if they can be described.
    pub allowed: Option<EcoString>,
    /// How to correct the fault, if that can be suggested.
    pub hint: Option<EcoString>,
}

impl Fault {
    /// Creates a fault without a found value, allowed values or a hint.
    pub fn new<Text>(mark: &Mark, field: &str, problem: Text) -> Self
    where
        Text: Into<EcoString>,
    {
        Self {
            mark: mark.clone(),
            field: field.into(),
            problem: problem.into(),
            seen: None,
            allowed: None,
            hint: None,
        }
    }

    /// Sets the value found; a long one is truncated.
    #[must_use]
    pub fn with_seen<Text>(mut self, seen: Text) -> Self
    where
        Text: Into<EcoString>,
    {
        self.seen = Some(truncated(seen.into()));
        self
    }

    /// Sets the allowed values.
    #[must_use]
    pub fn with_allowed<Text>(mut self, allowed: Text) -> Self
    where
        Text: Into<EcoString>,
    {
        self.allowed = Some(allowed.into());
        self
    }

    /// Sets how to correct the fault.
    #[must_use]
    pub fn with_hint<Text>(mut self, hint: Text) -> Self
    where
        Text: Into<EcoString>,
    {
        self.hint = Some(hint.into());
        self
    }

    /// Suggests the one of `names` that is closest to `seen`, if its edit distance
    /// is at most a third of its length, rounded up.
    #[must_use]
    pub(crate) fn with_suggestion<'names, Names>(self, seen: &str, names: Names) -> Self
    where
        Names: IntoIterator<Item = &'names str>,
    {
        let closest = names
            .into_iter()
            .map(|name| (strsim::damerau_levenshtein(seen, name), name))
            .min()
            .filter(|(distance, name)| *distance <= name.len().div_ceil(3).max(1));
        match closest {
            Some((_, name)) => self.with_hint(ecow::eco_format!("did you mean `{name}`?")),
            None => self,
        }
    }
}

/// The maximum number of characters of a found value that a fault repeats.
const MAX_SEEN_CHARACTERS: usize = 60;

fn truncated(text: EcoString) -> EcoString {
    if text.chars().count() <= MAX_SEEN_CHARACTERS {
        return text;
    }
    let mut start: EcoString = text.chars().take(MAX_SEEN_CHARACTERS).collect();
    start.push('…');
    start
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.mark)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.problem)?;
        if let Some(seen) = &self.seen {
            write!(f, ", found `{seen}`")?;
        }
        if let Some(allowed) = &self.allowed {
            write!(f, "; allowed: {allowed}")?;
        }
        if let Some(hint) = &self.hint {
            write!(f, "; {hint}")?;
        }
        Ok(())
    }
}

/// All faults found while reading, in the order of their locations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, thiserror::Error)]
#[serde(transparent)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl Faults {
    /// Returns `value` if there is no fault, otherwise the faults in the order of
    /// their locations.
    pub(crate) fn or_value<Value>(mut self, value: Option<Value>) -> Result<Value, Self> {
        match value {
            Some(value) if self.0.is_empty() => Ok(value),
            _ => {
                self.0
                    .sort_by(|a, b| (&a.mark, &a.field).cmp(&(&b.mark, &b.field)));
                Err(self)
            }
        }
    }
}
