//! Another member, as it is known here.

use crate::fleet::life::Rumor;
use crate::fleet::suspicion::Suspicion;
use std::time::Duration;

/// Another member, as it is known here.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The latest word of it.
    pub rumor: Rumor,
    /// When anything of it came.
    pub heard: Option<Duration>,
    /// When it answered a probe of this member.
    pub answered: Option<Duration>,
    /// When another member found it, and who.
    pub found: Option<(Duration, String)>,
    /// A doubt that nothing has contradicted.
    pub doubt: Option<Suspicion>,
    /// The doubt's time is over.
    pub lost: bool,
    /// When it last asked to be taken in.
    pub(super) since: Duration,
}

impl Peer {
    /// One of whom nothing came yet but this.
    pub(super) fn new(rumor: Rumor, now: Duration) -> Self {
        Peer { rumor, heard: None, answered: None, found: None, doubt: None, lost: false, since: now }
    }
}
