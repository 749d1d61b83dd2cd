//! Simulates planners in virtual time: the real replicas on in-memory stores, a network that loses, delays, duplicates
//! and cuts off messages, and processes that are killed, crash at a write, are stopped and restarted. One seed
//! determines everything.

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
/// Allowed lateness of an outcome.
const ANSWER_SLACK: Duration = Duration::from_secs(1);
/// Base of the random delay after which a client resubmits a proposal.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Max number of resubmissions of a proposal.
const MAX_RETRIES: u32 = 3;
/// Time limit for agreement after all faults. It covers elections of up to twenty ticks each, and a lost snapshot.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    FaultBegins(usize),
    FaultEnds(usize),
    Submit(usize),
    Retry { index: usize, position: usize, retries_left: u32 },
    Arrival { to: usize, message: usize },
    Wake { index: usize, number: u64 },
}

struct Machine {
    store: PlantedStore,
    replica: Option<Replica<PlantedStore>>,
    /// Number of the present process of this machine.
    process: u64,
    paused: bool,
    inbox: Vec<Vec<u8>>,
    /// Number of its newest wake-up; older ones are ignored.
    wake_number: u64,
}

/// Counts of what a simulation covered.
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
    /// Machines with a snapshot at the end.
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

/// The planners, their network, their clients and the checker.
pub struct Simulation {
    pub now: Duration,
    pub checker: Checker,
    pub counts: Counts,
    schedule: Schedule,
    planted: Planted,
    random: ChaCha8Rng,
    machines: Vec<Machine>,
    network: Network,
    /// Number of active faults that cut each link, by sender and receiver.
    cuts: Vec<Vec<usize>>,
    queue: BinaryHeap<Reverse<(Duration, u64, Scheduled)>>,
    order: u64,
    messages: Vec<Vec<u8>>,
    /// All proposals; they are referred to by position.
    proposals: Vec<Proposal>,
    ids: u128,
}

