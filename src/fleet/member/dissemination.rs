//! The gossip queue: updates that are piggybacked on probe datagrams, each a limited number of times.

use crate::fleet::frame::MAX_UPDATE_BYTES;
use crate::fleet::update::{MemberState, Update};

/// Number of transmissions of an update, for each doubling of the fleet's size.
const TRANSMISSIONS_PER_DOUBLING: f64 = 3.0;
/// Maximum number of queued updates.
const MAX_QUEUED_UPDATES: usize = 256;
/// Maximum encoded length of an update without its names.
const UPDATE_HEADER_BYTES: usize = 48;

/// Queued updates, each with the number of transmissions left.
#[derive(Default)]
pub(super) struct Dissemination {
    queue: Vec<(Update, u32)>,
}

impl Dissemination {
    /// Queues an update in a fleet of this many members and removes those that it supersedes. If the queue is full the
    /// update is dropped: it will be received again.
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

    /// The updates with the most transmissions left, as many as fit into a datagram.
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

    /// Removes the updates that `keep` rejects.
    pub(super) fn retain(&mut self, mut keep: impl FnMut(&Update) -> bool) {
        self.queue.retain(|(update, _)| keep(update));
    }
}

/// The witness, if the update is a suspicion.
fn witness(update: &Update) -> Option<&str> {
    match &update.state {
        MemberState::Suspect { by } => Some(by),
        _ => None,
    }
}
