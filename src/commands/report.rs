//! Renders findings as text with source excerpts, or as JSON.

use std::{fmt, io::IsTerminal, ops::Range};

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource};
use serde::Serialize;

use crate::coordination::check::{Fault, Severity, Site};

/// Column at which messages are wrapped; fixed, so that output does not depend on the terminal.
const WRAP_COLUMN: usize = 100;

/// A source file that findings refer to.
#[derive(Debug, Clone)]
pub struct Source {
    /// Path as shown in reports.
    pub path: String,
    /// Contents as shown in reports, with invalid UTF-8 replaced.
    pub text: String,
}

impl Source {
    /// Creates a source from the path and bytes of a file.
    pub fn new(path: impl Into<String>, bytes: &[u8]) -> Self {
        Self {
            path: path.into(),
            text: String::from_utf8_lossy(bytes).into_owned(),
        }
    }

    /// Line and column of a byte offset, both from 1; columns count characters.
    pub fn position(&self, offset: usize) -> (usize, usize) {
        let before = &self.text[..floor_boundary(&self.text, offset)];
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |at| at + 1);
        (line, before[start..].chars().count() + 1)
    }

    /// The part of a range to underline: its first line, or the word at an empty range.
    fn underlined(&self, range: &Range<usize>) -> Range<usize> {
        let start = floor_boundary(&self.text, range.start);
        let end = floor_boundary(&self.text, range.end).max(start);
        let rest = &self.text[start..];
        let line = rest.find('\n').unwrap_or(rest.len());
        if end > start {
            return start..end.min(start + line.max(1));
        }
        let word = rest[..line].find(char::is_whitespace).unwrap_or(line);
        start..start + word
    }
}

/// The last character boundary at or before a byte offset.
fn floor_boundary(text: &str, offset: usize) -> usize {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    offset
}

/// All faults of one file as one diagnostic.
#[derive(Debug)]
pub struct FaultReport {
    title: String,
    source: NamedSource<String>,
    labels: Vec<LabeledSpan>,
}

impl fmt::Display for FaultReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.title)
    }
}

impl std::error::Error for FaultReport {}

impl Diagnostic for FaultReport {
    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.labels.iter().cloned()))
    }
}

/// Combines all faults of one file into one diagnostic with a label for each.
pub fn fault_report(title: &str, source: &Source, faults: &[Fault]) -> Box<FaultReport> {
    let title = match faults {
        [fault] => format!("{title}: {}", fault.message),
        faults => format!("{title}: {} faults", faults.len()),
    };
    let label = |fault: &Fault| {
        let Fault {
            message,
            label,
            help,
            ..
        } = fault;
        let text = match (help, faults.len()) {
            (Some(help), 1) => format!("{label}; {help}"),
            (None, 1) => label.clone(),
            (Some(help), _) => format!("{message}; {help}"),
            (None, _) if message.contains(label.as_str()) => message.clone(),
            (None, _) => format!("{message}: {label}"),
        };
        LabeledSpan::new_with_span(Some(text), source.underlined(&fault.site.range))
    };
    Box::new(FaultReport {
        title,
        labels: faults.iter().map(label).collect(),
        source: NamedSource::new(&source.path, source.text.clone()),
    })
}

#[derive(Debug)]
struct FaultDiagnostic<'a> {
    fault: &'a Fault,
    source: Option<NamedSource<String>>,
    labels: Vec<LabeledSpan>,
    help: Option<String>,
}

impl fmt::Display for FaultDiagnostic<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.fault.message)
    }
}

impl std::error::Error for FaultDiagnostic<'_> {}

impl Diagnostic for FaultDiagnostic<'_> {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.fault.code))
    }

    fn severity(&self) -> Option<miette::Severity> {
        Some(match self.fault.severity {
            Severity::Fault => miette::Severity::Error,
            Severity::Warning => miette::Severity::Warning,
        })
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let help = self.help.as_ref()?;
        Some(Box::new(help))
    }

    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        self.source.as_ref().map(|s| s as &dyn miette::SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.labels.iter().cloned()))
    }
}