impl Simulation {
    pub fn new(schedule: Schedule, planted: Planted, seed: u64) -> Self {
        let voters: Vec<VoterId> = (1..=schedule.voters as u64).map(VoterId).collect();
        let machine = |voter: &VoterId| {
            let group = GroupId::from_names(["simulation"]);
            let identity = Identity { group, voter: *voter, voters: voters.clone() };
            let store = PlantedStore::new(identity, planted);
            Machine { store, replica: None, process: 0, paused: false, inbox: Vec::new(), wake_number: 0 }
        };
        let mut simulation = Simulation {
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
        (0..simulation.machines.len()).for_each(|index| simulation.start(index));
        for position in 0..simulation.schedule.faults.len() {
            let (at, lasts) =
                (simulation.schedule.faults[position].at, simulation.schedule.faults[position].lasts);
            simulation.schedule_event(at, Scheduled::FaultBegins(position));
            simulation.schedule_event(at + lasts, Scheduled::FaultEnds(position));
        }
        for position in 0..simulation.schedule.submissions.len() {
            simulation
                .schedule_event(simulation.schedule.submissions[position].0, Scheduled::Submit(position));
        }
        simulation
    }

    fn schedule_event(&mut self, at: Duration, event: Scheduled) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, event)));
    }

    /// Runs the simulation until then.
    pub fn run(&mut self, until: Duration) {
        while self.queue.peek().is_some_and(|Reverse((at, _, _))| *at <= until) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            self.run_event(event);
        }
        self.now = until;
    }

    fn run_event(&mut self, event: Scheduled) {
        match event {
            Scheduled::FaultBegins(position) => {
                self.begin_fault(self.schedule.faults[position].fault.clone())
            }
            Scheduled::FaultEnds(position) => self.end_fault(self.schedule.faults[position].fault.clone()),
            Scheduled::Submit(position) => {
                let (_, index, submission) = self.schedule.submissions[position];
                self.submit(index, submission);
            }
            Scheduled::Retry { index, position, retries_left } => {
                self.submit_proposal(index, position, retries_left)
            }
            Scheduled::Arrival { to, message } => {
                let bytes = std::mem::take(&mut self.messages[message]);
                self.arrive(to, bytes);
            }
            Scheduled::Wake { index, number } if self.machines[index].wake_number == number => {
                self.handle(index, Event::Tick);
            }
            Scheduled::Wake { .. } => {}
        }
    }

    fn arrive(&mut self, to: usize, bytes: Vec<u8>) {
        if self.machines[to].paused {
            self.machines[to].inbox.push(bytes);
        } else {
            self.handle(to, Event::Message(bytes));
        }
    }

    fn begin_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(some) => some.into_iter().for_each(|index| self.kill(index)),
            Fault::CrashAtWrite { who, write, after } => {
                let failure = if after { Failure::After(write) } else { Failure::Before(write) };
                self.machines[who].store.disk.inject_failure(Some(failure));
            }
            Fault::Pause(some) => some.into_iter().for_each(|index| self.machines[index].paused = true),
            Fault::Bad(network) => self.network = network,
            Fault::CutOneWay(..) | Fault::Cut(..) | Fault::Split(_) => self.change_cuts(&fault, true),
        }
    }

    fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(some) => some.into_iter().for_each(|index| self.start(index)),
            Fault::CrashAtWrite { who, .. } => {
                self.machines[who].store.disk.inject_failure(None);
                self.start(who);
            }
            Fault::Pause(some) => some.into_iter().for_each(|index| self.resume(index)),
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

    fn kill(&mut self, index: usize) {
        if self.machines[index].replica.take().is_some() {
            self.checker.process_ended(index, self.machines[index].process);
        }
        self.machines[index].inbox.clear();
        self.machines[index].wake_number += 1;
    }

    /// Starts a process, unless one runs.
    fn start(&mut self, index: usize) {
        if self.machines[index].replica.is_some() {
            return;
        }
        self.counts.starts += 1;
        let machine = &mut self.machines[index];
        machine.process += 1;
        machine.store.disk.restart();
        let voters = (1..=self.cuts.len() as u64).map(VoterId).collect();
        let id = VoterId(index as u64 + 1);
        let parameters = Parameters { id, voters, tick: TICK, proposal_timeout: PROPOSAL_TIMEOUT };
        let started = Replica::start(parameters, machine.store.clone(), self.now);
        let Ok(replica) = started else {
            // A planner does not start from a store that cannot be read, which only planted faults cause.
            self.checker.breaches.lost += 1;
            return;
        };
        self.checker
            .replica_started(index, replica.newest().map_or(RevisionNumber(0), |newest| newest.id.number));
        machine.replica = Some(replica);
        self.report_kept_revisions(index);
        self.wake(index);
    }

    /// Reports all revisions that a replica keeps to the checker.
    fn report_kept_revisions(&mut self, index: usize) {
        let Some(replica) = &self.machines[index].replica else { return };
        let newest = replica.newest().map_or(0, |newest| newest.id.number.0);
        let kept = (newest.saturating_sub(KEPT_REVISIONS as u64)..=newest).map(RevisionNumber);
        let kept: Vec<Revision> = kept.filter_map(|number| replica.revision(number).cloned()).collect();
        for revision in kept {
            self.report_revision(index, revision);
        }
    }

    fn report_revision(&mut self, index: usize, mut revision: Revision) {
        match self.planted {
            Planted::SkipsNumber if revision.id.number.0 >= 3 => revision.id.number.0 += 1,
            Planted::ChangesContent if revision.id.number.0 == 2 => {
                revision.document.nodes_out.insert("changed".into());
            }
            _ => {}
        }
        self.checker.revision_reported(index, &revision);
    }

    fn resume(&mut self, index: usize) {
        self.machines[index].paused = false;
        for bytes in std::mem::take(&mut self.machines[index].inbox) {
            self.handle(index, Event::Message(bytes));
        }
        self.wake(index);
    }

    fn wake(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        let Some(replica) = &machine.replica else { return };
        machine.wake_number += 1;
        let (at, number) = (replica.next_timer().max(self.now), machine.wake_number);
        self.schedule_event(at, Scheduled::Wake { index, number });
    }

    fn handle(&mut self, index: usize, event: Event) {
        let machine = &mut self.machines[index];
        if machine.paused {
            return;
        }
        let Some(replica) = &mut machine.replica else { return };
        let mut actions = Vec::new();
        if replica.handle(self.now, event, &mut actions).is_err() {
            // The process ends, and its pending actions are lost.
            self.counts.crashes_at_write += 1;
            self.kill(index);
            return;
        }
        actions.into_iter().for_each(|action| self.run_action(index, action));
        self.wake(index);
    }

    fn run_action(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(index, to.0 as usize - 1, message),
            Action::Accepted(revision) => self.report_revision(index, revision),
            Action::Decided { id, outcome } => self.decide(index, id, outcome),
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
            let jitter = self.network.jitter.mul_f64(self.random.random());
            self.messages.push(message.clone());
            let message = self.messages.len() - 1;
            self.schedule_event(self.now + self.network.delay + jitter, Scheduled::Arrival { to, message });
        }
    }

    fn decide(&mut self, index: usize, id: ProposalId, outcome: Result<RevisionId, ProposalError>) {
        let Some(position) = self.proposals.iter().position(|proposal| proposal.id == id) else { return };
        let outcome = match (self.planted, outcome) {
            (Planted::KeepsSilent, _) => return,
            (Planted::TellsRefused, Ok(newest)) => Err(ProposalError::Conflict { newest }),
            (_, outcome) => outcome,
        };
        let process = self.machines[index].process;
        self.checker.decided(index, process, &self.proposals[position].author, outcome);
    }

    fn submit(&mut self, index: usize, submission: Submission) {
        if submission == Submission::Everywhere {
            (0..self.machines.len()).for_each(|index| self.submit(index, Submission::Current));
            return;
        }
        let Some(replica) = &self.machines[index].replica else { return };
        let newest = replica.newest().map_or_else(RevisionId::none, |newest| newest.id);
        let older = RevisionNumber(self.random.random_range(0..=newest.number.0));
        let older = replica.revision(older).cloned();
        let position = match submission {
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
        self.submit_proposal(index, position, MAX_RETRIES);
    }

    /// Creates a proposal, with a unique document if none is given.
    fn propose(&mut self, expected: RevisionId, document: Option<Document>) -> usize {
        let position = self.proposals.len();
        let document = document.unwrap_or_else(|| {
            let mut document = Document::default();
            document.nodes_out.insert(format!("node-{position}"));
            document
        });
        self.ids += 1;
        let id = ProposalId(self.ids);
        self.proposals.push(Proposal {
            id,
            expected,
            author: format!("client-{position}"),
            submitted_ms: 0,
            document,
        });
        self.counts.proposals += 1;
        position
    }

    /// Submits a proposal to a replica, and schedules a resubmission while any are left.
    fn submit_proposal(&mut self, index: usize, position: usize, retries_left: u32) {
        let machine = &self.machines[index];
        let Some(replica) = machine.replica.as_ref().filter(|_| !machine.paused) else { return };
        let process = machine.process;
        let newest = replica.newest().map_or_else(RevisionId::none, |newest| newest.id);
        let proposal = self.proposals[position].clone();
        self.checker.submitted(index, process, &proposal, self.now + PROPOSAL_TIMEOUT + ANSWER_SLACK);
        let mut submitted = proposal.clone();
        match self.planted {
            Planted::NoCompare => submitted.expected = newest,
            Planted::NewIds if retries_left < MAX_RETRIES => {
                self.ids += 1;
                submitted.id = ProposalId(self.ids);
                submitted.expected = newest;
            }
            Planted::TellsEarly => {
                let id = RevisionId { number: newest.number.next(), hash: submitted.document.hash() };
                self.checker.decided(index, process, &proposal.author, Ok(id));
            }
            _ => {}
        }
        self.handle(index, Event::Propose(Box::new(submitted)));
        if retries_left > 0 {
            let next = self.random.random_range(0..self.machines.len());
            let at = self.now + RETRY_DELAY.mul_f64(0.5 + 8.0 * self.random.random::<f64>());
            self.schedule_event(
                at,
                Scheduled::Retry { index: next, position, retries_left: retries_left - 1 },
            );
        }
    }

    /// Whether all replicas run, have a quorum and the same newest revision.
    fn has_agreement(&self) -> bool {
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

    /// Runs to the end of all faults and checks that the replicas agree and accept a new proposal, both before and
    /// after a restart of all.
    pub fn settle(&mut self) {
        self.run(self.schedule.over + Duration::from_millis(1));
        let mut settled = self.wait_for_agreement() && self.accepts_proposal();
        for index in 0..self.machines.len() {
            self.kill(index);
        }
        (0..self.machines.len()).for_each(|index| self.start(index));
        settled = settled && self.wait_for_agreement() && self.accepts_proposal();
        self.checker.breaches.unsettled += usize::from(!settled);
        self.run(self.now + PROPOSAL_TIMEOUT + 2 * ANSWER_SLACK);
        self.check_accepted();
        self.count();
        self.checker.finish(self.now);
    }

    fn wait_for_agreement(&mut self) -> bool {
        let end = self.now + SETTLE_TIMEOUT;
        while self.now < end {
            self.run(self.now + 5 * TICK);
            if self.has_agreement() {
                return true;
            }
        }
        false
    }

    /// Whether a new proposal is accepted everywhere. Some attempts may conflict with remaining submissions of the
    /// schedule.
    fn accepts_proposal(&mut self) -> bool {
        for _ in 0..10 {
            let index = self.random.random_range(0..self.machines.len());
            let Some(replica) = &self.machines[index].replica else { return false };
            let newest = replica.newest().map_or_else(RevisionId::none, |newest| newest.id);
            let position = self.propose(newest, None);
            self.submit_proposal(index, position, 0);
            self.run(self.now + 10 * TICK);
            let author = &self.proposals[position].author;
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

    /// Checks that every replica has the revisions that clients were told are accepted, as far as it keeps them.
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
