//! Points in time that may lie before the start of this process.

use base::Millis;

/// A point in time like [`Millis`] that may lie before the start of this process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct SignedMillis(i64);

impl SignedMillis {
    /// Returns the time `age` milliseconds before `now`.
    pub(crate) fn before(now: Millis, age: Millis) -> Self {
        Self(now.cast_signed().saturating_sub_unsigned(age))
    }

    pub(crate) fn age(self, now: Millis) -> Millis {
        now.saturating_sub_signed(self.0)
    }
}
