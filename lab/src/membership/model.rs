//! Model checking of the agreement on views: the program's own acceptors and proposers, two competing proposers, lost,
//! duplicated and reordered messages, and a member that restarts.

use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use topazpath::fleet::update::Generation;
use topazpath::fleet::view::{Acceptor, Ballot, Change, Proposal, View, ViewId, ViewMember};

/// The model: a view and what may happen in it.
#[derive(Clone, Debug)]
pub struct ViewAgreement {
    /// Members of the view.
    pub members: usize,
    /// Number of proposals of each of the first members; each proposes a different change.
    pub tries: Vec<u32>,
    /// Number of restarts.
    pub restarts: u8,
    /// Planted fault: a restarted member keeps its vote and has forgotten its promises.
    pub forgets: bool,
}

/// A message, with the numbers of sender and receiver. It stays in transit after delivery, so that it can arrive late,
/// twice or never.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    Prepare(usize, usize, Ballot),
    Promise(usize, usize, Ballot, Option<(Ballot, Change)>),
    Propose(usize, usize, Ballot, Change),
    Accepted(usize, usize, Ballot),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    acceptors: Vec<Option<Acceptor>>,
    proposals: Vec<Option<Proposal>>,
    tries: Vec<u32>,
    restarts: u8,
    messages: BTreeSet<Message>,
    decided: BTreeSet<Change>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Try(usize),
    Deliver(Message),
    Restart(usize),
}

fn name(index: usize) -> String {
    format!("m{index}")
}

impl ViewAgreement {
    fn view(&self) -> View {
        let line = |index| {
            let address = SocketAddr::from(([127, 0, 0, 1], 1 + index as u16));
            (name(index), ViewMember { name: name(index), generation: Generation(1), address })
        };
        let members: BTreeMap<String, ViewMember> = (0..self.members).map(line).collect();
        View { id: ViewId { bootstrap: 1, number: 1 }, members, ..View::default() }
    }

    /// Sends messages. Those of a member to itself are delivered at once, as in the program.
    fn send(&self, state: &mut State, messages: impl IntoIterator<Item = Message>) {
        for message in messages {
            match message {
                Message::Prepare(a, b, _) | Message::Promise(a, b, ..) if a == b => {
                    self.deliver(state, message)
                }
                Message::Propose(a, b, ..) | Message::Accepted(a, b, _) if a == b => {
                    self.deliver(state, message)
                }
                message => state.messages.extend([message]),
            }
        }
    }

    fn deliver(&self, state: &mut State, message: Message) {
        let view = self.view();
        match message {
            Message::Prepare(from, to, ballot) => {
                let promised = state.acceptors[to].as_mut().and_then(|acceptor| acceptor.prepare(&ballot));
                if let Some(accepted) = promised {
                    self.send(state, [Message::Promise(to, from, ballot, accepted)]);
                }
            }
            Message::Promise(from, to, ballot, accepted) => {
                let own = state.proposals[to].as_mut().filter(|proposal| proposal.ballot == ballot);
                if let Some(change) = own.and_then(|it| it.add_vote(&view, &name(from), accepted, [])) {
                    let all =
                        (0..self.members).map(|it| Message::Propose(to, it, ballot.clone(), change.clone()));
                    self.send(state, all.collect::<Vec<_>>());
                }
            }
            Message::Propose(from, to, ballot, change) => {
                if state.acceptors[to].as_mut().is_some_and(|acceptor| acceptor.accept(&ballot, &change)) {
                    self.send(state, [Message::Accepted(to, from, ballot)]);
                }
            }
            Message::Accepted(from, to, ballot) => {
                let own = state.proposals[to].as_mut().filter(|proposal| proposal.ballot == ballot);
                state.decided.extend(own.and_then(|proposal| proposal.add_accepted(&view, &name(from))));
            }
        }
    }
}

impl Model for ViewAgreement {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            acceptors: vec![Some(Acceptor::default()); self.members],
            proposals: vec![None; self.tries.len()],
            tries: self.tries.clone(),
            restarts: self.restarts,
            messages: BTreeSet::new(),
            decided: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend((0..state.tries.len()).filter(|index| state.tries[*index] > 0).map(Action::Try));
        actions.extend(state.messages.iter().cloned().map(Action::Deliver));
        if state.restarts > 0 {
            actions
                .extend((0..self.members).filter(|it| state.acceptors[*it].is_some()).map(Action::Restart));
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Try(index) => {
                state.acceptors[index].as_ref()?;
                state.tries[index] -= 1;
                let round = 1 + self.tries[index] - state.tries[index];
                let ballot = Ballot { round, by: name(index) };
                // Each proposes to remove a different member.
                let leaves = vec![name((index + 1) % self.members)];
                state.proposals[index] =
                    Some(Proposal::new(ballot.clone(), Change { leaves, ..Change::default() }));
                let all = (0..self.members).map(|it| Message::Prepare(index, it, ballot.clone()));
                self.send(&mut state, all.collect::<Vec<_>>());
            }
            Action::Deliver(message) => self.deliver(&mut state, message),
            Action::Restart(index) => {
                state.restarts -= 1;
                // A new generation has no vote in this view. With the planted fault it votes with an empty memory.
                state.acceptors[index] = self.forgets.then(Acceptor::default);
                state.proposals.iter_mut().skip(index).take(1).for_each(|proposal| *proposal = None);
                state.tries.iter_mut().skip(index).take(1).for_each(|tries| *tries = 0);
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one view of a number", |_, state: &State| state.decided.len() <= 1),
            Property::sometimes("a view is decided", |_, state: &State| !state.decided.is_empty()),
        ]
    }
}

/// Returns the number of reached states, and the properties that do not hold.
pub fn check(model: ViewAgreement) -> (usize, Vec<&'static str>) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = model.checker().threads(threads).spawn_bfs().join();
    let mut broken = Vec::new();
    if checker.discovery("one view of a number").is_some() {
        broken.push("one view of a number");
    }
    if checker.discovery("a view is decided").is_none() {
        broken.push("a view is decided");
    }
    (checker.unique_state_count(), broken)
}

/// Returns the checks whose results docs/fleet.md records; `short` selects the smallest.
pub fn recorded(short: bool) -> Vec<(&'static str, ViewAgreement)> {
    let model = |members, tries: &[u32], restarts| ViewAgreement {
        members,
        tries: tries.to_vec(),
        restarts,
        forgets: false,
    };
    let mut all = vec![("three members, two tries", model(3, &[1, 1], 0))];
    if !short {
        all.push(("three members, two tries, a restart", model(3, &[1, 1], 1)));
        all.push(("three members, three tries", model(3, &[2, 1], 0)));
    }
    all
}

#[cfg(test)]
mod tests;
