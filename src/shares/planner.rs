//! The planner of one partition: answers each forwarder's report with a plan that moves shares to where demand is.

use super::deal::Assignments;
use super::divide::{divide, HolderDemand};
use super::ledger::{HolderId, Ledger};
use super::{
    ForwarderId, Move, Plan, PlannerId, ProbeResult, Report, Resource, Share, Term, MAX_MOVE_DURATION,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// The time settings of a planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Duration of a grant. The grants of a crashed forwarder stay unusable for others for as long.
    pub grant: Duration,
    /// Duration of a reclaim: longer than a grant, since it has to cover grants.
    pub reclaim: Duration,
    /// A forwarder without a report for this time counts as silent.
    pub silence_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        let (grant, reclaim) = (Duration::from_millis(400), Duration::from_millis(1000));
        Settings { grant, reclaim, silence_timeout: Duration::from_millis(1000) }
    }
}

/// The smallest move: smaller ones (below 0.5 %) are not worth their bytes.
const MIN_MOVE: Share = Share(5_000);
/// Interval at which the division is computed anew for a resource with many holders.
const DIVISION_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum of forwarders in a partition; further ones keep their even shares.
const MAX_HOLDERS: usize = 4096;
/// Maximum of resources in a partition; further ones are divided evenly.
const MAX_RESOURCES: usize = 262_144;
/// Maximum of hints in a plan.
const MAX_HINTS: usize = 64;
/// Maximum of demands in a report.
pub const MAX_DEMANDS: usize = 65_536;

/// The state of one forwarder's process.
#[derive(Clone, Debug)]
struct HolderState {
    forwarder: ForwarderId,
    incarnation: u64,
    last_report: Duration,
    /// Whether its demand is ignored until the next report. Its moves stay in the ledgers until they end.
    silent: bool,
    /// The version of the newest plan sent to it.
    version: u64,
    /// The newest version that it confirmed.
    held_version: u64,
    /// Resources with a move to this process.
    moved: BTreeSet<Resource>,
    /// Resources for which it reported a demand.
    demands: Vec<Resource>,
    /// The nodes that it was last told to probe, and the version of that plan.
    probes: Option<(Vec<u64>, u64)>,
    /// Hints up to this sequence number were sent to it.
    last_hint: u64,
}

/// The state of one resource.
#[derive(Clone, Debug, Default)]
struct ResourceState {
    ledger: Ledger,
    demands: BTreeMap<HolderId, HolderDemand>,
    /// The share that each process should have, as last computed.
    shares: BTreeMap<HolderId, Share>,
    divided_at: Option<Duration>,
}

/// The planner of one partition for one period of leadership.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: Settings,
    term: Term,
    holders: BTreeMap<HolderId, HolderState>,
    by_forwarder: HashMap<ForwarderId, HolderId>,
    last_holder: HolderId,
    /// The version of the last plan to any process. Never reset within a term, so that a process that was dropped and
    /// reports again gets only later versions.
    versions: u64,
    resources: HashMap<Resource, ResourceState>,
    probes: Assignments,
    /// The last probe result of each node, its time and its sequence number.
    probe_results: BTreeMap<u64, (ProbeResult, Duration, u64)>,
    last_result_number: u64,
    last_sweep: Duration,
}

/// A move that may be lost can neither be repeated nor replaced now. No plan may be sent, since its confirmation
/// would also confirm that move.
struct UnresolvedMove;

/// The numbers of objects that a planner keeps, for its status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// Forwarders that are not silent.
    pub forwarders: usize,
    /// Resources with a demand or a move.
    pub resources: usize,
    /// Nodes of the partition.
    pub nodes: usize,
}

impl ResourceState {
    /// Computes the share that each process should have: at each report for a resource with few holders, and at
    /// [`DIVISION_INTERVAL`] for one with many.
    fn update_shares(&mut self, now: Duration) {
        let has_few_holders = self.demands.len() <= 8;
        if has_few_holders || self.divided_at.is_none_or(|at| now.saturating_sub(at) >= DIVISION_INTERVAL) {
            let shares = divide(&self.demands.values().copied().collect::<Vec<_>>());
            self.shares = self.demands.keys().copied().zip(shares).collect();
            self.divided_at = Some(now);
        }
    }
}

