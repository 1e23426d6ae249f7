//! Commands that check and compare configurations in another format than the project's.

use std::path::Path;

use anyhow::Context;
use lint::{ConfigDraft, LintFinding, LintReport, LintSeverity};
use serde_json::json;

use crate::args::CheckArgs;
use crate::exit::CtlExit;
use crate::output::print_line;

/// Reads configurations in another format than the project's own document.
pub trait ConfigReader {
    /// Whether a text is one, and not the project's own document.
    fn is_configuration(&self, text: &[u8]) -> bool;

    /// Reads a configuration.
    ///
    /// # Errors
    /// Returns what prevents routers from reading it, at least one finding.
    fn read(&self, text: &[u8]) -> Result<ConfigDraft, Vec<LintFinding>>;
}

/// Checks a configuration, and compares it with the one in force if there is one.
///
/// # Errors
/// Returns an error if the file in force can't be read or is refused.
pub(crate) fn check(
    reader: &dyn ConfigReader,
    text: &[u8],
    args: &CheckArgs,
) -> anyhow::Result<CtlExit> {
    let in_force = args.against.as_deref().map(|file| read_in_force(reader, file)).transpose()?;
    let findings = match reader.read(text) {
        Ok(draft) => {
            let mut findings = lint::lint(&draft);
            let differences = in_force.map(|in_force| lint::compare(&in_force, &draft));
            findings.extend(differences.unwrap_or_default());
            findings
        }
        Err(findings) => findings,
    };
    let report = LintReport::new(text, findings);
    print_report(&args.file, &report, args.json);
    if report.errors == 0 && !args.json {
        print_line(&format!("accepted: {} warnings", report.warnings));
    }
    Ok(if report.errors > 0 {
        CtlExit::Errors
    } else if args.strict && report.warnings > 0 {
        CtlExit::Negative
    } else {
        CtlExit::Done
    })
}

/// Prints in what a configuration differs from an older one.
///
/// # Errors
/// Returns an error if the older one is refused.
pub(crate) fn diff(
    reader: &dyn ConfigReader,
    old: (&Path, &[u8]),
    new: (&Path, &[u8]),
    json: bool,
) -> anyhow::Result<CtlExit> {
    let in_force = read_text(reader, old.0, old.1)?;
    let findings = match reader.read(new.1) {
        Ok(draft) => lint::compare(&in_force, &draft),
        Err(findings) => findings,
    };
    let report = LintReport::new(new.1, findings);
    print_report(new.0, &report, json);
    Ok(match (report.errors, report.findings.len()) {
        (0, 0) => CtlExit::Done,
        (0, _) => CtlExit::Negative,
        _ => CtlExit::Errors,
    })
}

fn read_in_force(reader: &dyn ConfigReader, file: &Path) -> anyhow::Result<ConfigDraft> {
    let text = std::fs::read(file).with_context(|| format!("step=read file={}", file.display()))?;
    read_text(reader, file, &text)
}

/// Reads the configuration in force.
fn read_text(reader: &dyn ConfigReader, file: &Path, text: &[u8]) -> anyhow::Result<ConfigDraft> {
    reader.read(text).map_err(|findings| {
        let report = LintReport::new(text, findings);
        let first = report.findings.first();
        let cause = first.map(|first| format!("{}:{} {}", first.line, first.column, first.message));
        anyhow::anyhow!("step=accept file={}: {}", file.display(), cause.unwrap_or_default())
    })
}

fn print_report(file: &Path, report: &LintReport, json: bool) {
    if json {
        let mut value = json!(report);
        value["file"] = json!(file.display().to_string());
        print_line(&value.to_string());
        return;
    }
    for finding in &report.findings {
        let severity: LintSeverity = finding.severity;
        let (file, line, column) = (file.display(), finding.line, finding.column);
        let (rule, message) = (finding.rule, &finding.message);
        // A name in the file may contain a line break or an escape sequence for terminals.
        let message: String =
            message.chars().map(|c| if c.is_control() { '\u{fffd}' } else { c }).collect();
        print_line(&format!("{file}:{line}:{column}: {severity}: {message} [{rule}]"));
    }
}
