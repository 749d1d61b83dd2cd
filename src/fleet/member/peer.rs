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
    pub heard: Option<Duration>,
    /// When it answered a probe of this member.
    pub answered: Option<Duration>,
    /// When a helper last reached it, and which.
    pub found: Option<(Duration, String)>,
    /// A suspicion that nothing has refuted.
    pub suspicion: Option<Suspicion>,
    /// The suspicion has lasted its time.
    pub lost: bool,
    /// When it last asked to be taken in.
    pub(super) since: Duration,
}

impl Peer {
    /// One of which only this update is known.
    pub(super) fn new(update: Update, now: Duration) -> Self {
        Peer { update, heard: None, answered: None, found: None, suspicion: None, lost: false, since: now }
    }
}
