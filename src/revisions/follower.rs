//! The initiator's side of live configuration: checks updates against the initiator's own settings, and answers each
//! with the acknowledgement that the planners receive.

use super::document::{Document, DocumentError, Names};
use super::{Acknowledgement, AcknowledgementOutcome, RevisionId, RevisionNumber, Update, UpdateContent};
use crate::interface::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// Limit on revisions that were checked and wait to be applied; beyond it the oldest is dropped. Usually one waits; two
/// do if an update arrives after the first was fetched and before it was applied.
const MAX_PREPARED: usize = 4;

/// A revision that was checked and is ready to be applied.
#[derive(Clone, Debug, PartialEq)]
pub struct Prepared {
    /// The revision's id.
    pub id: RevisionId,
    /// The settings with the revision applied.
    pub settings: Settings,
    /// Names of all nodes that receive no new requests under this revision. A node that only an earlier revision named
    /// receives requests again.
    pub nodes_out: BTreeSet<String>,
}

/// The live configuration at one initiator: the revision in force and the ones prepared.
pub struct Follower {
    /// The settings from the initiator's files; each revision is applied to them, not to the previous revision.
    base: Settings,
    names: Names,
    in_force: RevisionId,
    /// The content of the revision in force.
    document: Document,
    /// The documents of the prepared revisions.
    prepared: BTreeMap<RevisionNumber, (RevisionId, Document)>,
    /// The last revision that was refused, with the reason, until that one or a later one is in force.
    refused: Option<(RevisionId, String)>,
}

impl Follower {
    /// Creates a follower without a revision: only the settings from the files are in force.
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

    /// The revision in force at this initiator.
    pub fn in_force(&self) -> RevisionId {
        self.in_force
    }

    /// The last revision that was refused since the one in force, and the reason.
    pub fn refused(&self) -> Option<&(RevisionId, String)> {
        self.refused.as_ref()
    }

    /// Checks an update and prepares its revision. The revision is in force once [`Follower::confirm_applied`] is
    /// called; until then a later one may replace it.
    ///
    /// # Errors
    ///
    /// The acknowledgement to send to the planners; the revision in force stays. A document that doesn't fit the
    /// settings, or a full document without the hash of the id, is refused with the reason. The other cases are
    /// answered with the revision in force: an update that is neither prepared nor newer than the newest revision in
    /// force or prepared, changes to a base other than the revision in force, and changes whose result doesn't have the
    /// hash of the id. In the last two cases the planner then sends the full document.
    pub fn prepare(&mut self, update: Update) -> Result<Prepared, Acknowledgement> {
        let id = update.id;
        if id.number <= self.newest_number() && !self.is_prepared(id) {
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

    /// Records that the caller has applied a prepared revision, which is in force from now on. Returns the
    /// acknowledgement for the planners. A revision that was not prepared here, or isn't newer than the one in force,
    /// changes nothing.
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

    /// Records that the caller could not apply a prepared revision, for this reason. The revision in force stays.
    /// Returns the refusal for the planners.
    pub fn reject_prepared(&mut self, prepared: &Prepared, why: String) -> Acknowledgement {
        if self.is_prepared(prepared.id) {
            self.prepared.remove(&prepared.id.number);
        }
        self.refuse(prepared.id, why)
    }

    /// The highest number of a revision in force or prepared.
    fn newest_number(&self) -> RevisionNumber {
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
