//! Type aliases for identifiers, and validation of identifiers.

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
/// Version number of the configuration; each accepted patch increases it by one.
pub type Version = u64;

/// Maximum length of an identifier in bytes. Keeps store keys and metric labels short.
pub const ID_MAX_BYTES: usize = 64;

/// Team to which work without a key is assigned, on queues that accept such work. Reserved: no
/// configured team may have this id.
pub const ANONYMOUS_TEAM: &str = "anonymous";

/// Returns whether `id` has 1 to [`ID_MAX_BYTES`] characters, each an ASCII letter, a digit, `-` or
/// `_`.
pub fn is_valid_id(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !id.is_empty() && id.len() <= ID_MAX_BYTES && id.bytes().all(allowed)
}

/// Adds a fault at `path` if `id` is not a valid identifier.
pub(crate) fn check_id(path: &str, id: &str, faults: &mut Faults) {
    if !is_valid_id(id) {
        let message =
            format!("an id has 1 to {ID_MAX_BYTES} characters out of letters, digits, - and _");
        faults.push(path, message);
    }
}
