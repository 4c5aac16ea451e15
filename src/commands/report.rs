//! Findings as text with line and caret, or as JSON.

use std::{fmt, io::IsTerminal, ops::Range};

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource};
use serde::Serialize;

use crate::coordination::check::{Fault, Severity, Site};

/// Width that messages are wrapped at; fixed, so that reports are the same everywhere.
const WIDTH: usize = 100;

/// A file that findings point into.
#[derive(Debug, Clone)]
pub struct Source {
    /// Path as shown.
    pub path: String,
    /// Content as shown; bytes that are not UTF-8 are replaced.
    pub text: String,
}

impl Source {
    /// A file from its bytes.
    pub fn new(path: impl Into<String>, bytes: &[u8]) -> Self {
        Self {
            path: path.into(),
            text: String::from_utf8_lossy(bytes).into_owned(),
        }
    }

    /// Line and column of a byte, counted from 1; the column counts characters.
    pub fn position(&self, byte: usize) -> (usize, usize) {
        let before = &self.text[..floor(&self.text, byte)];
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |at| at + 1);
        (line, before[start..].chars().count() + 1)
    }

    /// The part of a range that can be underlined: not empty, and on one line.
    fn visible(&self, range: &Range<usize>) -> Range<usize> {
        let start = floor(&self.text, range.start);
        let end = floor(&self.text, range.end).max(start);
        let rest = &self.text[start..];
        let line = rest.find('\n').unwrap_or(rest.len());
        if end > start {
            return start..end.min(start + line.max(1));
        }
        let word = rest[..line].find(char::is_whitespace).unwrap_or(line);
        start..start + word
    }
}

fn floor(text: &str, byte: usize) -> usize {
    let mut byte = byte.min(text.len());
    while !text.is_char_boundary(byte) {
        byte -= 1;
    }
    byte
}

/// Several faults of one file as one diagnostic.
#[derive(Debug)]
pub struct Together {
    title: String,
    source: NamedSource<String>,
    labels: Vec<LabeledSpan>,
}

impl fmt::Display for Together {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.title)
    }
}

impl std::error::Error for Together {}

impl Diagnostic for Together {
    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.labels.iter().cloned()))
    }
}

/// All faults of one file as one diagnostic with a caret for each.
pub fn together(title: &str, source: &Source, faults: &[Fault]) -> Box<Together> {
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
        LabeledSpan::new_with_span(Some(text), source.visible(&fault.site.range))
    };
    Box::new(Together {
        title,
        labels: faults.iter().map(label).collect(),
        source: NamedSource::new(&source.path, source.text.clone()),
    })
}

#[derive(Debug)]
struct Shown<'a> {
    fault: &'a Fault,
    source: Option<NamedSource<String>>,
    labels: Vec<LabeledSpan>,
    help: Option<String>,
}

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.fault.message)
    }
}

impl std::error::Error for Shown<'_> {}

impl Diagnostic for Shown<'_> {
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

fn shown<'a>(sources: &[Source], fault: &'a Fault) -> Shown<'a> {
    let mut shown = Shown {
        fault,
        source: None,
        labels: vec![],
        help: fault.help.clone(),
    };
    let Some(source) = sources.get(fault.site.file) else {
        return shown;
    };
    shown.source = Some(NamedSource::new(&source.path, source.text.clone()));
    let label = Some(fault.label.clone());
    let span = source.visible(&fault.site.range);
    shown
        .labels
        .push(LabeledSpan::new_primary_with_span(label, span));
    match &fault.related {
        Some((site, text)) if site.file == fault.site.file => {
            let span = source.visible(&site.range);
            shown
                .labels
                .push(LabeledSpan::new_with_span(Some(text.clone()), span));
        }
        Some((site, text)) => {
            let other = format!("{text}: {}", place(sources, site));
            let help = shown.help.take();
            shown.help = Some(help.map_or(other.clone(), |h| format!("{other}\n{h}")));
        }
        None => {}
    }
    shown
}

/// A place as `path:line:column`.
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
        .with_width(WIDTH)
        .with_context_lines(1)
        .without_syntax_highlighting()
}

/// One diagnostic as text.
pub fn diagnostic(diagnostic: &dyn Diagnostic, colour: bool) -> String {
    let mut out = String::new();
    if handler(colour).render_report(&mut out, diagnostic).is_err() {
        out.push_str(&diagnostic.to_string());
    }
    out
}

/// All findings as text with line and caret.
pub fn text(sources: &[Source], faults: &[Fault], colour: bool) -> String {
    let mut out = String::new();
    for fault in faults {
        out.push_str(&diagnostic(&shown(sources, fault), colour));
        out.push('\n');
    }
    out
}

/// Whether standard error is a terminal, where reports are coloured.
pub fn is_terminal() -> bool {
    std::io::stderr().is_terminal()
}

/// A finding in the JSON form.
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

/// All findings in their JSON form.
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
