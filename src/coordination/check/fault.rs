//! Faults and warnings with the place that they point to.

use std::ops::Range;

use super::Entry;

/// Least similarity (Jaro-Winkler, 0 to 1) at which a name is offered as the one meant.
const SIMILARITY: f64 = 0.75;

/// Whether a set of objects can be published in spite of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The set is refused.
    Fault,
    /// The set is legal, but this part of it does harm or has no effect.
    Warning,
}

/// A byte range in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// Position of the file in its set.
    pub file: usize,
    /// The bytes pointed to.
    pub range: Range<usize>,
}

/// One finding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Whether it prevents publication.
    pub severity: Severity,
    /// Short fixed name of the rule.
    pub code: &'static str,
    /// What is wrong.
    pub message: String,
    /// Text at the caret.
    pub label: String,
    /// Where it is.
    pub site: Site,
    /// Another place that belongs to it, with its text.
    pub related: Option<(Site, String)>,
    /// What to do about it.
    pub help: Option<String>,
}

impl Fault {
    /// A fault at a place.
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

    /// Makes it a warning.
    pub fn warning(mut self) -> Self {
        self.severity = Severity::Warning;
        self
    }

    /// Adds what to do about it.
    pub fn help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// Adds what to do about it, if anything is known.
    pub fn maybe_help(mut self, help: Option<String>) -> Self {
        self.help = help.or(self.help);
        self
    }

    /// Adds another place that belongs to it.
    pub fn related(mut self, site: Site, label: impl Into<String>) -> Self {
        self.related = Some((site, label.into()));
        self
    }
}

impl Entry {
    /// The place of a value of this object.
    pub fn site(&self, path: &str) -> Site {
        Site {
            file: self.file,
            range: self.spans.get(path),
        }
    }
}

/// Findings in the making.
#[derive(Debug, Default)]
pub(super) struct Findings(Vec<Fault>);

impl Findings {
    /// Adds a finding.
    pub fn push(&mut self, fault: Fault) {
        self.0.push(fault);
    }

    /// Whether any finding prevents publication.
    pub fn refused(&self) -> bool {
        self.0.iter().any(|f| f.severity == Severity::Fault)
    }

    /// All findings, by file and position.
    pub fn sorted(mut self) -> Vec<Fault> {
        let key = |f: &Fault| {
            let Site { file, range } = &f.site;
            (*file, range.start, f.code, f.message.clone())
        };
        self.0.sort_by_key(key);
        self.0
    }
}

/// The known word that is most similar to `word`, when any is similar enough.
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
    (best.0 >= SIMILARITY).then_some(best.1)
}
