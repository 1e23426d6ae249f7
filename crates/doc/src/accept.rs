//! Parsing and checking of a document, with the same result on every router.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::ops::RangeInclusive;

use base::Name;
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::spec::{ServiceSpec, TeamDocument};

/// Maximum size of a document that is parsed, in bytes.
const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Reason why a document was refused.
#[derive(Debug, Error, PartialEq)]
pub enum DocumentError {
    #[error("document has {bytes} bytes, at most {MAX_DOCUMENT_BYTES} are allowed")]
    TooLarge { bytes: usize },
    #[error("{0}")]
    Parse(String),
    #[error("{key} is {value}, must be between {low} and {high}")]
    OutOfRange { key: String, value: u64, low: u64, high: u64 },
    #[error("{key}: {problem}")]
    Invalid { key: String, problem: &'static str },
}

/// A document that passed every check.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedDocument {
    pub document: TeamDocument,
    /// SHA-256 of the text, in hexadecimal.
    pub digest: Name,
    /// Client account by credential hash. Invariant: no two accounts have the
    /// same hash.
    accounts: BTreeMap<Name, Name>,
}

impl AcceptedDocument {
    /// Returns the client account that the credential belongs to.
    pub fn account_for_credential(&self, credential: &str) -> Option<&Name> {
        self.accounts.get(hex_sha256(credential.as_bytes()).as_str())
    }
}

/// Parses and checks a document.
///
/// # Errors
/// Returns the first check that fails, in a fixed order.
pub fn accept(text: &str) -> Result<AcceptedDocument, DocumentError> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(DocumentError::TooLarge { bytes: text.len() });
    }
    let document: TeamDocument = base::parse_jsonc("document", text)
        .map_err(|cause| DocumentError::Parse(cause.to_string()))?;
    for (name, spec) in &document.services {
        check_service(name, spec)?;
    }
    let accounts = check_accounts(&document)?;
    Ok(AcceptedDocument { document, digest: digest_of(text), accounts })
}

/// Returns the SHA-256 of a document's text, in hexadecimal.
pub fn digest_of(text: &str) -> Name {
    hex_sha256(text.as_bytes()).into()
}

fn check_service(name: &str, spec: &ServiceSpec) -> Result<(), DocumentError> {
    let key = |field: &str| format!("services.{name}.{field}");
    check_name(&format!("services.{name}"), name)?;
    check_range(key("slots"), spec.slots, 1..=1_024)?;
    check_range(key("queue"), spec.queue, 1..=10_000)?;
    check_range(key("max_cost"), spec.max_cost, 1..=10_000_000)?;
    check_range(key("max_wait_ms"), spec.max_wait_ms, 1..=600_000)?;
    for call in &spec.once {
        if !call.path.starts_with('/') {
            let problem = "path has no leading slash";
            return Err(DocumentError::Invalid { key: key("once"), problem });
        }
        if call.method.chars().any(|letter| !letter.is_ascii_uppercase()) {
            let problem = "method is not in capital letters";
            return Err(DocumentError::Invalid { key: key("once"), problem });
        }
    }
    Ok(())
}

fn check_accounts(document: &TeamDocument) -> Result<BTreeMap<Name, Name>, DocumentError> {
    let mut accounts = BTreeMap::new();
    for (name, spec) in &document.accounts {
        let key = format!("accounts.{name}");
        check_name(&key, name)?;
        check_range(format!("{key}.weight"), spec.weight, 1..=1_000)?;
        let hash = &spec.credential_sha256;
        let is_hex = hash.chars().all(|c| c.is_ascii_digit() || ('a'..='f').contains(&c));
        if hash.len() != 64 || !is_hex {
            let problem = "credential_sha256 is not 64 lower-case hexadecimal digits";
            return Err(DocumentError::Invalid { key, problem });
        }
        match accounts.entry(Name::clone(hash)) {
            Entry::Vacant(entry) => entry.insert(Name::clone(name)),
            Entry::Occupied(_) => {
                let problem = "credential_sha256 is already used by another account";
                return Err(DocumentError::Invalid { key, problem });
            }
        };
    }
    Ok(accounts)
}

fn check_name(key: &str, name: &str) -> Result<(), DocumentError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > 64 || !name.chars().all(is_allowed) {
        let problem = "a name must have 1 to 64 characters: letters, digits, '-', '_' or '.'";
        return Err(DocumentError::Invalid { key: key.into(), problem });
    }
    Ok(())
}

fn check_range(
    key: String,
    value: impl Into<u64>,
    range: RangeInclusive<u64>,
) -> Result<(), DocumentError> {
    let value = value.into();
    if range.contains(&value) {
        return Ok(());
    }
    Err(DocumentError::OutOfRange { key, value, low: *range.start(), high: *range.end() })
}

fn hex_sha256(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample(extra: &str) -> String {
        let hash = hex_sha256(b"secret-a");
        format!(
            r#"{{ "team": "t", "services": {{ "app": {{ "slots": 2 {extra} }} }},
            // the only account
            "accounts": {{ "a": {{ "credential_sha256": "{hash}" }} }} }}"#
        )
    }

    #[test]
    fn credential_resolves_to_its_account() {
        let accepted = accept(&sample("")).unwrap();
        assert_eq!(accepted.account_for_credential("secret-a").map(|name| &**name), Some("a"));
        assert_eq!(accepted.account_for_credential("secret-b"), None);
    }

    #[test]
    fn unknown_key_is_refused() {
        let refusal = accept(&sample(", \"slotz\": 3")).unwrap_err();
        assert!(refusal.to_string().contains("unknown field `slotz`"), "{refusal}");
    }

    #[test]
    fn out_of_range_error_names_key_and_bounds() {
        let refusal = accept(&sample(", \"queue\": 0")).unwrap_err();
        assert_eq!(refusal.to_string(), "services.app.queue is 0, must be between 1 and 10000");
    }

    #[test]
    fn oversized_text_is_refused_before_parsing() {
        let refusal = accept(&" ".repeat(MAX_DOCUMENT_BYTES + 1)).unwrap_err();
        assert!(matches!(refusal, DocumentError::TooLarge { .. }));
    }
}
