//! Divides the file descriptors and the memory of the process between clients and targets.

use crate::config::Config;
use crate::control::endpoint;
use crate::front::ClientLimits;
use crate::memory;
use crate::process;

/// Limit of iSCSI sessions. Each may buffer a window of writes, so a large number of them would exhaust the memory.
pub(super) const MAX_ISCSI_SESSIONS: usize = 64;
/// Divisor of the memory: share that open requests and answers may use.
const REQUEST_MEMORY_DIVISOR: usize = 4;
/// Divisor of the memory: share that long values may use.
const LONG_VALUE_MEMORY_DIVISOR: usize = 3;
/// Divisor of the memory: share that long values may use that are passed on as they come.
const WINDOW_MEMORY_DIVISOR: usize = 8;
/// Divisor of the memory: share that commands and bodies may use that are not whole.
const INPUT_MEMORY_DIVISOR: usize = 8;
/// Share of the memory that all of these may use together, as numerator and denominator. The rest is for the program, its
/// tables and what the allocator can't use.
const BUDGET_SHARE: (usize, usize) = (3, 4);
/// Descriptors reserved for everything but clients and targets.
const OTHER_DESCRIPTORS: usize = 24;
/// Share of the descriptors for connections to targets.
const TARGET_DESCRIPTOR_SHARE: f64 = 0.25;
/// Share of the descriptors that idle clients may use. All clients together may hold a third for requests.
const IDLE_CLIENT_DESCRIPTOR_SHARE: f64 = 0.25;
/// Share of the descriptors for clients that are only told to retry later, and again as much for those that were told
/// so and whose connections are not closed yet.
const REJECTED_CLIENT_DESCRIPTOR_SHARE: f64 = 0.0625;

/// Descriptors in use and resident bytes of this process.
pub(super) fn resource_usage(clients: usize, targets: usize) -> (usize, usize) {
    let bytes = process::resident_memory(std::process::id()).unwrap_or(0);
    (clients + targets + OTHER_DESCRIPTORS, bytes)
}

/// Limits of what clients and nodes may make this process hold. `used` bytes are in use by another process of this
/// initiator.
pub(super) fn memory_limits(config: &Config, used: usize) -> memory::Limits {
    let memory = config.memory.saturating_sub(used);
    memory::Limits {
        long_values: memory / LONG_VALUE_MEMORY_DIVISOR,
        windows: memory / WINDOW_MEMORY_DIVISOR,
        input: memory / INPUT_MEMORY_DIVISOR,
        requests: memory / REQUEST_MEMORY_DIVISOR,
        total: memory * BUDGET_SHARE.0 / BUDGET_SHARE.1,
    }
}

/// Returns the limit of connections to targets and the capacity for clients. `descriptors` are in use by another process
/// of this initiator and are subtracted from its limit.
pub(super) fn connection_budget(config: &Config, descriptors: usize) -> (usize, ClientLimits) {
    let sockets = config.sockets.saturating_sub(descriptors);
    let for_targets = (sockets as f64 * TARGET_DESCRIPTOR_SHARE) as usize;
    let overflow = (sockets as f64 * REJECTED_CLIENT_DESCRIPTOR_SHARE) as usize;
    let more = OTHER_DESCRIPTORS
        + if config.iscsi.is_some() { MAX_ISCSI_SESSIONS } else { 0 }
        + if config.control.is_some() { endpoint::DESCRIPTORS } else { 0 };
    // With a low limit the capacity for clients gets small, but never zero.
    let clients = sockets.saturating_sub(for_targets + 2 * overflow + more).max(MAX_ISCSI_SESSIONS / 4);
    let evict_idle_above = (sockets as f64 * IDLE_CLIENT_DESCRIPTOR_SHARE) as usize;
    (
        for_targets.max(MAX_ISCSI_SESSIONS / 4),
        ClientLimits { evict_idle_above, clients, overflow, lingering: overflow },
    )
}
