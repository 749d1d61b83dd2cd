//! Planners in virtual time: the real replicas on stores in memory, a network that loses, delays, doubles and is cut,
//! processes that are killed, die at a write, are stopped and started again. All of it from one seed.

use super::checker::Checker;
use super::planted::{Planted, PlantedStore};
use super::schedule::{Fault, Network, Schedule, Submission};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use topazpath::revisions::agreement::{
    Action, Event, Parameters, Proposal, ProposalError, ProposalId, Replica, VoterId, KEPT_REVISIONS,
};
use topazpath::revisions::document::Document;
use topazpath::revisions::store::{Failure, GroupId, Identity};
use topazpath::revisions::{ContentHash, Revision, RevisionId, RevisionNumber};

const TICK: Duration = Duration::from_millis(100);
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(4);
/// A process may be as late with an answer.
const ANSWER_SLACK: Duration = Duration::from_secs(1);
/// A client that does not know what became of its proposal asks again after so long.
const RETRY: Duration = Duration::from_millis(700);
/// How often it does.
const MOST_RETRIES: u32 = 3;
/// After all faults: elections, of which each takes up to twenty ticks, and a lost snapshot.
pub const SETTLES_WITHIN: Duration = Duration::from_secs(30);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Begins(usize),
    Ends(usize),
    Submits(usize),
    Retries { who: usize, mark: usize, left: u32 },
    Arrives { to: usize, message: usize },
    Wakes { who: usize, number: u64 },
}

struct Machine {
    store: PlantedStore,
    replica: Option<Replica<PlantedStore>>,
    /// Counts the machine's processes.
    process: u64,
    paused: bool,
    inbox: Vec<Vec<u8>>,
    /// Numbers its wake-ups: an older one is void.
    wakes: u64,
}

/// What was played, besides what broke.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    pub faults: usize,
    pub proposals: usize,
    pub accepted: usize,
    pub conflicts: usize,
    pub unknown: usize,
    pub without_quorum: usize,
    pub crashes_at_write: usize,
    pub starts: usize,
    pub messages: usize,
    /// Times that a replica got further by a snapshot, leaving numbers out or not.
    pub compactions: usize,
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        self.faults += other.faults;
        self.proposals += other.proposals;
        self.accepted += other.accepted;
        self.conflicts += other.conflicts;
        self.unknown += other.unknown;
        self.without_quorum += other.without_quorum;
        self.crashes_at_write += other.crashes_at_write;
        self.starts += other.starts;
        self.messages += other.messages;
        self.compactions += other.compactions;
    }
}

/// Planners, their network, their clients and the checker.
pub struct World {
    pub now: Duration,
    pub checker: Checker,
    pub counts: Counts,
    schedule: Schedule,
    planted: Planted,
    random: ChaCha8Rng,
    machines: Vec<Machine>,
    network: Network,
    /// How many faults cut the way from one to the other.
    cuts: Vec<Vec<usize>>,
    queue: BinaryHeap<Reverse<(Duration, u64, Happening)>>,
    order: u64,
    messages: Vec<Vec<u8>>,
    /// All proposals that were made; their marks are their positions.
    proposals: Vec<Proposal>,
    ids: u128,
}

impl World {
    pub fn new(schedule: Schedule, planted: Planted, seed: u64) -> Self {
        let voters: Vec<VoterId> = (1..=schedule.voters as u64).map(VoterId).collect();
        let machine = |voter: &VoterId| {
            let group = GroupId::from_names(["simulation"]);
            let identity = Identity { group, voter: *voter, voters: voters.clone() };
            let store = PlantedStore::new(identity, planted);
            Machine { store, replica: None, process: 0, paused: false, inbox: Vec::new(), wakes: 0 }
        };
        let mut world = World {
            now: Duration::ZERO,
            checker: Checker::default(),
            counts: Counts { faults: schedule.faults.len(), ..Counts::default() },
            planted,
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            machines: voters.iter().map(machine).collect(),
            network: Network::default(),
            cuts: vec![vec![0; schedule.voters]; schedule.voters],
            queue: BinaryHeap::new(),
            order: 0,
            messages: Vec::new(),
            proposals: Vec::new(),
            ids: 0,
            schedule,
        };
        (0..world.machines.len()).for_each(|who| world.start(who));
        for position in 0..world.schedule.faults.len() {
            let (at, lasts) = (world.schedule.faults[position].at, world.schedule.faults[position].lasts);
            world.plan(at, Happening::Begins(position));
            world.plan(at + lasts, Happening::Ends(position));
        }
        for position in 0..world.schedule.submissions.len() {
            world.plan(world.schedule.submissions[position].0, Happening::Submits(position));
        }
        world
    }

