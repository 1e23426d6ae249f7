//! Commands that check and compare documents. Configurations in another format go to
//! [`configuration`].

use std::path::Path;

use anyhow::Context;

use crate::args::{CheckArgs, DiffArgs};
use crate::configuration::{self, ConfigReader};
use crate::exit::CtlExit;
use crate::output::print_line;

/// Checks a document and prints whether it is accepted.
///
/// # Errors
/// Returns an error if a file can't be read.
pub(crate) fn check(reader: &dyn ConfigReader, args: &CheckArgs) -> anyhow::Result<CtlExit> {
    let text = read(&args.file)?;
    if reader.is_configuration(&text) {
        return configuration::check(reader, &text, args);
    }
    let is_plain = args.against.is_none() && !args.strict && !args.json;
    anyhow::ensure!(is_plain, "step=check: a document has no --against, --strict or --json");
    match doc::accept(&decode_utf8(&args.file, text)?) {
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
pub(crate) fn diff(reader: &dyn ConfigReader, args: &DiffArgs) -> anyhow::Result<CtlExit> {
    let DiffArgs { old, new, json } = args;
    let texts = (read(old)?, read(new)?);
    if reader.is_configuration(&texts.0) && reader.is_configuration(&texts.1) {
        return configuration::diff(reader, (old, &texts.0), (new, &texts.1), *json);
    }
    anyhow::ensure!(!json, "step=diff: documents have no --json");
    let accepted = |file: &Path, text: Vec<u8>| {
        let text = decode_utf8(file, text)?;
        doc::accept(&text).with_context(|| format!("step=accept file={}", file.display()))
    };
    let (old, new) = (accepted(old, texts.0)?, accepted(new, texts.1)?);
    let lines = doc::diff(&old.document, &new.document);
    for line in &lines {
        print_line(line);
    }
    Ok(if lines.is_empty() { CtlExit::Done } else { CtlExit::Negative })
}

fn read(file: &Path) -> anyhow::Result<Vec<u8>> {
    std::fs::read(file).with_context(|| format!("step=read file={}", file.display()))
}

fn decode_utf8(file: &Path, text: Vec<u8>) -> anyhow::Result<String> {
    String::from_utf8(text).with_context(|| format!("step=read file={}", file.display()))
}