impl Planner {
    /// Starts a term. `nonce` must differ for each term of this planner, also after a restart. If a report shows a
    /// higher term of another planner, this one starts again with a term above it.
    pub fn new(settings: Settings, planner: PlannerId, nonce: u64) -> Self {
        Planner::with_term(settings, Term { number: 1, planner, nonce })
    }

    fn with_term(settings: Settings, term: Term) -> Self {
        Planner {
            settings,
            term,
            holders: BTreeMap::new(),
            by_forwarder: HashMap::new(),
            last_holder: 0,
            versions: 0,
            resources: HashMap::new(),
            probes: Assignments::default(),
            probe_results: BTreeMap::new(),
            last_result_number: 0,
            last_sweep: Duration::ZERO,
        }
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The numbers of forwarders, resources and nodes.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            forwarders: self.holders.values().filter(|state| !state.silent).count(),
            resources: self.resources.len(),
            nodes: self.probe_results.len(),
        }
    }

    /// Sets the nodes of the partition, as listed by discovery.
    pub fn set_nodes(&mut self, nodes: &[u64]) {
        let removed: Vec<u64> =
            self.probe_results.keys().filter(|node| !nodes.contains(node)).copied().collect();
        for node in removed {
            self.probe_results.remove(&node);
            self.probes.remove_key(node);
        }
        for node in nodes {
            self.probes.add_key(*node);
            let unprobed = ProbeResult { node: *node, response_time: None, age: Duration::ZERO };
            self.probe_results.entry(*node).or_insert((unprobed, Duration::ZERO, 0));
        }
    }

    /// Handles a report and returns the plan that answers it. `None` if the report is too long, if there are too many
    /// forwarders, or if a pending move can't be resolved yet.
    pub fn handle_report(&mut self, now: Duration, report: &Report) -> Option<Plan> {
        self.remove_silent_holders(now);
        if report.demands.len() > MAX_DEMANDS {
            return None;
        }
        if report.term.is_some_and(|term| term > self.term) {
            // Another planner led since then. Its moves stay in force besides those of the new term.
            let number = report.term.map_or(0, |term| term.number).saturating_add(1);
            let nodes: Vec<u64> = self.probe_results.keys().copied().collect();
            *self = Planner::with_term(self.settings, Term { number, ..self.term });
            self.set_nodes(&nodes);
        }
        let holder = self.holder(now, report)?;
        self.apply_report(now, holder, report);
        let state = self.holders.get_mut(&holder)?;
        self.versions += 1;
        state.version = self.versions;
        let version = state.version;
        let held_version = state.held_version;
        let mut resources: BTreeSet<Resource> = state.demands.iter().copied().collect();
        // The confirmation of this plan also confirms earlier ones, which may have been lost. So this plan repeats or
        // replaces all moves that are not confirmed yet.
        let states = &self.resources;
        let is_unconfirmed = |resource: &&Resource| {
            let newest =
                states.get(resource).and_then(|resource_state| resource_state.ledger.newest_move(holder));
            newest.is_some_and(|(version, ..)| version > held_version)
        };
        resources.extend(state.moved.iter().filter(is_unconfirmed));
        let (mut moves, mut all_resolved) = (Vec::new(), true);
        for resource in resources {
            match self.decide(now, holder, version, resource) {
                Ok(moved) => moves.extend(moved.map(|moved| (resource, moved))),
                Err(UnresolvedMove) => all_resolved = false,
            }
        }
        if !all_resolved {
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

    /// The process that sent a report, added if it is new. An earlier process of the same forwarder has ended.
    fn holder(&mut self, now: Duration, report: &Report) -> Option<HolderId> {
        let current = self.by_forwarder.get(&report.forwarder).copied();
        if let Some(holder) = current {
            match self.holders.get_mut(&holder) {
                Some(state) if state.incarnation == report.incarnation => {
                    if std::mem::replace(&mut state.silent, false) {
                        self.probes.add(report.forwarder.0);
                    }
                    return Some(holder);
                }
                // The moves of the earlier process count until they end; the new one gives nothing back until then.
                _ => self.mark_silent(holder),
            }
        }
        if self.holders.len() >= MAX_HOLDERS {
            return None;
        }
        self.last_holder += 1;
        let state = HolderState {
            forwarder: report.forwarder,
            incarnation: report.incarnation,
            last_report: now,
            silent: false,
            version: 0,
            held_version: 0,
            moved: BTreeSet::new(),
            demands: Vec::new(),
            probes: None,
            last_hint: 0,
        };
        self.holders.insert(self.last_holder, state);
        self.by_forwarder.insert(report.forwarder, self.last_holder);
        self.probes.add(report.forwarder.0);
        Some(self.last_holder)
    }

    /// Updates the confirmed version, the demands and the probe results from a report.
    fn apply_report(&mut self, now: Duration, holder: HolderId, report: &Report) {
        let Some(state) = self.holders.get_mut(&holder) else { return };
        state.last_report = now;
        if report.term == Some(self.term)
            && report.held_version > state.held_version
            && report.held_version <= state.version
        {
            state.held_version = report.held_version;
            for resource in &state.moved {
                if let Some(resource_state) = self.resources.get_mut(resource) {
                    let refused = report.refused.contains(resource);
                    resource_state.ledger.confirm(now, holder, report.held_version, refused);
                }
            }
        }
        let demands: Vec<Resource> = report.demands.iter().map(|demand| demand.resource).collect();
        let before = std::mem::replace(&mut state.demands, demands);
        for resource in before {
            if !report.demands.iter().any(|demand| demand.resource == resource) {
                self.remove_demand(holder, resource);
            }
        }
        for demand in &report.demands {
            if self.resources.len() >= MAX_RESOURCES && !self.resources.contains_key(&demand.resource) {
                continue;
            }
            let resource_state = self.resources.entry(demand.resource).or_default();
            let holder_demand = HolderDemand {
                even_share: demand.even_share,
                wanted: f64::from(demand.wanted),
                gives_back: report.gives_back,
            };
            if resource_state.demands.insert(holder, holder_demand).is_none() {
                resource_state.divided_at = None;
            }
        }
        for probed in &report.probe_results {
            if let Some(last_result) = self.probe_results.get_mut(&probed.node) {
                let at = now.saturating_sub(probed.age);
                if at >= last_result.1 {
                    self.last_result_number += 1;
                    *last_result = (*probed, at, self.last_result_number);
                }
            }
        }
    }

    /// The move to send to a holder for a resource, if any.
    fn decide(
        &mut self,
        now: Duration,
        holder: HolderId,
        version: u64,
        resource: Resource,
    ) -> Result<Option<Move>, UnresolvedMove> {
        let Settings { grant, reclaim, .. } = self.settings;
        let (Some(resource_state), Some(state)) =
            (self.resources.get_mut(&resource), self.holders.get_mut(&holder))
        else {
            return Ok(None);
        };
        resource_state.update_shares(now);
        let reported_even_share = resource_state.demands.get(&holder).map(|demand| demand.even_share);
        // A process without a demand returns to its share without a planner.
        let even_share = reported_even_share.unwrap_or_default();
        let target_share = resource_state
            .shares
            .get(&holder)
            .copied()
            .filter(|_| reported_even_share.is_some())
            .unwrap_or(even_share);
        let ledger = &mut resource_state.ledger;
        ledger.drop_expired(now);
        let newest = ledger.newest_move(holder);
        let is_held = newest.is_none_or(|(version, ..)| version <= state.held_version);
        let reclaimed = ledger.bounds(now, holder).0;
        let moved = if target_share < even_share.minus(MIN_MOVE) {
            let share = even_share.minus(target_share);
            // A similar reclaim that lasts long enough is not repeated.
            let similar = |other: Share| share.0.abs_diff(other.0) < MIN_MOVE.0;
            let lasts = |until: Duration| until > now + reclaim * 7 / 10;
            if matches!(newest, Some((_, Move::Reclaim(other, _), until)) if is_held && similar(other) && lasts(until))
            {
                return Ok(None);
            }
            // A smaller reclaim may not cover grants that are still in force; then the present one is continued.
            let sent = [share, share.max(reclaimed)];
            let sent = sent.into_iter().find(|share| ledger.reclaim(now, holder, version, *share, reclaim));
            sent.map(|share| Move::Reclaim(share, reclaim))
        } else {
            let share = target_share.minus(even_share).min(ledger.max_grant(now, holder, (now, grant)));
            let share = if share < MIN_MOVE { Share::NONE } else { share };
            let gives_back = matches!(newest, Some((_, Move::Reclaim(..), until)) if until > now);
            if share == Share::NONE && !gives_back && is_held {
                return Ok(None);
            }
            if ledger.grant(now, holder, version, share, (now, grant)) {
                Some(Move::Grant(share, grant))
            } else {
                // Its reclaimed share may still cover a grant, so the reclaim is continued until that has ended.
                let kept = ledger.reclaim(now, holder, version, reclaimed, reclaim);
                kept.then_some(Move::Reclaim(reclaimed, reclaim))
            }
        };
        if moved.is_some() {
            state.moved.insert(resource);
        }
        if moved.is_none() && !is_held {
            return Err(UnresolvedMove);
        }
        Ok(moved)
    }

    fn probes_for(&mut self, holder: HolderId, version: u64) -> Option<Vec<u64>> {
        let state = self.holders.get_mut(&holder)?;
        let probes = self.probes.keys_of(state.forwarder.0);
        match &state.probes {
            Some((previous, since_version)) if previous == probes && *since_version <= state.held_version => {
                return None
            }
            _ => {}
        }
        // Repeated until the process confirms a plan with it.
        state.probes = Some((probes.to_vec(), version));
        Some(probes.to_vec())
    }

    fn hints_for(&mut self, now: Duration, holder: HolderId) -> Vec<ProbeResult> {
        let Some(state) = self.holders.get_mut(&holder) else { return Vec::new() };
        let own = self.probes.keys_of(state.forwarder.0);
        let mut hints: Vec<(u64, ProbeResult)> = Vec::new();
        for (node, (probed, at, number)) in &self.probe_results {
            if *number > state.last_hint && own.binary_search(node).is_err() {
                hints.push((*number, ProbeResult { age: now.saturating_sub(*at), ..*probed }));
            }
        }
        hints.sort_by_key(|(number, _)| *number);
        hints.truncate(MAX_HINTS);
        state.last_hint =
            hints.last().map_or(state.last_hint.max(self.last_result_number), |(number, _)| *number);
        hints.into_iter().map(|(_, probed)| probed).collect()
    }

    /// Marks silent forwarders, and drops processes, resources and moves that have ended.
    fn remove_silent_holders(&mut self, now: Duration) {
        if now.saturating_sub(self.last_sweep) < self.settings.silence_timeout / 4 {
            return;
        }
        self.last_sweep = now;
        let silent_for = |state: &HolderState| now.saturating_sub(state.last_report);
        let silent =
            |state: &&HolderState| !state.silent && silent_for(state) > self.settings.silence_timeout;
        let of = |state: &HolderState| self.by_forwarder.get(&state.forwarder).copied();
        let newly_silent: Vec<HolderId> = self.holders.values().filter(silent).filter_map(of).collect();
        for holder in newly_silent {
            self.mark_silent(holder);
        }
        // A process that reports again before this is continued, so that a new move replaces the earlier one. Twice the
        // longest move leaves a margin for clock drift.
        let ended: Vec<HolderId> = self
            .holders
            .iter()
            .filter(|(_, state)| state.silent && silent_for(state) > MAX_MOVE_DURATION * 2)
            .map(|(holder, _)| *holder)
            .collect();
        for holder in ended {
            if let Some(state) = self.holders.remove(&holder) {
                self.by_forwarder.retain(|forwarder, of| *forwarder != state.forwarder || *of != holder);
            }
        }
        self.resources.retain(|_, resource_state| {
            resource_state.ledger.drop_expired(now);
            !resource_state.demands.is_empty() || !resource_state.ledger.is_empty()
        });
        let states = &self.resources;
        for state in self.holders.values_mut() {
            state.moved.retain(|resource| {
                states.get(resource).is_some_and(|resource_state| !resource_state.ledger.is_empty())
            });
        }
    }

    /// Marks a process as silent: its demand is ignored, and its nodes are probed by others.
    fn mark_silent(&mut self, holder: HolderId) {
        let Some(state) = self.holders.get_mut(&holder) else { return };
        state.silent = true;
        let (forwarder, demands) = (state.forwarder, std::mem::take(&mut state.demands));
        self.probes.remove(forwarder.0);
        for resource in demands {
            self.remove_demand(holder, resource);
        }
    }

    fn remove_demand(&mut self, holder: HolderId, resource: Resource) {
        if let Some(resource_state) = self.resources.get_mut(&resource) {
            resource_state.demands.remove(&holder);
            resource_state.divided_at = None;
        }
    }
}

#[cfg(test)]
mod tests;