    fn plan(&mut self, at: Duration, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, happening)));
    }

    /// Goes on until a time.
    pub fn run(&mut self, until: Duration) {
        while self.queue.peek().is_some_and(|Reverse((at, _, _))| *at <= until) {
            let Some(Reverse((at, _, happening))) = self.queue.pop() else { break };
            self.now = at;
            self.happen(happening);
        }
        self.now = until;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Begins(position) => self.begin(self.schedule.faults[position].fault.clone()),
            Happening::Ends(position) => self.end(self.schedule.faults[position].fault.clone()),
            Happening::Submits(position) => {
                let (_, who, submission) = self.schedule.submissions[position];
                self.submit(who, submission);
            }
            Happening::Retries { who, mark, left } => self.hand_in(who, mark, left),
            Happening::Arrives { to, message } => {
                let bytes = std::mem::take(&mut self.messages[message]);
                self.arrive(to, bytes);
            }
            Happening::Wakes { who, number } if self.machines[who].wakes == number => {
                self.handle(who, Event::Tick);
            }
            Happening::Wakes { .. } => {}
        }
    }

    fn arrive(&mut self, to: usize, bytes: Vec<u8>) {
        if self.machines[to].paused {
            self.machines[to].inbox.push(bytes);
        } else {
            self.handle(to, Event::Message(bytes));
        }
    }

    fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(some) => some.into_iter().for_each(|who| self.kill(who)),
            Fault::CrashAtWrite { who, write, after } => {
                let failure = if after { Failure::After(write) } else { Failure::Before(write) };
                self.machines[who].store.disk.inject_failure(Some(failure));
            }
            Fault::Pause(some) => some.into_iter().for_each(|who| self.machines[who].paused = true),
            Fault::Bad(network) => self.network = network,
            Fault::CutOneWay(..) | Fault::Cut(..) | Fault::Split(_) => self.change_cuts(&fault, true),
        }
    }

    fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(some) => some.into_iter().for_each(|who| self.start(who)),
            Fault::CrashAtWrite { who, .. } => {
                self.machines[who].store.disk.inject_failure(None);
                self.start(who);
            }
            Fault::Pause(some) => some.into_iter().for_each(|who| self.go_on(who)),
            Fault::Bad(_) => self.network = Network::default(),
            Fault::CutOneWay(..) | Fault::Cut(..) | Fault::Split(_) if self.planted == Planted::StaysCut => {}
            Fault::CutOneWay(..) | Fault::Cut(..) | Fault::Split(_) => self.change_cuts(&fault, false),
        }
    }

    fn change_cuts(&mut self, fault: &Fault, begins: bool) {
        for from in 0..self.machines.len() {
            for to in 0..self.machines.len() {
                let cut = match fault {
                    Fault::CutOneWay(a, b) => (from, to) == (*a, *b),
                    Fault::Cut(a, b) => (from, to) == (*a, *b) || (to, from) == (*a, *b),
                    Fault::Split(some) => some.contains(&from) != some.contains(&to),
                    _ => false,
                };
                let count = &mut self.cuts[from][to];
                match begins {
                    true => *count += usize::from(cut),
                    false => *count -= usize::from(cut),
                }
            }
        }
    }

    fn kill(&mut self, who: usize) {
        if self.machines[who].replica.take().is_some() {
            self.checker.ended(who, self.machines[who].process);
        }
        self.machines[who].inbox.clear();
        self.machines[who].wakes += 1;
    }

    /// Starts a process where none runs.
    fn start(&mut self, who: usize) {
        if self.machines[who].replica.is_some() {
            return;
        }
        self.counts.starts += 1;
        let machine = &mut self.machines[who];
        machine.process += 1;
        machine.store.disk.restart();
        let voters = (1..=self.cuts.len() as u64).map(VoterId).collect();
        let id = VoterId(who as u64 + 1);
        let parameters = Parameters { id, voters, tick: TICK, proposal_timeout: PROPOSAL_TIMEOUT };
        let started = Replica::start(parameters, machine.store.clone(), self.now);
        let Ok(replica) = started else {
            // A store that can't be read keeps the planner out; only planted faults lead there.
            self.checker.breaches.lost += 1;
            return;
        };
        self.checker.started(who, replica.newest().map_or(RevisionNumber(0), |newest| newest.id.number));
        machine.replica = Some(replica);
        self.show(who);
        self.wake(who);
    }

    /// Shows the checker all that a replica keeps.
    fn show(&mut self, who: usize) {
        let Some(replica) = &self.machines[who].replica else { return };
        let newest = replica.newest().map_or(0, |newest| newest.id.number.0);
        let kept = (newest.saturating_sub(KEPT_REVISIONS as u64)..=newest).map(RevisionNumber);
        let kept: Vec<Revision> = kept.filter_map(|number| replica.revision(number).cloned()).collect();
        for revision in kept {
            self.tell(who, revision);
        }
    }

    fn tell(&mut self, who: usize, mut revision: Revision) {
        match self.planted {
            Planted::SkipsNumber if revision.id.number.0 >= 3 => revision.id.number.0 += 1,
            Planted::ChangesContent if revision.id.number.0 == 2 => {
                revision.document.nodes_out.insert("changed".into());
            }
            _ => {}
        }
        self.checker.saw(who, &revision);
    }

    fn go_on(&mut self, who: usize) {
        self.machines[who].paused = false;
        for bytes in std::mem::take(&mut self.machines[who].inbox) {
            self.handle(who, Event::Message(bytes));
        }
        self.wake(who);
    }

    fn wake(&mut self, who: usize) {
        let machine = &mut self.machines[who];
        let Some(replica) = &machine.replica else { return };
        machine.wakes += 1;
        let (at, number) = (replica.next_timer().max(self.now), machine.wakes);
        self.plan(at, Happening::Wakes { who, number });
    }

    fn handle(&mut self, who: usize, event: Event) {
        let machine = &mut self.machines[who];
        if machine.paused {
            return;
        }
        let Some(replica) = &mut machine.replica else { return };
        let mut actions = Vec::new();
        if replica.handle(self.now, event, &mut actions).is_err() {
            // The process ends, and nothing of what it was about to do is done.
            self.counts.crashes_at_write += 1;
            self.kill(who);
            return;
        }
        actions.into_iter().for_each(|action| self.act(who, action));
        self.wake(who);
    }

    fn act(&mut self, who: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(who, to.0 as usize - 1, message),
            Action::Accepted(revision) => self.tell(who, revision),
            Action::Decided { id, outcome } => self.decide(who, id, outcome),
            Action::QuorumChanged(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Vec<u8>) {
        self.counts.messages += 1;
        if self.cuts[from][to] > 0 || self.random.random::<f64>() < self.network.loss {
            return;
        }
        let copies = 1 + usize::from(self.random.random::<f64>() < self.network.doubled);
        for _ in 0..copies {
            let late = self.network.jitter.mul_f64(self.random.random());
            self.messages.push(message.clone());
            let message = self.messages.len() - 1;
            self.plan(self.now + self.network.delay + late, Happening::Arrives { to, message });
        }
    }

    fn decide(&mut self, who: usize, id: ProposalId, outcome: Result<RevisionId, ProposalError>) {
        let Some(mark) = self.proposals.iter().position(|proposal| proposal.id == id) else { return };
        let outcome = match (self.planted, outcome) {
            (Planted::KeepsSilent, _) => return,
            (Planted::TellsRefused, Ok(newest)) => Err(ProposalError::Conflict { newest }),
            (_, outcome) => outcome,
        };
        let process = self.machines[who].process;
        self.checker.decided(who, process, &self.proposals[mark].author, outcome);
    }

    fn submit(&mut self, who: usize, submission: Submission) {
        if submission == Submission::Everywhere {
            (0..self.machines.len()).for_each(|who| self.submit(who, Submission::Current));
            return;
        }
        let Some(replica) = &self.machines[who].replica else { return };
        let newest = replica.newest().map_or_else(RevisionId::none, |newest| newest.id);
        let older = RevisionNumber(self.random.random_range(0..=newest.number.0));
        let older = replica.revision(older).cloned();
        let mark = match submission {
            Submission::Again if !self.proposals.is_empty() => {
                self.random.random_range(0..self.proposals.len())
            }
            Submission::Stale => self.propose(older.map_or_else(RevisionId::none, |it| it.id), None),
            Submission::Forged => {
                let hash = ContentHash([self.random.random(); 32]);
                self.propose(RevisionId { number: newest.number, hash }, None)
            }
            Submission::Invalid => {
                let mut document = Document::default();
                document.costs.largest = Some(-1.0);
                self.propose(newest, Some(document))
            }
            Submission::Back => self.propose(newest, older.map(|it| it.document)),
            _ => self.propose(newest, None),
        };
        self.hand_in(who, mark, MOST_RETRIES);
    }

    /// Makes a proposal, with a document of its own where none is given.
    fn propose(&mut self, expected: RevisionId, document: Option<Document>) -> usize {
        let mark = self.proposals.len();
        let document = document.unwrap_or_else(|| {
            let mut document = Document::default();
            document.nodes_out.insert(format!("node-{mark}"));
            document
        });
        self.ids += 1;
        let id = ProposalId(self.ids);
        self.proposals.push(Proposal {
            id,
            expected,
            author: format!("client-{mark}"),
            submitted_ms: 0,
            document,
        });
        self.counts.proposals += 1;
        mark
    }

    /// Hands a proposal in, and again after a while where what became of it is not known.
    fn hand_in(&mut self, who: usize, mark: usize, left: u32) {
        let machine = &self.machines[who];
        let Some(replica) = machine.replica.as_ref().filter(|_| !machine.paused) else { return };
        let process = machine.process;
        let newest = replica.newest().map_or_else(RevisionId::none, |newest| newest.id);
        let proposal = self.proposals[mark].clone();
        self.checker.submitted(who, process, &proposal, self.now + PROPOSAL_TIMEOUT + ANSWER_SLACK);
        let mut handed = proposal.clone();
        match self.planted {
            Planted::NoCompare => handed.expected = newest,
            Planted::NewIds if left < MOST_RETRIES => {
                self.ids += 1;
                handed.id = ProposalId(self.ids);
                handed.expected = newest;
            }
            Planted::TellsEarly => {
                let id = RevisionId { number: newest.number.next(), hash: handed.document.hash() };
                self.checker.decided(who, process, &proposal.author, Ok(id));
            }
            _ => {}
        }
        self.handle(who, Event::Propose(Box::new(handed)));
        if left > 0 {
            let next = self.random.random_range(0..self.machines.len());
            let at = self.now + RETRY.mul_f64(0.5 + 8.0 * self.random.random::<f64>());
            self.plan(at, Happening::Retries { who: next, mark, left: left - 1 });
        }
    }

    /// Whether all run, are in contact and have the same newest revision.
    fn agree(&self) -> bool {
        let mut newest = self.machines.iter().map(|machine| {
            machine
                .replica
                .as_ref()
                .filter(|it| it.has_quorum())
                .map(|it| it.newest().map(|newest| newest.id))
        });
        let first = newest.next().flatten();
        first.is_some() && newest.all(|it| it == first)
    }

    /// After all faults: all come together, accept something new, and have everything after a restart of all.
    pub fn settle(&mut self) {
        self.run(self.schedule.over + Duration::from_millis(1));
        let mut settled = self.come_together() && self.accept_one();
        for who in 0..self.machines.len() {
            self.kill(who);
        }
        (0..self.machines.len()).for_each(|who| self.start(who));
        settled = settled && self.come_together() && self.accept_one();
        self.checker.breaches.unsettled += usize::from(!settled);
        self.run(self.now + PROPOSAL_TIMEOUT + 2 * ANSWER_SLACK);
        self.check_accepted();
        self.count();
        self.checker.finish(self.now);
    }

    fn come_together(&mut self) -> bool {
        let end = self.now + SETTLES_WITHIN;
        while self.now < end {
            self.run(self.now + 5 * TICK);
            if self.agree() {
                return true;
            }
        }
        false
    }

    /// Clients of the schedule may still come first: a few are tried.
    fn accept_one(&mut self) -> bool {
        for _ in 0..10 {
            let who = self.random.random_range(0..self.machines.len());
            let Some(replica) = &self.machines[who].replica else { return false };
            let newest = replica.newest().map_or_else(RevisionId::none, |newest| newest.id);
            let mark = self.propose(newest, None);
            self.hand_in(who, mark, 0);
            self.run(self.now + 10 * TICK);
            let author = &self.proposals[mark].author;
            let accepted = |machine: &Machine| {
                let newest = machine.replica.as_ref().and_then(|replica| replica.newest());
                newest.is_some_and(|newest| newest.author == *author)
            };
            if self.machines.iter().all(accepted) {
                return true;
            }
        }
        false
    }

    /// What clients were told is accepted is with every replica, as far back as it keeps revisions.
    fn check_accepted(&mut self) {
        for id in self.checker.accepted() {
            for machine in &self.machines {
                let Some(replica) = &machine.replica else { continue };
                let newest = replica.newest().map_or(0, |newest| newest.id.number.0);
                let kept = id.number.0 + KEPT_REVISIONS as u64 > newest;
                let found = replica.revision(id.number).map(|revision| revision.id);
                if kept && found != Some(id) {
                    self.checker.breaches.lost += 1;
                }
            }
        }
    }

    fn count(&mut self) {
        self.counts.accepted = self.checker.newest().0 as usize;
        self.counts.conflicts = self.checker.count(|it| matches!(it, Err(ProposalError::Conflict { .. })));
        self.counts.unknown = self.checker.count(|it| matches!(it, Err(ProposalError::Unknown)));
        self.counts.without_quorum = self.checker.count(|it| matches!(it, Err(ProposalError::NoQuorum)));
        let compacted = |machine: &Machine| {
            use topazpath::revisions::store::ReplicaStore;
            machine.store.disk.load().is_ok_and(|stored| stored.snapshot_index() > 0)
        };
        self.counts.compactions = self.machines.iter().filter(|machine| compacted(machine)).count();
    }
}
