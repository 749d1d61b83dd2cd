//! Handing a member over from one process to the next, as in an upgrade: the state that the older process passes on,
//! and how the newer one resumes from it.

use super::{Member, Parameters, Phase};
use crate::fleet::update::Generation;
use crate::fleet::view::{Acceptor, View, ViewEntry, ViewId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The state that one process of a member passes to its successor, which continues the same generation and keeps the
/// Paxos promises. The serialized names must not change: `upgrade::frame::SCHEMA` is checked against them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    name: String,
    #[serde(rename = "life")]
    generation: Generation,
    #[serde(rename = "claim")]
    incarnation: u32,
    #[serde(rename = "dead")]
    abandoned_view: ViewId,
    view: ViewId,
    entries: Vec<ViewEntry>,
    acceptor: Acceptor,
}

impl Member {
    /// The state from which the next process of this member resumes. This process must send nothing from then on.
    pub fn identity(&self) -> Identity {
        let (generation, incarnation, abandoned_view, view) =
            (self.generation, self.incarnation, self.abandoned_view, self.view.id);
        let entries = self.view.entries().collect();
        Identity {
            name: self.own.name.clone(),
            generation,
            incarnation,
            abandoned_view,
            view,
            entries,
            acceptor: self.acceptor.clone(),
        }
    }

    /// Resumes the member of the preceding process. If that process had another name, begins to join as a new member.
    pub fn resume(own: Parameters, identity: Identity, now: Duration) -> Self {
        let mut member = Member::new(own, now);
        if identity.name != member.own.name {
            return member;
        }
        (member.generation, member.incarnation, member.abandoned_view) =
            (identity.generation, identity.incarnation, identity.abandoned_view);
        member.acceptor = identity.acceptor;
        if identity.view != ViewId::default() {
            let before =
                std::mem::replace(&mut member.view, View::from_entries(identity.view, identity.entries));
            member.update_peers(now, &before);
            if member
                .view
                .members
                .get(&member.own.name)
                .is_some_and(|listed| listed.generation == member.generation)
            {
                member.phase = Phase::Member;
            }
        }
        member
    }
}