fn fault_diagnostic<'a>(sources: &[Source], fault: &'a Fault) -> FaultDiagnostic<'a> {
    let mut diagnostic = FaultDiagnostic {
        fault,
        source: None,
        labels: vec![],
        help: fault.help.clone(),
    };
    let Some(source) = sources.get(fault.site.file) else {
        return diagnostic;
    };
    diagnostic.source = Some(NamedSource::new(&source.path, source.text.clone()));
    let label = Some(fault.label.clone());
    let span = source.underlined(&fault.site.range);
    diagnostic
        .labels
        .push(LabeledSpan::new_primary_with_span(label, span));
    match &fault.related {
        Some((site, text)) if site.file == fault.site.file => {
            let span = source.underlined(&site.range);
            diagnostic
                .labels
                .push(LabeledSpan::new_with_span(Some(text.clone()), span));
        }
        Some((site, text)) => {
            let related = format!("{text}: {}", place(sources, site));
            let help = diagnostic.help.take();
            diagnostic.help = Some(help.map_or(related.clone(), |h| format!("{related}\n{h}")));
        }
        None => {}
    }
    diagnostic
}

/// A site as `path:line:column`, or `-` when its file is not among the sources.
pub fn place(sources: &[Source], site: &Site) -> String {
    let Some(source) = sources.get(site.file) else {
        return "-".to_owned();
    };
    let (line, column) = source.position(site.range.start);
    format!("{}:{line}:{column}", source.path)
}

fn handler(colour: bool) -> GraphicalReportHandler {
    let mut theme = GraphicalTheme::none();
    if colour {
        theme.styles = miette::ThemeStyles::ansi();
    }
    GraphicalReportHandler::new_themed(theme)
        .with_width(WRAP_COLUMN)
        .with_context_lines(1)
        .without_syntax_highlighting()
}

/// Renders one diagnostic as text.
pub fn diagnostic(diagnostic: &dyn Diagnostic, colour: bool) -> String {
    let mut out = String::new();
    if handler(colour).render_report(&mut out, diagnostic).is_err() {
        out.push_str(&diagnostic.to_string());
    }
    out
}

/// Renders all faults as text with source excerpts.
pub fn text(sources: &[Source], faults: &[Fault], colour: bool) -> String {
    let mut out = String::new();
    for fault in faults {
        out.push_str(&diagnostic(&fault_diagnostic(sources, fault), colour));
        out.push('\n');
    }
    out
}

/// Whether standard error is a terminal; only there are reports coloured.
pub fn is_terminal() -> bool {
    std::io::stderr().is_terminal()
}

/// One finding of the JSON output.
#[derive(Debug, Serialize)]
pub struct Finding<'a> {
    severity: &'static str,
    code: &'static str,
    message: &'a str,
    label: &'a str,
    file: &'a str,
    line: usize,
    column: usize,
    other: Option<String>,
    help: Option<&'a str>,
}

/// Converts faults to the findings of the JSON output.
pub fn findings<'a>(sources: &'a [Source], faults: &'a [Fault]) -> Vec<Finding<'a>> {
    let finding = |fault: &'a Fault| {
        let source = sources.get(fault.site.file);
        let (line, column) = source.map_or((1, 1), |s| s.position(fault.site.range.start));
        Finding {
            severity: match fault.severity {
                Severity::Fault => "fault",
                Severity::Warning => "warning",
            },
            code: fault.code,
            message: &fault.message,
            label: &fault.label,
            file: source.map_or("", |s| &s.path),
            line,
            column,
            other: fault
                .related
                .as_ref()
                .map(|(site, text)| format!("{text}: {}", place(sources, site))),
            help: fault.help.as_deref(),
        }
    };
    faults.iter().map(finding).collect()
}
