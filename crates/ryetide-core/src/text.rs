//! Reads operators' YAML and reports all of its validation errors at once, each with its position.
//!
//! A deserializer stops at the first error. So that an operator sees all of them in one run, the
//! readers of the settings, the services text and the routes text walk the YAML tree with a
//! [`YamlReader`], which records each error and continues.

use std::{fmt, time::Duration};

use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};

/// The permitted range of a whole number or a duration, both ends included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ValueRange<T> {
    /// The smallest permitted value.
    pub min: T,
    /// The largest permitted value.
    pub max: T,
}

/// One validation error in a text: its position, what was found and what is permitted.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ValidationError {
    /// The line, counted from 1.
    pub line: usize,
    /// The column, counted from 1.
    pub column: usize,
    /// The byte offset in the text.
    pub offset: usize,
    /// The length in bytes of the invalid value; at least 1.
    pub length: usize,
    /// The path of keys to the value, such as `services[0].targets[2].slots`.
    pub path: String,
    /// The value found.
    pub found: String,
    /// What is permitted there.
    pub permitted: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:{}: {}: found {}; permitted: {}",
            self.line, self.column, self.path, self.found, self.permitted
        )
    }
}

/// All validation errors of a text.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{} fault(s); the first: {}", .0.len(), .0.first().map(ToString::to_string).unwrap_or_default())]
pub struct ValidationErrors(pub Vec<ValidationError>);

/// A node of the YAML tree, with its position in the text.
#[derive(Clone, Copy)]
pub struct YamlNode<'a> {
    node: &'a MarkedYaml<'a>,
}

/// Reads values from a YAML tree and collects the validation errors.
pub struct YamlReader {
    /// The keys from the root to the node that is being read.
    path: Vec<String>,
    /// The byte offset at which each line starts.
    line_starts: Vec<usize>,
    errors: Vec<ValidationError>,
}

