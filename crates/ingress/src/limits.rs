//! Limits of one listener, derived from the machine.

/// Largest head of a request that is buffered, in bytes: half as much again as the largest that
/// configurations allow.
pub const HEAD_BUFFER_BYTES: usize = 24 << 10;

/// Receive buffer of a connection, in bytes: what the kernel holds that nobody has read.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Bytes that a connection may hold beside its request's body. A buffer that grows to its largest
/// size takes up to twice as much.
const CONNECTION_BYTES: usize = 2 * HEAD_BUFFER_BYTES + RECEIVE_BUFFER_BYTES as usize + (8 << 10);
/// Part of the machine's memory that the connections may hold, in percent.
const CONNECTIONS_MEMORY_PERCENT: usize = 45;
/// Divisor of the machine's memory that gives what bodies may hold. Decoded and encoded again, a
/// body takes several times its size.
const BODIES_MEMORY_DIVISOR: usize = 10;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Divisor of the other descriptors that gives those for callers; the rest is for the store,
/// workers and other instances.
const CALLERS_DESCRIPTORS_DIVISOR: usize = 2;
/// Smallest limits, so that any machine serves some callers.
const CONNECTIONS_MIN: usize = 16;
const BODIES_BYTES_MIN: usize = 1 << 20;

/// Memory of the smallest supported machine, in MiB.
const SMALLEST_MEMORY_MB: usize = 160;
/// Descriptors of the smallest supported machine.
const SMALLEST_DESCRIPTORS: usize = 4_100;

/// Limits of one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IngressLimits {
    /// Highest number of open connections.
    pub connections_max: usize,
    /// Most bytes that the bodies of all requests hold together.
    pub bodies_bytes_max: usize,
}

impl IngressLimits {
    /// Limits on a machine with this memory, in MiB, and this many descriptors for the process.
    pub fn for_machine(memory_mb: usize, descriptors: usize) -> Self {
        let memory = memory_mb.saturating_mul(1 << 20);
        let by_memory = memory / 100 * CONNECTIONS_MEMORY_PERCENT / CONNECTION_BYTES;
        let by_descriptors =
            descriptors.saturating_sub(FILE_DESCRIPTORS) / CALLERS_DESCRIPTORS_DIVISOR;
        Self {
            connections_max: by_memory.min(by_descriptors).max(CONNECTIONS_MIN),
            bodies_bytes_max: (memory / BODIES_MEMORY_DIVISOR).max(BODIES_BYTES_MIN),
        }
    }

    /// The same limits with at most this many connections.
    pub fn with_connections_max(self, connections_max: usize) -> Self {
        Self { connections_max: self.connections_max.min(connections_max), ..self }
    }
}

impl Default for IngressLimits {
    /// Limits on the smallest supported machine.
    fn default() -> Self {
        Self::for_machine(SMALLEST_MEMORY_MB, SMALLEST_DESCRIPTORS)
    }
}
