//! The rule of views under a model checker: the program's own acceptors and proposers, two of which try at once, with
//! messages that are lost, doubled and reordered, and a member that starts again.

use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use topazpath::fleet::update::Generation;
use topazpath::fleet::view::{Acceptor, Ballot, Change, Proposal, View, ViewId, ViewMember};

/// What is checked.
#[derive(Clone, Debug)]
pub struct Voting {
    /// Members of the view.
    pub members: usize,
    /// Tries of each of the first members; each wants another change.
    pub tries: Vec<u32>,
    /// Members that may start again.
    pub restarts: u8,
    /// A member that started again votes on as the one before, and has forgotten: the deliberate fault.
    pub forgets: bool,
}

/// Something said, by member numbers; it stays on its way, so that it can come late, twice or never.
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
    Arrives(Message),
    Restarts(usize),
}

fn name(who: usize) -> String {
    format!("m{who}")
}

impl Voting {
    fn view(&self) -> View {
        let line = |who| {
            let address = SocketAddr::from(([127, 0, 0, 1], 1 + who as u16));
            (name(who), ViewMember { name: name(who), generation: Generation(1), address })
        };
        let members: BTreeMap<String, ViewMember> = (0..self.members).map(line).collect();
        View { id: ViewId { bootstrap: 1, number: 1 }, members, ..View::default() }
    }

    /// Puts messages on their way; what a member says to itself is heard at once, as in the program.
    fn say(&self, state: &mut State, messages: impl IntoIterator<Item = Message>) {
        for message in messages {
            match message {
                Message::Prepare(a, b, _) | Message::Promise(a, b, ..) if a == b => {
                    self.arrives(state, message)
                }
                Message::Propose(a, b, ..) | Message::Accepted(a, b, _) if a == b => {
                    self.arrives(state, message)
                }
                message => state.messages.extend([message]),
            }
        }
    }

    fn arrives(&self, state: &mut State, message: Message) {
        let view = self.view();
        match message {
            Message::Prepare(from, to, ballot) => {
                let promised = state.acceptors[to].as_mut().and_then(|acceptor| acceptor.prepare(&ballot));
                if let Some(accepted) = promised {
                    self.say(state, [Message::Promise(to, from, ballot, accepted)]);
                }
            }
            Message::Promise(from, to, ballot, accepted) => {
                let own = state.proposals[to].as_mut().filter(|proposal| proposal.ballot == ballot);
                if let Some(change) = own.and_then(|it| it.add_vote(&view, &name(from), accepted, [])) {
                    let all =
                        (0..self.members).map(|it| Message::Propose(to, it, ballot.clone(), change.clone()));
                    self.say(state, all.collect::<Vec<_>>());
                }
            }
            Message::Propose(from, to, ballot, change) => {
                if state.acceptors[to].as_mut().is_some_and(|acceptor| acceptor.accept(&ballot, &change)) {
                    self.say(state, [Message::Accepted(to, from, ballot)]);
                }
            }
            Message::Accepted(from, to, ballot) => {
                let own = state.proposals[to].as_mut().filter(|proposal| proposal.ballot == ballot);
                state.decided.extend(own.and_then(|proposal| proposal.add_accepted(&view, &name(from))));
            }
        }
    }
}

impl Model for Voting {
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
        actions.extend((0..state.tries.len()).filter(|who| state.tries[*who] > 0).map(Action::Try));
        actions.extend(state.messages.iter().cloned().map(Action::Arrives));
        if state.restarts > 0 {
            actions
                .extend((0..self.members).filter(|it| state.acceptors[*it].is_some()).map(Action::Restarts));
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Try(who) => {
                state.acceptors[who].as_ref()?;
                state.tries[who] -= 1;
                let round = 1 + self.tries[who] - state.tries[who];
                let ballot = Ballot { round, by: name(who) };
                // Each wants somebody else out.
                let leaves = vec![name((who + 1) % self.members)];
                state.proposals[who] =
                    Some(Proposal::new(ballot.clone(), Change { leaves, ..Change::default() }));
                let all = (0..self.members).map(|it| Message::Prepare(who, it, ballot.clone()));
                self.say(&mut state, all.collect::<Vec<_>>());
            }
            Action::Arrives(message) => self.arrives(&mut state, message),
            Action::Restarts(who) => {
                state.restarts -= 1;
                // Another generation has no vote in this view; one that is taken for the same has forgotten.
                state.acceptors[who] = self.forgets.then(Acceptor::default);
                state.proposals.iter_mut().skip(who).take(1).for_each(|proposal| *proposal = None);
                state.tries.iter_mut().skip(who).take(1).for_each(|tries| *tries = 0);
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

/// States that were reached, and the properties that do not hold.
pub fn check(model: Voting) -> (usize, Vec<&'static str>) {
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

/// The checks that docs/fleet.md records.
pub fn recorded(short: bool) -> Vec<(&'static str, Voting)> {
    let model = |members, tries: &[u32], restarts| Voting {
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
