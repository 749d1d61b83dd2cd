//! Gossip: updates that wait to go out on the datagrams of probes, each a bounded number of times.

use crate::fleet::frame::RUMOR_BYTES;
use crate::fleet::life::{Rumor, Standing};

/// Times that an update goes out, for each doubling of the fleet.
const TELLS: f64 = 3.0;
/// Updates that wait to go out.
const MOST_QUEUED: usize = 256;
/// Bytes of an update besides its names, at most.
const RUMOR_HEAD: usize = 48;

/// Updates that wait to go out, with the number of times that each still has to.
#[derive(Default)]
pub(super) struct Dissemination {
    queue: Vec<(Rumor, u32)>,
}

impl Dissemination {
    /// Queues an update in a fleet of so many, in the place of those that it makes void. Where the queue is full it is
    /// dropped: its members are heard of again.
    pub(super) fn push(&mut self, rumor: Rumor, members: usize) {
        let same = |known: &Rumor| {
            known.name == rumor.name && (witness(known) == witness(&rumor) || rumor.replaces(known))
        };
        self.queue.retain(|(known, _)| !same(known));
        let tells = (TELLS * (members as f64 + 2.0).log2()).ceil() as u32;
        if self.queue.len() < MOST_QUEUED {
            self.queue.push((rumor, tells));
        }
    }

    /// Those that went out least often, as many as a datagram takes.
    pub(super) fn next_batch(&mut self) -> Vec<Rumor> {
        self.queue.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        let (mut told, mut room) = (Vec::new(), RUMOR_BYTES);
        for (rumor, left) in &mut self.queue {
            let takes = rumor.name.len() + witness(rumor).map_or(0, str::len) + RUMOR_HEAD;
            if takes > room {
                break;
            }
            room -= takes;
            *left -= 1;
            told.push(rumor.clone());
        }
        self.queue.retain(|(_, left)| *left > 0);
        told
    }

    /// Drops those that are not to go out any more.
    pub(super) fn retain(&mut self, mut keep: impl FnMut(&Rumor) -> bool) {
        self.queue.retain(|(rumor, _)| keep(rumor));
    }
}

/// Whose suspicion an update tells of.
fn witness(rumor: &Rumor) -> Option<&str> {
    match &rumor.standing {
        Standing::Suspect { by } => Some(by),
        _ => None,
    }
}
