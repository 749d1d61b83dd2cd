//! Connections that carry no attempt and are kept for the next one.

use super::Targets;
use crate::interface::NodeId;
use std::time::Instant;

impl Targets {
    /// Takes the most recently used idle connection to a node whose reuse delay is over.
    pub(super) fn take_idle(&mut self, now: Instant, node: NodeId) -> Option<usize> {
        let idle = self.idle.get(&node)?;
        let conns = &self.conns;
        let rested = |id: &usize| {
            conns
                .get(id)
                .is_none_or(|connection| connection.idle_since + connection.session.reuse_delay() <= now)
        };
        let id = *idle.iter().rfind(|id| rested(id))?;
        self.remove_idle(node, id);
        Some(id)
    }

    /// Removes a connection from the idle lists.
    pub(super) fn remove_idle(&mut self, node: NodeId, id: usize) {
        let Some(idle) = self.idle.get_mut(&node) else { return };
        idle.retain(|other| *other != id);
        if idle.is_empty() {
            self.idle.remove(&node);
        }
        if let Some(connection) = self.conns.get(&id) {
            self.idle_order.remove(&(connection.idle_since, id));
        }
    }

    /// Closes all idle connections, because another process needs the descriptors.
    pub fn close_all_idle(&mut self) {
        for (_, id) in std::mem::take(&mut self.idle_order) {
            self.close(id);
        }
    }

    pub(super) fn close_idle(&mut self, node: NodeId) {
        for id in self.idle.get(&node).cloned().unwrap_or_default() {
            self.close(id);
        }
    }

    pub(super) fn close_least_recently_used(&mut self) {
        // The least recently used connection is the least likely to be needed again.
        if let Some((_, id)) = self.idle_order.first().copied() {
            self.close(id);
        }
    }
}
