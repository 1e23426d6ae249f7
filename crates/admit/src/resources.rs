//! Resources of a process, and the parts of them that connections, bodies and responses may use.

use serde::{Deserialize, Serialize};

/// Resources of the process that it is ended or refused for exceeding.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResourceSettings {
    /// Largest number of open descriptors.
    pub descriptors: usize,
    /// Largest resident memory, in MiB.
    pub memory_mb: usize,
}

impl Default for ResourceSettings {
    fn default() -> Self {
        Self { descriptors: 4_096, memory_mb: 512 }
    }
}

/// Descriptors kept for files, listeners, peers, the configuration source, readiness
/// checks, address queries and metrics.
const RESERVED_DESCRIPTORS: usize = 300;
/// Memory of a process without callers, in bytes: its code, the configuration, and
/// what is known of targets, accounts and peers.
const BASE_MEMORY_BYTES: usize = 20 << 20;
/// Memory of a connection with a request in progress beside the bytes of its body and
/// its response: buffers of both its ends, and bytes that the system has received and
/// that are not read yet.
const CONNECTION_BYTES: usize = 24 << 10;
/// The memory beyond the base is divided by this for connections; the rest is for bodies
/// and responses.
const CONNECTION_MEMORY_DIVISOR: usize = 2;

/// Bounds of a socket's buffer, in bytes. Below the smaller one, each write to a caller becomes
/// several; the larger one lets a fast caller of another failure domain read without a pause.
const MIN_SOCKET_BUFFER_BYTES: usize = 4 << 10;
const MAX_SOCKET_BUFFER_BYTES: usize = 256 << 10;

/// Memory of an answer that its caller does not take, beside the buffers of both its sockets: what was
/// read from the target, the part that is passed on next, and what the socket did not take.
const STALLED_ANSWER_BYTES: usize = 64 << 10;

impl ResourceSettings {
    /// Returns how many connections of callers may be open at once. Each may need a
    /// second descriptor for its connection to a target.
    pub fn max_caller_connections(&self) -> usize {
        let by_descriptors = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        let by_memory = self.usable_memory() / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        by_descriptors.min(by_memory).max(1)
    }

    /// Returns the memory that callers' bodies and responses may take, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.usable_memory() - self.usable_memory() / CONNECTION_MEMORY_DIVISOR
    }

    /// Returns the size of a socket's buffer in the system, in bytes. Linux doubles it, and a
    /// connection of a caller has a second socket for its target: together they take what a
    /// connection has of the memory, as long as that is over [`MIN_SOCKET_BUFFER_BYTES`].
    pub fn socket_buffer_bytes(&self) -> usize {
        let memory = self.usable_memory() / CONNECTION_MEMORY_DIVISOR;
        let share = memory / self.max_caller_connections() / 4;
        share.clamp(MIN_SOCKET_BUFFER_BYTES, MAX_SOCKET_BUFFER_BYTES)
    }

    /// Returns how many answers may be open at once whose callers do not take them: as many as fit
    /// into the memory of connections.
    pub fn max_stalled_answers(&self) -> usize {
        let memory = self.usable_memory() / CONNECTION_MEMORY_DIVISOR;
        let stream_bytes = STALLED_ANSWER_BYTES + 4 * self.socket_buffer_bytes();
        (memory / stream_bytes).max(1)
    }

    /// Checks that something is left beside what is kept for the process itself.
    ///
    /// # Errors
    /// Returns an error that names the first key with an invalid value.
    pub fn check(&self) -> anyhow::Result<()> {
        let Self { descriptors, memory_mb } = *self;
        anyhow::ensure!(
            descriptors > RESERVED_DESCRIPTORS,
            "step=check_settings: resources.descriptors is {descriptors}, must be over \
             {RESERVED_DESCRIPTORS}"
        );
        let base_mb = BASE_MEMORY_BYTES >> 20;
        anyhow::ensure!(
            memory_mb > base_mb,
            "step=check_settings: resources.memory_mb is {memory_mb}, must be over {base_mb}"
        );
        Ok(())
    }

    fn usable_memory(&self) -> usize {
        (self.memory_mb << 20).saturating_sub(BASE_MEMORY_BYTES)
    }
}
