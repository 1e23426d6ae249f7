//! Signals of a process or thread as Linux reports them in `/proc/ID/status`.

use std::fmt;
use std::io::{self, ErrorKind};
use std::path::Path;

use nix::sys::signal::Signal;

/// A set of signals, one bit each; the lowest one is signal 1.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SignalMask(u64);

impl SignalMask {
    pub fn contains(self, signal: Signal) -> bool {
        self.0 & Self::of(signal).0 != 0
    }

    fn of(signal: Signal) -> Self {
        Self(1 << (signal as u64 - 1))
    }
}

impl FromIterator<Signal> for SignalMask {
    fn from_iter<T: IntoIterator<Item = Signal>>(signals: T) -> Self {
        Self(signals.into_iter().fold(0, |mask, signal| mask | Self::of(signal).0))
    }
}

/// Names of the signals, separated by commas.
impl fmt::Display for SignalMask {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let signals = Signal::iterator().filter(|signal| self.contains(*signal));
        for (index, signal) in signals.enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{signal}")?;
        }
        Ok(())
    }
}

/// Signals of a thread and of its process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SignalStatus {
    /// Sent, and neither handled nor dropped yet: to the thread or to the process.
    pub pending: SignalMask,
    /// Not delivered to this thread.
    pub blocked: SignalMask,
    /// Dropped by the process.
    pub ignored: SignalMask,
    /// Have a handler in the process.
    pub caught: SignalMask,
}

impl SignalStatus {
    /// Reads the status of a process, which is that of its main thread.
    ///
    /// # Errors
    /// Returns an error if the process is gone or the system reports no signals.
    pub fn of_process(process: u32) -> io::Result<Self> {
        Self::read(Path::new(&format!("/proc/{process}/status")))
    }

    /// Reads the status of each thread of a process, by its name.
    ///
    /// # Errors
    /// Returns an error if the process is gone or the system reports no signals.
    pub fn of_threads(process: u32) -> io::Result<Vec<(String, Self)>> {
        let threads = std::fs::read_dir(format!("/proc/{process}/task"))?;
        let read_thread = |thread: io::Result<std::fs::DirEntry>| {
            let folder = thread?.path();
            let name = std::fs::read_to_string(folder.join("comm"))?;
            Ok((name.trim().to_owned(), Self::read(&folder.join("status"))?))
        };
        threads.map(read_thread).collect()
    }

    pub(crate) fn of_this_process() -> io::Result<Self> {
        Self::read(Path::new("/proc/self/status"))
    }

    fn read(file: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(file)?;
        let mask = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            let mask = line.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
            mask.ok_or_else(|| {
                let what = format!("field {name} does not exist in {}", file.display());
                io::Error::new(ErrorKind::InvalidData, what)
            })
        };
        Ok(Self {
            pending: SignalMask(mask("SigPnd:")? | mask("ShdPnd:")?),
            blocked: SignalMask(mask("SigBlk:")?),
            ignored: SignalMask(mask("SigIgn:")?),
            caught: SignalMask(mask("SigCgt:")?),
        })
    }
}

/// Describes what each thread of this process does: its name, its state, and in which function of the
/// system it waits, if that is reported.
pub(crate) fn describe_threads() -> String {
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else { return String::new() };
    let describe_thread = |thread: std::fs::DirEntry| {
        let read = |name| std::fs::read_to_string(thread.path().join(name)).unwrap_or_default();
        let status = read("status");
        let state = status.lines().find_map(|line| line.strip_prefix("State:")).unwrap_or_default();
        format!("{}: {} {}", read("comm").trim(), state.trim(), read("wchan").trim())
    };
    threads.flatten().map(describe_thread).collect::<Vec<_>>().join(", ")
}

impl fmt::Display for SignalStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { pending, blocked, ignored, caught } = self;
        write!(formatter, "pending={pending} blocked={blocked} ignored={ignored} caught={caught}")
    }
}
