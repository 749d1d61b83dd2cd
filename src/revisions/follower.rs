//! An initiator's part in live configuration: takes updates, checks them against its own settings, says what is in force.

use super::document::Names;
use super::{Acknowledgement, RevisionId, Update};
use crate::interface::Settings;
use std::collections::BTreeSet;

/// A revision that was checked and is ready to be taken over.
#[derive(Clone, Debug, PartialEq)]
pub struct Prepared {
    /// Its id.
    pub id: RevisionId,
    /// The settings from its takeover on.
    pub settings: Settings,
    /// Names of all nodes that get nothing new from then on. A node that an earlier revision took out and this one does not
    /// is back.
    pub nodes_out: BTreeSet<String>,
}

/// What an initiator holds of the live configuration.
pub struct Follower {}

impl Follower {
    /// Holds nothing but the settings of its files.
    pub fn new(_base: Settings, _names: Names) -> Self {
        todo!()
    }

    /// The revision in force here.
    pub fn in_force(&self) -> RevisionId {
        todo!()
    }

    /// Checks an update. What is prepared is in force once [`Follower::took_over`] was called; until then it may be replaced
    /// by a later one.
    ///
    /// # Errors
    ///
    /// The acknowledgement that tells the planners why it can't be taken. Nothing has changed. An update that is older than or
    /// the same as what is in force is acknowledged as what is in force, and changes nothing either.
    pub fn prepare(&mut self, _update: Update) -> Result<Prepared, Acknowledgement> {
        todo!()
    }

    /// What was prepared is in force from now on; says so to the planners.
    pub fn took_over(&mut self, _prepared: &Prepared) -> Acknowledgement {
        todo!()
    }
}
