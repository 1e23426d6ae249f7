//! Monotonic clock.

use nix::time::{ClockId, clock_gettime};

/// A duration in milliseconds, or a point in time as milliseconds since the start
/// of this process, on a clock that never goes back and that includes the time
/// for which the machine was suspended.
pub type Millis = u64;

/// Clock that measures [`Millis`]; one for each process.
#[derive(Clone, Debug)]
pub struct MonoClock {
    start: u128,
}

impl MonoClock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Self {
        Self { start: since_boot_ms() }
    }

    /// Returns the milliseconds since [`MonoClock::start`].
    pub fn now(&self) -> Millis {
        u64::try_from(since_boot_ms().saturating_sub(self.start)).unwrap_or(u64::MAX)
    }
}

fn since_boot_ms() -> u128 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .unwrap_or_else(|cause| unreachable!("Linux has CLOCK_BOOTTIME since 2.6.39: {cause}"));
    std::time::Duration::from(time).as_millis()
}
