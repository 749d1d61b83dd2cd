//! One member over two processes: what the older one gives, and how the newer one goes on from it.

use super::{Member, Parameters, Phase};
use crate::fleet::update::Generation;
use crate::fleet::view::{Acceptor, View, ViewEntry, ViewId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What one process of a member gives to the one that takes its place: the same generation, with all its promises.
/// Serialized names stay as they were introduced: `upgrade::frame::SCHEMA` is checked by them.
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
    /// What the next process of this member goes on from. This one is to send nothing after that.
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

    /// Goes on in the place of the process before; as one that begins to join, where that had another name.
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
