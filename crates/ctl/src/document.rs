//! Commands that check and compare documents.

use std::path::Path;

use anyhow::Context;

use crate::exit::CtlExit;
use crate::output::print_line;

/// Checks a document and prints whether it is accepted.
///
/// # Errors
/// Returns an error if the file can't be read.
pub(crate) fn check(file: &Path) -> anyhow::Result<CtlExit> {
    match doc::accept(&read(file)?) {
        Ok(accepted) => {
            let document = &accepted.document;
            print_line(&format!(
                "accepted: team {}, {} services, {} accounts, digest {}",
                document.team,
                document.services.len(),
                document.accounts.len(),
                accepted.digest
            ));
            Ok(CtlExit::Done)
        }
        Err(refusal) => {
            print_line(&format!("refused: {refusal}"));
            Ok(CtlExit::Negative)
        }
    }
}

/// Prints the keys in which two documents differ.
///
/// # Errors
/// Returns an error if a file can't be read or its document is refused.
pub(crate) fn diff(old: &Path, new: &Path) -> anyhow::Result<CtlExit> {
    let accepted = |file: &Path| {
        let text = read(file)?;
        doc::accept(&text).with_context(|| format!("step=accept file={}", file.display()))
    };
    let lines = doc::diff(&accepted(old)?.document, &accepted(new)?.document);
    for line in &lines {
        print_line(line);
    }
    Ok(if lines.is_empty() { CtlExit::Done } else { CtlExit::Negative })
}

fn read(file: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("step=read file={}", file.display()))
}
