//! The connection budget: what the descriptors and the memory are divided into.

use crate::config::Config;
use crate::control::endpoint;
use crate::front::Room;
use crate::process;

/// Sessions of the second front. Each may collect a window of writes, so many of them would fill the memory.
pub(super) const MAX_ISCSI_SESSIONS: usize = 64;
/// Part of the memory that what is held for clients may take up.
const CLIENT_MEMORY_DIVISOR: usize = 4;
/// Part of the memory that long values may take up.
pub(super) const LONG_VALUE_MEMORY_DIVISOR: usize = 3;
/// Descriptors that are neither clients' nor targets'.
const OTHER_DESCRIPTORS: usize = 24;
/// Part of the descriptors that is for targets.
const TARGET_DESCRIPTOR_SHARE: f64 = 0.25;
/// Part of the descriptors that idle clients may take up. All clients together may hold a third for requests.
const IDLE_CLIENT_DESCRIPTOR_SHARE: f64 = 0.25;
/// Part of the descriptors that is for clients who are only told to come again, and as many for those that were told and
/// have not seen the end of their connections.
const REJECTED_CLIENT_DESCRIPTOR_SHARE: f64 = 0.0625;

/// Descriptors and bytes of memory that this process holds.
pub(super) fn resource_usage(clients: usize, targets: usize) -> (usize, usize) {
    let bytes = process::resident_memory(std::process::id()).unwrap_or(0);
    (clients + targets + OTHER_DESCRIPTORS, bytes)
}

/// How many connections to targets there may be, and what clients may take up, where another process holds so many
/// descriptors and bytes of what this initiator may use.
pub(super) fn connection_budget(config: &Config, (descriptors, bytes): (usize, usize)) -> (usize, Room) {
    let sockets = config.sockets.saturating_sub(descriptors);
    let for_targets = (sockets as f64 * TARGET_DESCRIPTOR_SHARE) as usize;
    let crowd = (sockets as f64 * REJECTED_CLIENT_DESCRIPTOR_SHARE) as usize;
    let more = OTHER_DESCRIPTORS
        + if config.iscsi.is_some() { MAX_ISCSI_SESSIONS } else { 0 }
        + if config.control.is_some() { endpoint::DESCRIPTORS } else { 0 };
    // What is left for clients is little where the limit is low, but never nothing.
    let clients = sockets.saturating_sub(for_targets + 2 * crowd + more).max(MAX_ISCSI_SESSIONS / 4);
    let easy = (sockets as f64 * IDLE_CLIENT_DESCRIPTOR_SHARE) as usize;
    let bytes = config.memory.saturating_sub(bytes) / CLIENT_MEMORY_DIVISOR;
    (for_targets.max(MAX_ISCSI_SESSIONS / 4), Room { easy, clients, crowd, leaving: crowd, bytes })
}
