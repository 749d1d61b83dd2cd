//! Another member, as it is known here.

use crate::fleet::suspicion::Suspicion;
use crate::fleet::update::Update;
use std::time::Duration;

/// Another member, as it is known here.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The latest update about it.
    pub update: Update,
    /// When a datagram of it last came.
    pub last_received: Option<Duration>,
    /// When it answered a probe of this member.
    pub last_ack: Option<Duration>,
    /// When a helper last reached it, and which.
    pub last_indirect_ack: Option<(Duration, String)>,
    /// A suspicion that nothing has refuted.
    pub suspicion: Option<Suspicion>,
    /// The suspicion has lasted its time.
    pub faulty: bool,
    /// When it last asked to be taken in.
    pub(super) last_announced: Duration,
}

impl Peer {
    /// One of which only this update is known.
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
