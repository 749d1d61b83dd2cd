//! Gossip: updates that wait to go out on the datagrams of probes, each a bounded number of times.

use crate::fleet::frame::MAX_UPDATE_BYTES;
use crate::fleet::update::{MemberState, Update};

/// Times that an update goes out, for each doubling of the fleet.
const TRANSMISSIONS_PER_DOUBLING: f64 = 3.0;
/// Updates that wait to go out.
const MAX_QUEUED_UPDATES: usize = 256;
/// Bytes of an update besides its names, at most.
const UPDATE_HEADER_BYTES: usize = 48;

/// Updates that wait to go out, with the number of times that each still has to.
#[derive(Default)]
pub(super) struct Dissemination {
    queue: Vec<(Update, u32)>,
}

impl Dissemination {
    /// Queues an update in a fleet of so many, in the place of those that it supersedes. Where the queue is full it is
    /// dropped: its members are heard of again.
    pub(super) fn push(&mut self, update: Update, members: usize) {
        let is_superseded = |known: &Update| {
            known.name == update.name && (witness(known) == witness(&update) || update.replaces(known))
        };
        self.queue.retain(|(known, _)| !is_superseded(known));
        let transmissions = (TRANSMISSIONS_PER_DOUBLING * (members as f64 + 2.0).log2()).ceil() as u32;
        if self.queue.len() < MAX_QUEUED_UPDATES {
            self.queue.push((update, transmissions));
        }
    }

    /// Those that went out least often, as many as a datagram takes.
    pub(super) fn next_batch(&mut self) -> Vec<Update> {
        self.queue.sort_by_key(|(_, remaining_sends)| std::cmp::Reverse(*remaining_sends));
        let (mut sent, mut remaining) = (Vec::new(), MAX_UPDATE_BYTES);
        for (update, remaining_sends) in &mut self.queue {
            let size = update.name.len() + witness(update).map_or(0, str::len) + UPDATE_HEADER_BYTES;
            if size > remaining {
                break;
            }
            remaining -= size;
            *remaining_sends -= 1;
            sent.push(update.clone());
        }
        self.queue.retain(|(_, remaining_sends)| *remaining_sends > 0);
        sent
    }

    /// Drops those that are not to go out any more.
    pub(super) fn retain(&mut self, mut keep: impl FnMut(&Update) -> bool) {
        self.queue.retain(|(update, _)| keep(update));
    }
}

/// The witness of a suspicion.
fn witness(update: &Update) -> Option<&str> {
    match &update.state {
        MemberState::Suspect { by } => Some(by),
        _ => None,
    }
}
