//! How much a front's clients may take up, and who makes room for newcomers.

use super::protocol::Protocol;
use super::Front;
use std::time::{Duration, Instant};

/// A client makes room once it was idle for this long; one that never asked for anything, for less. What was
/// accepted a moment ago may only not be read yet.
const IDLE_BEFORE_ROOM: Duration = Duration::from_millis(250);
pub(super) const SILENT_BEFORE_ROOM: Duration = Duration::from_millis(50);
/// One that has begun to ask, and of whom nothing has come for this long.
const STALLED_BEFORE_ROOM: Duration = Duration::from_millis(600);

/// How much the clients of a front may take up.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Clients connected together without any having to go.
    pub easy: usize,
    /// Clients connected together and served.
    pub clients: usize,
    /// Clients beyond these that are connected only to be told to come again.
    pub crowd: usize,
    /// Connections beyond these that are ended, and wait for their far side to see it.
    pub leaving: usize,
    /// Bytes of the bodies of open requests, and of what is kept for clients besides.
    pub bytes: usize,
}

impl<P: Protocol> Front<P> {
    /// Whether newcomers are only let in to be told to come again.
    pub fn is_crowded(&self) -> bool {
        self.clients.len() >= self.room.clients
    }

    /// What clients may take up from now on.
    pub fn set_room(&mut self, room: Room) {
        self.room = room;
    }

    /// Closes the client that makes room most easily, if any has to: first who has asked and is idle, and can come again
    /// at no cost; then, where there is no room at all, who never said anything; then who has begun to and does not go
    /// on. Guards those who take their time against those who never finish.
    pub(super) fn close_an_idle_one(&mut self, now: Instant, no_room: bool) -> bool {
        let idle = self.clients.iter().filter_map(|(id, client)| {
            let (asked, begun) = (self.protocol.has_asked(&client.session), client.partial.is_some());
            let (rank, pause) = match (asked, begun) {
                (_, true) => (2, STALLED_BEFORE_ROOM),
                (true, _) => (0, IDLE_BEFORE_ROOM),
                (false, _) => (1, SILENT_BEFORE_ROOM),
            };
            // Whoever cannot come again stays: after SIGTERM only others knock.
            let stays = self.standing.keeps_idle && rank == 0 && self.protocol.has_requested(&client.session);
            let waits =
                now - client.used < pause || client.conn.unwritten() > 0 || (rank > 0 && !no_room) || stays;
            // What it has said is not read yet.
            let waits = waits || client.queued;
            (!waits && self.protocol.makes_room(&client.session)).then_some((rank, client.used, *id))
        });
        let first = idle.min();
        first.is_some_and(|(_, _, id)| self.part(now, id))
    }
}
