//! Validation errors of an operator's text as `miette` reports: the position, the value found there,
//! and the permitted values.

use std::{fs, path::Path};

use miette::{Diagnostic, LabeledSpan, NamedSource, Report, SourceSpan};
use ryetide_core::text::{ValidationError, ValidationErrors};

use crate::error::StepError;

/// One validation error with the text that it refers to.
#[derive(Debug)]
struct PlacedFault {
    fault: ValidationError,
    source: NamedSource<String>,
}

impl std::fmt::Display for PlacedFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ValidationError { line, column, path, found, .. } = &self.fault;
        write!(formatter, "{}:{line}:{column}: {path}: found {found}", self.source.name())
    }
}

impl std::error::Error for PlacedFault {}

impl Diagnostic for PlacedFault {
    fn help<'a>(&'a self) -> Option<Box<dyn std::fmt::Display + 'a>> {
        Some(Box::new(format!("permitted: {}", self.fault.permitted)))
    }

    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let span = SourceSpan::new(self.fault.offset.into(), self.fault.length);
        Some(Box::new(std::iter::once(LabeledSpan::new_with_span(Some("here".to_owned()), span))))
    }
}

/// All validation errors of one text.
#[derive(Debug)]
pub struct TextReport {
    file: String,
    faults: Vec<PlacedFault>,
}

impl TextReport {
    /// Creates a report of `faults` in `text`, which was read from `file`.
    pub fn new(file: &str, text: &str, faults: ValidationErrors) -> Self {
        let place = |fault| PlacedFault { fault, source: NamedSource::new(file, text.to_owned()) };
        Self { file: file.to_owned(), faults: faults.0.into_iter().map(place).collect() }
    }
}

impl std::fmt::Display for TextReport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: {} fault(s)", self.file, self.faults.len())
    }
}

impl std::error::Error for TextReport {}

impl Diagnostic for TextReport {
    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.faults.iter().map(|fault| fault as &dyn Diagnostic)))
    }
}

/// Reads the file at `path` and parses it with `parse`.
///
/// # Errors
///
/// Returns a report when the file cannot be read, or a report of all errors in its text.
pub fn read_checked<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, ValidationErrors>,
) -> Result<T, Report> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|error| Report::new(StepError::new("read settings", error).with_peer(&file)))?;
    parse(&text).map_err(|faults| Report::new(TextReport::new(&file, &text, faults)))
}
