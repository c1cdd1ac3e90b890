//! Limits on what the connections of callers hold: memory, descriptors and time.
//!
//! Callers may be outside of the operators' control. Each listener admits a bounded number of
//! connections, each connection buffers a bounded head, and all bodies together hold a bounded
//! number of bytes. When a limit is reached, connections that wait for a caller are closed first,
//! the ones that have waited longest before the others; then new ones are refused.

mod body;
mod connections;
pub mod event;
mod limits;
mod listen;
mod metrics;
mod serve;

pub use self::body::{HeldBody, ReadBodyError, Reservation, read_body};
pub use self::connections::{Connection, Ingress};
pub use self::limits::{HEAD_BUFFER_BYTES, IngressLimits};
pub use self::listen::bind;
pub use self::metrics::IngressMetrics;
pub use self::serve::{TrackedBody, http1_builder, tracked};
