//! What a rule found, and the report of a file.

use std::fmt::{self, Write};

use serde::Serialize;

use crate::place::LineIndex;
use crate::rule::{LintRule, LintSeverity};

/// Longest name in a message, in characters. One entry may be named in the findings of all others.
const MAX_QUOTED: usize = 100;

/// A name of the checked text in a message: quoted, shortened, on one line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotedName<'a>(pub(crate) &'a str);

impl fmt::Display for QuotedName<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_char('"')?;
        let mut characters = self.0.chars();
        for character in characters.by_ref().take(MAX_QUOTED) {
            let is_shown = !character.is_control();
            formatter.write_char(if is_shown { character } else { char::REPLACEMENT_CHARACTER })?;
        }
        formatter.write_str(if characters.next().is_some() { "…\"" } else { "\"" })
    }
}

/// One thing that a rule found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LintFinding {
    pub rule: LintRule,
    /// Byte offset in the checked text.
    pub offset: usize,
    /// What is wrong and what happens to callers, without credentials.
    pub message: String,
}

impl LintFinding {
    pub fn new(rule: LintRule, offset: usize, message: impl Into<String>) -> Self {
        Self { rule, offset, message: message.into() }
    }
}

/// A finding with its place, for output.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReportedFinding {
    pub rule: &'static str,
    pub severity: LintSeverity,
    /// From 1.
    pub line: usize,
    /// In characters, from 1.
    pub column: usize,
    pub message: String,
}

/// All findings of a file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LintReport {
    pub errors: usize,
    pub warnings: usize,
    pub notices: usize,
    /// By their place.
    pub findings: Vec<ReportedFinding>,
}

impl LintReport {
    /// Reports what was found in `text`.
    pub fn new(text: &[u8], mut findings: Vec<LintFinding>) -> Self {
        findings.sort_by_key(|finding| (finding.offset, finding.rule));
        let index = LineIndex::new(text);
        let count = |severity: LintSeverity| {
            findings.iter().filter(|finding| finding.rule.severity() == severity).count()
        };
        let [errors, warnings, notices] =
            [LintSeverity::Error, LintSeverity::Warning, LintSeverity::Notice].map(count);
        let report = |finding: LintFinding| {
            let place = index.place(finding.offset);
            ReportedFinding {
                rule: finding.rule.name(),
                severity: finding.rule.severity(),
                line: place.line,
                column: place.column,
                message: finding.message,
            }
        };
        let findings = findings.into_iter().map(report).collect();
        Self { errors, warnings, notices, findings }
    }
}