/// Parses `text`, passes its root to `read`, and returns the value or every validation error.
///
/// # Errors
///
/// Returns [`ValidationErrors`] when the text is not valid YAML or `read` recorded an error.
pub fn read_text<T>(
    text: &str,
    read: impl FnOnce(&mut YamlReader, YamlNode<'_>) -> Option<T>,
) -> Result<T, ValidationErrors> {
    let mut reader = YamlReader::new(text);
    let documents = match MarkedYaml::load_from_str(text) {
        Ok(documents) => documents,
        Err(error) => {
            reader.record_error_at(
                error.marker().line(),
                error.marker().col(),
                1,
                error.info().to_owned(),
                "well-formed YAML without duplicate keys".to_owned(),
            );
            return Err(ValidationErrors(reader.errors));
        }
    };
    let Some(root) = documents.first() else {
        reader.record_error_at(1, 0, 1, "nothing".to_owned(), "one YAML mapping".to_owned());
        return Err(ValidationErrors(reader.errors));
    };
    let value = read(&mut reader, YamlNode { node: root });
    match value {
        Some(value) if reader.errors.is_empty() => Ok(value),
        _ => {
            reader.errors.sort_by_key(|error| (error.line, error.column));
            Err(ValidationErrors(reader.errors))
        }
    }
}

impl YamlReader {
    fn new(text: &str) -> Self {
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = std::iter::once(0).chain(newlines.map(|(at, _)| at + 1)).collect();
        Self { path: Vec::new(), line_starts, errors: Vec::new() }
    }

    /// Records a validation error at `node`.
    pub fn record_error(&mut self, node: YamlNode<'_>, found: impl Into<String>, permitted: &str) {
        let span = node.node.span;
        let length = if span.end.line() == span.start.line() { span.len().max(1) } else { 1 };
        self.record_error_at(
            span.start.line(),
            span.start.col(),
            length,
            found.into(),
            permitted.to_owned(),
        );
    }

    fn record_error_at(
        &mut self,
        line: usize,
        column: usize,
        length: usize,
        found: String,
        permitted: String,
    ) {
        let start = self.line_starts.get(line.saturating_sub(1)).copied().unwrap_or(0);
        let path = if self.path.is_empty() { "text".to_owned() } else { self.path.join(".") };
        self.errors.push(ValidationError {
            line: line.max(1),
            column: column + 1,
            offset: start + column,
            length,
            path,
            found,
            permitted,
        });
    }

    /// Runs `read` with `key` appended to the path of the errors it records.
    fn within<T>(&mut self, key: &str, read: impl FnOnce(&mut Self) -> T) -> T {
        self.path.push(key.to_owned());
        let value = read(self);
        self.path.pop();
        value
    }

    /// Returns whether `node` is a mapping; records an error for each key that is not in `known`.
    pub fn mapping(&mut self, node: YamlNode<'_>, known: &[&str]) -> bool {
        let YamlData::Mapping(entries) = &node.node.data else {
            self.record_error(node, node.describe(), "a mapping");
            return false;
        };
        for key in entries.keys() {
            let key = YamlNode { node: key };
            let name = key.as_text().unwrap_or_default();
            if !known.contains(&name.as_str()) {
                let permitted = format!("the keys {}", known.join(", "));
                self.record_error(key, format!("key {name:?}"), &permitted);
            }
        }
        true
    }

    /// Reads the value of `key`, or records an error when the key is missing.
    pub fn required<T>(
        &mut self,
        node: YamlNode<'_>,
        key: &str,
        read: impl FnOnce(&mut Self, YamlNode<'_>) -> Option<T>,
    ) -> Option<T> {
        match node.get(key) {
            Some(value) => self.within(key, |reader| read(reader, value)),
            None => {
                self.within(key, |reader| {
                    reader.record_error(node, "nothing", "a value; the key is needed")
                });
                None
            }
        }
    }

    /// Reads the value of `key`, or returns `default` when the key is absent.
    pub fn optional<T>(
        &mut self,
        node: YamlNode<'_>,
        key: &str,
        default: T,
        read: impl FnOnce(&mut Self, YamlNode<'_>) -> Option<T>,
    ) -> Option<T> {
        match node.get(key) {
            Some(value) => self.within(key, |reader| read(reader, value)),
            None => Some(default),
        }
    }

    /// Reads every item of a sequence; omits the items for which `read` returns `None`.
    pub fn sequence<T>(
        &mut self,
        node: YamlNode<'_>,
        mut read: impl FnMut(&mut Self, YamlNode<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let YamlData::Sequence(items) = &node.node.data else {
            self.record_error(node, node.describe(), "a sequence");
            return None;
        };
        let key = self.path.last().cloned().unwrap_or_default();
        let mut values = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            if let Some(last) = self.path.last_mut() {
                *last = format!("{key}[{index}]");
            }
            values.extend(read(self, YamlNode { node: item }));
        }
        if let Some(last) = self.path.last_mut() {
            *last = key;
        }
        Some(values)
    }

    /// Reads a scalar as text.
    pub fn text(&mut self, node: YamlNode<'_>) -> Option<String> {
        let text = node.as_text();
        if text.is_none() {
            self.record_error(node, node.describe(), "a text");
        }
        text
    }

    /// Parses a scalar with `FromStr`; `permitted` describes the valid values in the error.
    pub fn parsed<T: std::str::FromStr>(
        &mut self,
        node: YamlNode<'_>,
        permitted: &str,
    ) -> Option<T> {
        let text = self.text(node)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.record_error(node, format!("{text:?}"), permitted);
        }
        value
    }

    /// Reads a name.
    pub fn name<T: std::str::FromStr>(&mut self, node: YamlNode<'_>) -> Option<T> {
        self.parsed(node, "a name: 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'")
    }

    /// Reads a whole number in `range`.
    pub fn number(&mut self, node: YamlNode<'_>, range: ValueRange<u64>) -> Option<u64> {
        let permitted = format!("a whole number from {} to {}", range.min, range.max);
        let value: u64 = self.parsed(node, &permitted)?;
        if value < range.min || value > range.max {
            self.record_error(node, value.to_string(), &permitted);
            return None;
        }
        Some(value)
    }

    /// Reads a fraction from 0 to 1.
    pub fn fraction(&mut self, node: YamlNode<'_>) -> Option<f64> {
        let permitted = "a fraction from 0 to 1";
        let value: f64 = self.parsed(node, permitted)?;
        if !(0.0..=1.0).contains(&value) {
            self.record_error(node, value.to_string(), permitted);
            return None;
        }
        Some(value)
    }

    /// Reads a duration in `range`, such as `250ms` or `2s`.
    pub fn duration(
        &mut self,
        node: YamlNode<'_>,
        range: ValueRange<Duration>,
    ) -> Option<Duration> {
        let permitted = format!(
            "a time from {} to {}, such as 250ms or 2s",
            humantime::format_duration(range.min),
            humantime::format_duration(range.max),
        );
        let text = self.text(node)?;
        match humantime::parse_duration(&text) {
            Ok(duration) if duration >= range.min && duration <= range.max => Some(duration),
            _ => {
                self.record_error(node, format!("{text:?}"), &permitted);
                None
            }
        }
    }

    /// Reads `true` or `false`.
    pub fn flag(&mut self, node: YamlNode<'_>) -> Option<bool> {
        self.parsed(node, "true or false")
    }
}

impl<'a> YamlNode<'a> {
    /// Returns the value of `key`, or `None` when this is not a mapping or lacks the key.
    pub fn get(self, key: &str) -> Option<YamlNode<'a>> {
        let YamlData::Mapping(entries) = &self.node.data else {
            return None;
        };
        let found = entries
            .iter()
            .find(|(name, _)| YamlNode { node: name }.as_text().as_deref() == Some(key));
        found.map(|(_, node)| YamlNode { node })
    }

    /// Returns the number of items of a sequence; 0 for any other node.
    pub fn length(self) -> usize {
        if let YamlData::Sequence(items) = &self.node.data { items.len() } else { 0 }
    }

    /// Returns a scalar as text, or `None` when this is null or not a scalar.
    pub fn as_text(self) -> Option<String> {
        match &self.node.data {
            YamlData::Value(Scalar::String(text)) => Some(text.to_string()),
            YamlData::Value(Scalar::Integer(number)) => Some(number.to_string()),
            YamlData::Value(Scalar::FloatingPoint(number)) => Some(number.to_string()),
            YamlData::Value(Scalar::Boolean(flag)) => Some(flag.to_string()),
            _ => None,
        }
    }

    fn describe(self) -> String {
        match &self.node.data {
            YamlData::Sequence(_) => "a sequence".to_owned(),
            YamlData::Mapping(_) => "a mapping".to_owned(),
            YamlData::Value(Scalar::Null) => "nothing".to_owned(),
            _ => self
                .as_text()
                .map_or_else(|| "an unknown node".to_owned(), |text| format!("{text:?}")),
        }
    }
}
