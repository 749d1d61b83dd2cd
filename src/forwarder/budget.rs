//! Divides the file descriptors and the memory of the process between clients and targets.

use crate::config::Config;
use crate::control::endpoint;
use crate::front::ClientLimits;
use crate::process;

/// Limit of iSCSI sessions. Each may buffer a window of writes, so a large number of them would exhaust the memory.
pub(super) const MAX_ISCSI_SESSIONS: usize = 64;
/// Divisor of the memory: share that buffered client data may use.
const CLIENT_MEMORY_DIVISOR: usize = 4;
/// Divisor of the memory: share that long values may use.
pub(super) const LONG_VALUE_MEMORY_DIVISOR: usize = 3;
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

/// Returns the limit of connections to targets and the capacity for clients. `descriptors` and `bytes` are in use by
/// another process of this initiator and are subtracted from its limits.
pub(super) fn connection_budget(
    config: &Config,
    (descriptors, bytes): (usize, usize),
) -> (usize, ClientLimits) {
    let sockets = config.sockets.saturating_sub(descriptors);
    let for_targets = (sockets as f64 * TARGET_DESCRIPTOR_SHARE) as usize;
    let overflow = (sockets as f64 * REJECTED_CLIENT_DESCRIPTOR_SHARE) as usize;
    let more = OTHER_DESCRIPTORS
        + if config.iscsi.is_some() { MAX_ISCSI_SESSIONS } else { 0 }
        + if config.control.is_some() { endpoint::DESCRIPTORS } else { 0 };
    // With a low limit the capacity for clients gets small, but never zero.
    let clients = sockets.saturating_sub(for_targets + 2 * overflow + more).max(MAX_ISCSI_SESSIONS / 4);
    let evict_idle_above = (sockets as f64 * IDLE_CLIENT_DESCRIPTOR_SHARE) as usize;
    let bytes = config.memory.saturating_sub(bytes) / CLIENT_MEMORY_DIVISOR;
    (
        for_targets.max(MAX_ISCSI_SESSIONS / 4),
        ClientLimits { evict_idle_above, clients, overflow, lingering: overflow, bytes },
    )
}
