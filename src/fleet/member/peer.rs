//! What this member knows about another one.

use crate::fleet::suspicion::Suspicion;
use crate::fleet::update::Update;
use std::time::Duration;

/// What this member knows about another one. Times are on this member's scale.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The latest update about it.
    pub update: Update,
    /// When a datagram of it was last received.
    pub last_received: Option<Duration>,
    /// When it last answered a probe of this member.
    pub last_ack: Option<Duration>,
    /// When a helper last reported that it answered an indirect probe, and the helper's name.
    pub last_indirect_ack: Option<(Duration, String)>,
    /// The unrefuted suspicion of it, if any.
    pub suspicion: Option<Suspicion>,
    /// The suspicion has timed out: this member considers it faulty.
    pub faulty: bool,
    /// While it is not in the view: when an update about it was last received.
    pub(super) last_announced: Duration,
}

impl Peer {
    /// A peer of which only this update is known.
    pub(super) fn new(update: Update, now: Duration) -> Self {
        Peer {
            update,
            last_received: None,
            last_ack: None,
            last_indirect_ack: None,
            suspicion: None,
            faulty: false,
            last_announced: now,
        }
    }
}
