//! Faults and warnings, each with the place in a file that it refers to.

use std::ops::Range;

use super::Entry;

/// Minimum similarity (Jaro-Winkler, 0 to 1) at which a known name is suggested.
const SIMILARITY_MIN: f64 = 0.75;

/// Whether a finding prevents the publication of a set of objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The set can't be published.
    Fault,
    /// The set can be published, but this part of it is harmful or has no effect.
    Warning,
}

/// A byte range in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// Index of the file in its set.
    pub file: usize,
    /// The byte range.
    pub range: Range<usize>,
}

/// One finding: a fault or a warning.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Whether it prevents publication.
    pub severity: Severity,
    /// Short, stable name of the rule.
    pub code: &'static str,
    /// What is wrong.
    pub message: String,
    /// Text that is printed at the site.
    pub label: String,
    /// The place that it refers to.
    pub site: Site,
    /// A related place, such as the first of two declarations, and the text printed there.
    pub related: Option<(Site, String)>,
    /// Advice, or an explanation of the consequences.
    pub help: Option<String>,
}

impl Fault {
    /// Creates a fault at a site.
    pub fn new(
        code: &'static str,
        site: Site,
        message: impl Into<String>,
        label: impl Into<String>,
    ) -> Self {
        Self {
            severity: Severity::Fault,
            code,
            message: message.into(),
            label: label.into(),
            site,
            related: None,
            help: None,
        }
    }

    /// Changes it to a warning.
    pub fn warning(mut self) -> Self {
        self.severity = Severity::Warning;
        self
    }

    /// Sets the help text.
    pub fn help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// Sets the help text if there is one.
    pub fn maybe_help(mut self, help: Option<String>) -> Self {
        self.help = help.or(self.help);
        self
    }

    /// Sets the related place.
    pub fn related(mut self, site: Site, label: impl Into<String>) -> Self {
        self.related = Some((site, label.into()));
        self
    }
}

impl Entry {
    /// The site of a value of this object.
    pub fn site(&self, path: &str) -> Site {
        Site {
            file: self.file,
            range: self.spans.get(path),
        }
    }
}

/// The findings collected so far.
#[derive(Debug, Default)]
pub(super) struct Findings(Vec<Fault>);

impl Findings {
    /// Adds a finding.
    pub fn push(&mut self, fault: Fault) {
        self.0.push(fault);
    }

    /// Whether any finding prevents publication.
    pub fn has_fault(&self) -> bool {
        self.0.iter().any(|f| f.severity == Severity::Fault)
    }

    /// All findings, sorted by file and position.
    pub fn sorted(mut self) -> Vec<Fault> {
        let key = |f: &Fault| {
            let Site { file, range } = &f.site;
            (*file, range.start, f.code, f.message.clone())
        };
        self.0.sort_by_key(key);
        self.0
    }
}

/// The known word that is most similar to `word`, if any is similar enough to suggest.
///
/// ```
/// use comfreybay::coordination::check::nearest;
/// assert_eq!(nearest("slot", ["slots", "zone"]), Some("slots"));
/// assert_eq!(nearest("colour", ["slots", "zone"]), None);
/// ```
pub fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known
        .into_iter()
        .map(|k| (strsim::jaro_winkler(word, k), k));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)))?;
    (best.0 >= SIMILARITY_MIN).then_some(best.1)
}
