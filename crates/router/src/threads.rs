//! CPU time of individual threads, read from `/proc`.

use std::fs;

/// Length of a clock tick in `/proc`, in milliseconds.
const TICK_MS: u64 = 10;
/// Number of fields in `/proc/self/task/{id}/stat` between the command name and
/// the user time.
const FIELDS_BEFORE_TIMES: usize = 11;

/// The kernel's id of a thread of this process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ThreadId(u64);

impl ThreadId {
    /// Returns the id of the calling thread, or `None` on systems without
    /// `/proc`.
    pub(crate) fn current() -> Option<Self> {
        let link = fs::read_link("/proc/thread-self").ok()?;
        let number = link.file_name()?.to_str()?.parse().ok()?;
        Some(Self(number))
    }

    /// Returns the user and system CPU time of the thread, in milliseconds.
    pub(crate) fn cpu_ms(&self) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/self/task/{}/stat", self.0)).ok()?;
        // The command name may contain spaces, so fields are counted from the
        // `)` that ends it.
        let (_, rest) = text.rsplit_once(')')?;
        let mut times = rest.split_whitespace().skip(FIELDS_BEFORE_TIMES);
        let user: u64 = times.next()?.parse().ok()?;
        let system: u64 = times.next()?.parse().ok()?;
        Some((user + system) * TICK_MS)
    }
}
