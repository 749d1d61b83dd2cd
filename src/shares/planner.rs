//! A planner in charge of one partition: takes reports, answers each with a plan.

use super::deal::Assignments;
use super::divide::{divide, HolderDemand};
use super::ledger::{HolderId, Ledger};
use super::{
    ForwarderId, Move, Plan, PlannerId, ProbeResult, Report, Resource, Share, Term, MAX_MOVE_DURATION,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// What a planner goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a grant lasts. A machine that dies keeps its grants from others for as long.
    pub grant: Duration,
    /// How long a reclaim lasts: longer, since it has to cover a grant.
    pub reclaim: Duration,
    /// A forwarder that says nothing for so long is gone.
    pub silence_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        let (grant, reclaim) = (Duration::from_millis(400), Duration::from_millis(1000));
        Settings { grant, reclaim, silence_timeout: Duration::from_millis(1000) }
    }
}

/// A smaller move is not worth its bytes: half a hundredth.
const LEAST: Share = Share(5_000);
/// What is to have which part is reckoned anew this often, for a resource that many share.
const RECKONED: Duration = Duration::from_millis(20);
/// Forwarders, resources and nodes that one partition bears; what comes beyond goes by even parts.
const MOST_HOLDERS: usize = 4096;
/// Likewise.
const MOST_RESOURCES: usize = 262_144;
/// Hints that one plan carries.
const MOST_HINTS: usize = 64;
/// Demands that one report may make.
pub const MAX_DEMANDS: usize = 65_536;

/// One forwarder's process.
#[derive(Clone, Debug)]
struct Known {
    forwarder: ForwarderId,
    incarnation: u64,
    heard: Duration,
    /// It counts for nothing until it is heard of again; what it holds is remembered until that has ended.
    silent: bool,
    /// The newest plan sent to it.
    version: u64,
    /// The newest one that it holds.
    held_version: u64,
    /// Resources in which something was moved.
    moved: BTreeSet<Resource>,
    /// Resources that it has a demand for.
    wants: Vec<Resource>,
    /// Nodes that it was told to probe, and with which plan.
    probes: Option<(Vec<u64>, u64)>,
    /// Hints up to this number were sent to it.
    hinted: u64,
}

/// One resource.
#[derive(Clone, Debug, Default)]
struct Shared {
    ledger: Ledger,
    wants: BTreeMap<HolderId, HolderDemand>,
    /// Who is to have which part, as reckoned then.
    parts: BTreeMap<HolderId, Share>,
    reckoned: Option<Duration>,
}

/// The planner of one partition, from when it takes charge until it does not.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: Settings,
    term: Term,
    holders: BTreeMap<HolderId, Known>,
    by_forwarder: HashMap<ForwarderId, HolderId>,
    last_holder: HolderId,
    /// Plans sent: never counted anew within a term, also not for one that was forgotten meanwhile.
    versions: u64,
    shared: HashMap<Resource, Shared>,
    probes: Assignments,
    /// What was seen of each node last, when, and the number of that news.
    seen: BTreeMap<u64, (ProbeResult, Duration, u64)>,
    news: u64,
    swept: Duration,
}

/// A move that may be lost could neither be sent again nor be replaced: no plan may follow it for now.
struct Unsettled;

/// What there is of each kind, for the planner's status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// Forwarders heard of.
    pub forwarders: usize,
    /// Resources with a demand or a move.
    pub resources: usize,
    /// Nodes that are probed.
    pub nodes: usize,
}

impl Shared {
    /// Reckons who is to have which part. What two share is reckoned with each report, what a thousand do now and then.
    fn reckon(&mut self, now: Duration) {
        let few = self.wants.len() <= 8;
        if few || self.reckoned.is_none_or(|at| now.saturating_sub(at) >= RECKONED) {
            let parts = divide(&self.wants.values().copied().collect::<Vec<_>>());
            self.parts = self.wants.keys().copied().zip(parts).collect();
            self.reckoned = Some(now);
        }
    }
}

impl Planner {
    /// Takes charge. `charge` is another at each time this planner does, also after a restart; terms of others that it
    /// hears of in reports make it begin anew beyond them.
    pub fn new(settings: Settings, planner: PlannerId, nonce: u64) -> Self {
        Planner::beyond(settings, Term { number: 1, planner, nonce })
    }

