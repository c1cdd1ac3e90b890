//! Type aliases for identifiers, and what an identifier may be.

use std::sync::Arc;

use crate::error::Faults;

/// Identifies an instance: a backend server, a worker or an entry instance.
pub type InstanceId = Arc<str>;
/// Identifies an availability zone.
pub type ZoneId = Arc<str>;
/// Identifies a region of availability zones.
pub type RegionId = Arc<str>;
/// Identifies a rack within an availability zone.
pub type RackId = Arc<str>;
/// Identifies a pool of instances.
pub type PoolId = Arc<str>;
/// Identifies a service, which is also the name of its queue.
pub type ServiceId = Arc<str>;
/// Identifies a team.
pub type TeamId = Arc<str>;
/// Identifies a maintenance wave.
pub type WaveId = Arc<str>;
/// Number of a configuration; each accepted patch raises it by one.
pub type Version = u64;

/// Longest identifier in bytes, so that store keys and metric labels stay short.
pub const ID_MAX_BYTES: usize = 64;

/// Team of work that came without a key to a queue open to all. No team may take this id.
pub const ANONYMOUS_TEAM: &str = "anonymous";

/// Whether `id` is made of ASCII letters, digits, `-` and `_` only, and not too long.
pub fn is_valid_id(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !id.is_empty() && id.len() <= ID_MAX_BYTES && id.bytes().all(allowed)
}

/// Notes a fault at `path` when `id` cannot be an identifier.
pub(crate) fn check_id(path: &str, id: &str, faults: &mut Faults) {
    if !is_valid_id(id) {
        let message =
            format!("an id has 1 to {ID_MAX_BYTES} characters out of letters, digits, - and _");
        faults.push(path, message);
    }
}
