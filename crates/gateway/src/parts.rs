//! Formats the ids of prompt parts for log lines.

use std::fmt;

/// Ids of prompt parts, which are hexadecimal on the wire.
pub(crate) struct PartList<'a>(pub(crate) &'a [u64]);

impl fmt::Debug for PartList<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts: Vec<String> = self.0.iter().map(|part| format!("{part:x}")).collect();
        formatter.write_str(&parts.join(","))
    }
}
