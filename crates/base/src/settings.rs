//! Settings files in JSON with comments, with a check of every key.

use std::path::Path;

use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Error when reading, parsing or checking a settings file or a document.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("step=read file={file}: {cause}")]
    Read { file: String, cause: std::io::Error },
    #[error("step=parse file={file}: {cause}")]
    Parse { file: String, cause: String },
    #[error("step=check file={file} line={line}: {cause}")]
    Check { file: String, line: usize, cause: String },
}

/// Reads a settings file.
///
/// # Errors
/// Fails if the file cannot be read, is not JSON with comments, has an unknown
/// key or a value of the wrong type. The message names the file and, for a key
/// or a value, the line and what is allowed.
pub fn load_settings<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|cause| SettingsError::Read { file: file.clone(), cause })?;
    parse_jsonc(&file, &text)
}

/// Parses JSON with comments; `file` is only used in error messages.
///
/// # Errors
/// Same as [`load_settings`], except for reading the file.
pub fn parse_jsonc<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    let value: serde_json::Value = parse_to_serde_value(text, &ParseOptions::default())
        .map_err(|cause| SettingsError::Parse { file: file.into(), cause: cause.to_string() })?;
    serde_json::from_value(value).map_err(|cause| {
        let cause = cause.to_string();
        SettingsError::Check { file: file.into(), line: line_of(text, &cause), cause }
    })
}

/// Returns the line of the text that contains the first quoted word of the
/// message as a JSON string, or 1 if there is none.
fn line_of(text: &str, message: &str) -> usize {
    let Some(word) = message.split(['`', '"']).nth(1) else { return 1 };
    let quoted = format!("\"{word}\"");
    let position = text.lines().position(|line| line.contains(&quoted));
    position.map_or(1, |index| index + 1)
}

#[cfg(test)]
mod tests {
    use serde::Deserialize;

    use super::*;

    #[derive(Debug, Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Sample {
        port: u16,
    }

    #[test]
    fn comments_are_allowed() {
        let sample: Sample = parse_jsonc("a", "{ // port\n \"port\": 1 }").unwrap();
        assert_eq!(sample.port, 1);
    }

    #[test]
    fn unknown_key_error_names_its_line_and_the_allowed_key() {
        let error = parse_jsonc::<Sample>("a", "{\n\"port\": 1,\n\"prot\": 2\n}").unwrap_err();
        let message = error.to_string();
        assert!(message.contains("line=3"), "{message}");
        assert!(message.contains("expected `port`"), "{message}");
    }
}