    fn beyond(settings: Settings, term: Term) -> Self {
        Planner {
            settings,
            term,
            holders: BTreeMap::new(),
            by_forwarder: HashMap::new(),
            last_holder: 0,
            versions: 0,
            shared: HashMap::new(),
            probes: Assignments::default(),
            seen: BTreeMap::new(),
            news: 0,
            swept: Duration::ZERO,
        }
    }

    /// Its time in charge.
    pub fn term(&self) -> Term {
        self.term
    }

    /// What there is.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            forwarders: self.holders.values().filter(|known| !known.silent).count(),
            resources: self.shared.len(),
            nodes: self.seen.len(),
        }
    }

    /// The nodes of the partition, as discovery lists them now.
    pub fn set_nodes(&mut self, nodes: &[u64]) {
        let gone: Vec<u64> = self.seen.keys().filter(|node| !nodes.contains(node)).copied().collect();
        for node in gone {
            self.seen.remove(&node);
            self.probes.remove_key(node);
        }
        for node in nodes {
            self.probes.add_key(*node);
            let unseen = ProbeResult { node: *node, response_time: None, age: Duration::ZERO };
            self.seen.entry(*node).or_insert((unseen, Duration::ZERO, 0));
        }
    }

    /// Takes a report and answers it. Nothing comes of one that no forwarder writes, or where there is no room.
    pub fn handle_report(&mut self, now: Duration, report: &Report) -> Option<Plan> {
        self.sweep(now);
        if report.demands.len() > MAX_DEMANDS {
            return None;
        }
        if report.term.is_some_and(|term| term > self.term) {
            // Somebody was in charge since: what it moved stands beside what is moved from here on.
            let number = report.term.map_or(0, |term| term.number).saturating_add(1);
            let nodes: Vec<u64> = self.seen.keys().copied().collect();
            *self = Planner::beyond(self.settings, Term { number, ..self.term });
            self.set_nodes(&nodes);
        }
        let holder = self.holder(now, report)?;
        self.learn(now, holder, report);
        let known = self.holders.get_mut(&holder)?;
        self.versions += 1;
        known.version = self.versions;
        let version = known.version;
        let held_version = known.held_version;
        let mut resources: BTreeSet<Resource> = known.wants.iter().copied().collect();
        // A plan that is lost must not be taken for held once the next one is: what it moved is moved again until then.
        let shared = &self.shared;
        let unheld = |resource: &&Resource| {
            let newest = shared.get(resource).and_then(|shared| shared.ledger.newest_move(holder));
            newest.is_some_and(|(version, ..)| version > held_version)
        };
        resources.extend(known.moved.iter().filter(unheld));
        let (mut moves, mut whole) = (Vec::new(), true);
        for resource in resources {
            match self.decide(now, holder, version, resource) {
                Ok(moved) => moves.extend(moved.map(|moved| (resource, moved))),
                Err(Unsettled) => whole = false,
            }
        }
        if !whole {
            return None;
        }
        let (probes, hints) = (self.probes_for(holder, version), self.hints_for(now, holder));
        Some(Plan {
            term: self.term,
            incarnation: report.incarnation,
            version,
            answers_report: report.number,
            moves,
            probes,
            hints,
        })
    }

    /// The process that a report comes from; an earlier one of the same forwarder has ended.
    fn holder(&mut self, now: Duration, report: &Report) -> Option<HolderId> {
        let known = self.by_forwarder.get(&report.forwarder).copied();
        if let Some(holder) = known {
            match self.holders.get_mut(&holder) {
                Some(known) if known.incarnation == report.incarnation => {
                    if std::mem::replace(&mut known.silent, false) {
                        self.probes.add(report.forwarder.0);
                    }
                    return Some(holder);
                }
                // Its moves count to their ends: the new process gives back nothing until then.
                _ => self.fall_silent(holder),
            }
        }
        if self.holders.len() >= MOST_HOLDERS {
            return None;
        }
        self.last_holder += 1;
        let known = Known {
            forwarder: report.forwarder,
            incarnation: report.incarnation,
            heard: now,
            silent: false,
            version: 0,
            held_version: 0,
            moved: BTreeSet::new(),
            wants: Vec::new(),
            probes: None,
            hinted: 0,
        };
        self.holders.insert(self.last_holder, known);
        self.by_forwarder.insert(report.forwarder, self.last_holder);
        self.probes.add(report.forwarder.0);
        Some(self.last_holder)
    }

    /// Takes in what a report says.
    fn learn(&mut self, now: Duration, holder: HolderId, report: &Report) {
        let Some(known) = self.holders.get_mut(&holder) else { return };
        known.heard = now;
        if report.term == Some(self.term)
            && report.held_version > known.held_version
            && report.held_version <= known.version
        {
            known.held_version = report.held_version;
            for resource in &known.moved {
                if let Some(shared) = self.shared.get_mut(resource) {
                    let refused = report.refused.contains(resource);
                    shared.ledger.confirm(now, holder, report.held_version, refused);
                }
            }
        }
        let wants: Vec<Resource> = report.demands.iter().map(|demand| demand.resource).collect();
        let before = std::mem::replace(&mut known.wants, wants);
        for resource in before {
            if !report.demands.iter().any(|demand| demand.resource == resource) {
                self.forget_wants(holder, resource);
            }
        }
        for demand in &report.demands {
            if self.shared.len() >= MOST_RESOURCES && !self.shared.contains_key(&demand.resource) {
                continue;
            }
            let shared = self.shared.entry(demand.resource).or_default();
            let wants = HolderDemand {
                even_share: demand.even_share,
                wanted: f64::from(demand.wanted),
                gives_back: report.gives_back,
            };
            if shared.wants.insert(holder, wants).is_none() {
                shared.reckoned = None;
            }
        }
        for probed in &report.probe_results {
            if let Some(seen) = self.seen.get_mut(&probed.node) {
                let at = now.saturating_sub(probed.age);
                if at >= seen.1 {
                    self.news += 1;
                    *seen = (*probed, at, self.news);
                }
            }
        }
    }

    /// What is to change for a holder in a resource, if anything.
    fn decide(
        &mut self,
        now: Duration,
        holder: HolderId,
        version: u64,
        resource: Resource,
    ) -> Result<Option<Move>, Unsettled> {
        let Settings { grant, reclaim, .. } = self.settings;
        let (Some(shared), Some(known)) = (self.shared.get_mut(&resource), self.holders.get_mut(&holder))
        else {
            return Ok(None);
        };
        shared.reckon(now);
        let wants = shared.wants.get(&holder).map(|wants| wants.even_share);
        // One that wants nothing any more is to have what it has without a planner.
        let even_share = wants.unwrap_or_default();
        let to_have = shared.parts.get(&holder).copied().filter(|_| wants.is_some()).unwrap_or(even_share);
        let ledger = &mut shared.ledger;
        ledger.drop_expired(now);
        let newest = ledger.newest_move(holder);
        let is_held = newest.is_none_or(|(version, ..)| version <= known.held_version);
        let reclaimed = ledger.bounds(now, holder).0;
        let moved = if to_have < even_share.minus(LEAST) {
            let part = even_share.minus(to_have);
            // One that is as it should be, and lasts, is not sent again.
            let near = |other: Share| part.0.abs_diff(other.0) < LEAST.0;
            let lasts = |until: Duration| until > now + reclaim * 7 / 10;
            if matches!(newest, Some((_, Move::Reclaim(other, _), until)) if is_held && near(other) && lasts(until))
            {
                return Ok(None);
            }
            // What was granted of it is waited for: until then as much is reclaimed on.
            let sent = [part, part.max(reclaimed)];
            let sent = sent.into_iter().find(|part| ledger.reclaim(now, holder, version, *part, reclaim));
            sent.map(|part| Move::Reclaim(part, reclaim))
        } else {
            let part = to_have.minus(even_share).min(ledger.max_grant(now, holder, (now, grant)));
            let part = if part < LEAST { Share::NONE } else { part };
            let gives_back = matches!(newest, Some((_, Move::Reclaim(..), until)) if until > now);
            if part == Share::NONE && !gives_back && is_held {
                return Ok(None);
            }
            if ledger.grant(now, holder, version, part, (now, grant)) {
                Some(Move::Grant(part, grant))
            } else {
                // What was granted of its own is waited for.
                let kept = ledger.reclaim(now, holder, version, reclaimed, reclaim);
                kept.then_some(Move::Reclaim(reclaimed, reclaim))
            }
        };
        if moved.is_some() {
            known.moved.insert(resource);
        }
        if moved.is_none() && !is_held {
            return Err(Unsettled);
        }
        Ok(moved)
    }

    fn probes_for(&mut self, holder: HolderId, version: u64) -> Option<Vec<u64>> {
        let known = self.holders.get_mut(&holder)?;
        let probes = self.probes.keys_of(known.forwarder.0);
        match &known.probes {
            Some((told, with)) if told == probes && *with <= known.held_version => return None,
            _ => {}
        }
        // Told again until it is known to hold it.
        known.probes = Some((probes.to_vec(), version));
        Some(probes.to_vec())
    }

    fn hints_for(&mut self, now: Duration, holder: HolderId) -> Vec<ProbeResult> {
        let Some(known) = self.holders.get_mut(&holder) else { return Vec::new() };
        let own = self.probes.keys_of(known.forwarder.0);
        let mut news: Vec<(u64, ProbeResult)> = Vec::new();
        for (node, (probed, at, number)) in &self.seen {
            if *number > known.hinted && own.binary_search(node).is_err() {
                news.push((*number, ProbeResult { age: now.saturating_sub(*at), ..*probed }));
            }
        }
        news.sort_by_key(|(number, _)| *number);
        news.truncate(MOST_HINTS);
        known.hinted = news.last().map_or(known.hinted.max(self.news), |(number, _)| *number);
        news.into_iter().map(|(_, probed)| probed).collect()
    }

    /// Leaves forwarders out that are silent, and forgets what has ended.
    fn sweep(&mut self, now: Duration) {
        if now.saturating_sub(self.swept) < self.settings.silence_timeout / 4 {
            return;
        }
        self.swept = now;
        let silent_for = |known: &Known| now.saturating_sub(known.heard);
        let silent = |known: &&Known| !known.silent && silent_for(known) > self.settings.silence_timeout;
        let of = |known: &Known| self.by_forwarder.get(&known.forwarder).copied();
        let gone: Vec<HolderId> = self.holders.values().filter(silent).filter_map(of).collect();
        for holder in gone {
            self.fall_silent(holder);
        }
        // One that is heard of again within this goes on as the same: a move to it replaces the one before. The clocks
        // may run apart, so that twice the longest move is waited for.
        let ended: Vec<HolderId> = self
            .holders
            .iter()
            .filter(|(_, known)| known.silent && silent_for(known) > MAX_MOVE_DURATION * 2)
            .map(|(holder, _)| *holder)
            .collect();
        for holder in ended {
            if let Some(known) = self.holders.remove(&holder) {
                self.by_forwarder.retain(|forwarder, of| *forwarder != known.forwarder || *of != holder);
            }
        }
        self.shared.retain(|_, shared| {
            shared.ledger.drop_expired(now);
            !shared.wants.is_empty() || !shared.ledger.is_empty()
        });
        let shared = &self.shared;
        for known in self.holders.values_mut() {
            known
                .moved
                .retain(|resource| shared.get(resource).is_some_and(|shared| !shared.ledger.is_empty()));
        }
    }

    /// A forwarder's process counts for nothing for now: not for demand, nor for probes.
    fn fall_silent(&mut self, holder: HolderId) {
        let Some(known) = self.holders.get_mut(&holder) else { return };
        known.silent = true;
        let (forwarder, wants) = (known.forwarder, std::mem::take(&mut known.wants));
        self.probes.remove(forwarder.0);
        for resource in wants {
            self.forget_wants(holder, resource);
        }
    }

    fn forget_wants(&mut self, holder: HolderId, resource: Resource) {
        if let Some(shared) = self.shared.get_mut(&resource) {
            shared.wants.remove(&holder);
            shared.reckoned = None;
        }
    }
}

#[cfg(test)]
mod tests;
