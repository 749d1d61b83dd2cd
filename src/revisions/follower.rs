//! An initiator's part in live configuration: takes updates, checks them against its own settings, says what is in force.

use super::document::{Document, DocumentError, Names};
use super::{Acknowledgement, AcknowledgementOutcome, RevisionId, RevisionNumber, Update, UpdateContent};
use crate::interface::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// Revisions that were checked and wait to be taken over; beyond, the oldest is dropped. One waits as a rule, two where an
/// update came between the fetching of the first and its takeover.
const MAX_PREPARED: usize = 4;

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
pub struct Follower {
    /// The settings of its files.
    base: Settings,
    names: Names,
    in_force: RevisionId,
    /// The content of the revision in force.
    document: Document,
    /// Contents of what is ready to be taken over.
    prepared: BTreeMap<RevisionNumber, (RevisionId, Document)>,
    /// The newest revision that was refused, with the reason, until a later one is in force.
    refused: Option<(RevisionId, String)>,
}

impl Follower {
    /// Holds nothing but the settings of its files.
    pub fn new(base: Settings, names: Names) -> Self {
        Follower {
            base,
            names,
            in_force: RevisionId::none(),
            document: Document::default(),
            prepared: BTreeMap::new(),
            refused: None,
        }
    }

    /// The revision in force here.
    pub fn in_force(&self) -> RevisionId {
        self.in_force
    }

    /// The newest revision that was refused since, and why.
    pub fn refused(&self) -> Option<&(RevisionId, String)> {
        self.refused.as_ref()
    }

    /// Checks an update. What is prepared is in force once [`Follower::confirm_applied`] was called; until then it may be replaced
    /// by a later one.
    ///
    /// # Errors
    ///
    /// The acknowledgement that tells the planners why it can't be taken. Nothing has changed. An update that is older than or
    /// the same as what is in force is acknowledged as what is in force, and changes nothing either. So are changes that were
    /// made to another revision, or that do not lead to the content of the id: a planner sends the whole then.
    pub fn prepare(&mut self, update: Update) -> Result<Prepared, Acknowledgement> {
        let id = update.id;
        if id.number <= self.newest() && !self.is_prepared(id) {
            return Err(self.acknowledge_in_force());
        }
        let document = match update.content {
            UpdateContent::Full(document) if document.hash() == id.hash => document,
            UpdateContent::Full(document) => {
                let why = format!("its content has the hash {}, not {}", document.hash(), id.hash);
                return Err(self.refuse(id, why));
            }
            UpdateContent::Changes { base, .. } if base != self.in_force => {
                return Err(self.acknowledge_in_force())
            }
            UpdateContent::Changes { delta, .. } => {
                let document = delta.apply(&self.document);
                if document.hash() != id.hash {
                    return Err(self.acknowledge_in_force());
                }
                document
            }
        };
        let settings = self.check(&document).map_err(|error| self.refuse(id, error.to_string()))?;
        let prepared = Prepared { id, settings, nodes_out: document.nodes_out.clone() };
        self.prepared.insert(id.number, (id, document));
        while self.prepared.len() > MAX_PREPARED {
            self.prepared.pop_first();
        }
        Ok(prepared)
    }

    /// What was prepared is in force from now on; says so to the planners. What was not prepared here, or is older than what
    /// is in force, changes nothing.
    pub fn confirm_applied(&mut self, prepared: &Prepared) -> Acknowledgement {
        let newer = prepared.id.number > self.in_force.number;
        if newer && self.is_prepared(prepared.id) {
            if let Some((id, document)) = self.prepared.remove(&prepared.id.number) {
                (self.in_force, self.document) = (id, document);
            }
            let in_force = self.in_force.number;
            self.prepared.retain(|number, _| *number > in_force);
            self.refused.take_if(|(refused, _)| refused.number <= in_force);
        }
        self.acknowledge_in_force()
    }

    /// What was prepared can't be taken over after all, for this reason; says so to the planners. What is in force is so on.
    pub fn reject_prepared(&mut self, prepared: &Prepared, why: String) -> Acknowledgement {
        if self.is_prepared(prepared.id) {
            self.prepared.remove(&prepared.id.number);
        }
        self.refuse(prepared.id, why)
    }

    /// The newest number that is in force or prepared.
    fn newest(&self) -> RevisionNumber {
        let prepared = self.prepared.last_key_value().map(|(number, _)| *number);
        prepared.map_or(self.in_force.number, |number| number.max(self.in_force.number))
    }

    fn is_prepared(&self, id: RevisionId) -> bool {
        self.prepared.get(&id.number).is_some_and(|(prepared, _)| *prepared == id)
    }

    fn check(&self, document: &Document) -> Result<Settings, DocumentError> {
        document.check()?;
        document.apply(&self.base, &self.names)
    }

    fn acknowledge_in_force(&self) -> Acknowledgement {
        Acknowledgement { id: self.in_force, outcome: AcknowledgementOutcome::InForce }
    }

    fn refuse(&mut self, id: RevisionId, why: String) -> Acknowledgement {
        self.refused = Some((id, why.clone()));
        Acknowledgement { id, outcome: AcknowledgementOutcome::Refused(why) }
    }
}

#[cfg(test)]
mod tests;
