//! The connection budget: what the descriptors and the memory are divided into.

use crate::config::Config;
use crate::control::endpoint;
use crate::front::ClientLimits;
use crate::process;

/// Sessions of the second front. Each may collect a window of writes, so many of them would fill the memory.
pub(super) const MOST_ISCSI: usize = 64;
/// Part of the memory that what is held for clients may take up.
const HELD_PART: usize = 4;
/// Part of the memory that long values may take up.
pub(super) const LONG_PART: usize = 3;
/// Descriptors that are neither clients' nor targets'.
const OTHER_DESCRIPTORS: usize = 24;
/// Part of the descriptors that is for targets.
const TARGETS_PART: f64 = 0.25;
/// Part of the descriptors that idle clients may take up. All clients together may hold a third for requests.
const EASY_PART: f64 = 0.25;
/// Part of the descriptors that is for clients who are only told to come again, and as many for those that were told and
/// have not seen the end of their connections.
const CROWD_PART: f64 = 0.0625;

/// Descriptors and bytes of memory that this process holds.
pub(super) fn holds(clients: usize, targets: usize) -> (usize, usize) {
    let bytes = process::resident(std::process::id()).unwrap_or(0);
    (clients + targets + OTHER_DESCRIPTORS, bytes)
}

/// How many connections to targets there may be, and what clients may take up, where another process holds so many
/// descriptors and bytes of what this initiator may use.
pub(super) fn connection_budget(
    config: &Config,
    (descriptors, bytes): (usize, usize),
) -> (usize, ClientLimits) {
    let sockets = config.sockets.saturating_sub(descriptors);
    let for_targets = (sockets as f64 * TARGETS_PART) as usize;
    let crowd = (sockets as f64 * CROWD_PART) as usize;
    let more = OTHER_DESCRIPTORS
        + if config.iscsi.is_some() { MOST_ISCSI } else { 0 }
        + if config.control.is_some() { endpoint::DESCRIPTORS } else { 0 };
    // What is left for clients is little where the limit is low, but never nothing.
    let clients = sockets.saturating_sub(for_targets + 2 * crowd + more).max(MOST_ISCSI / 4);
    let easy = (sockets as f64 * EASY_PART) as usize;
    let bytes = config.memory.saturating_sub(bytes) / HELD_PART;
    (
        for_targets.max(MOST_ISCSI / 4),
        ClientLimits { evict_idle_above: easy, clients, overflow: crowd, lingering: crowd, bytes },
    )
}
