//! The ledger of one planner's moves of one resource, which tells what it may still move.
//!
//! For each forwarder the planner knows the moves that it sent and the newest one that the forwarder confirmed. Any
//! move sent since then may be in force now, later, or never. So the ledger counts the smallest reclaim with the
//! shortest time, and the greatest grant with the longest time. A move is allowed only if, at every time from now on,
//! the certain reclaims cover the possible grants. Times are on the planner's clock, with a margin for clock drift at
//! both ends.
//!
//! The sums over all forwarders are kept by time slots, so that the cost of a move does not depend on the number of
//! forwarders; docs/planners.md has measurements against computing the sums anew.

use super::{Move, Share, CLOCK_DRIFT_DIVISOR, MAX_MOVE_DURATION};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum of moves to one forwarder that may be in force. A forwarder that confirms none of them gets no more.
const MAX_PENDING_MOVES: usize = 32;

/// Length of a time slot. A reclaim counts only in slots that it covers completely, a grant in all that it touches.
const SLOT_DURATION: Duration = Duration::from_millis(20);
/// Number of slots, which cover more than the longest move with its margins.
const SLOT_COUNT: usize = 260;

/// A move that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SentMove {
    version: u64,
    kind: MoveKind,
    /// The earliest end of a reclaim, or the latest end of a grant.
    until: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MoveKind {
    Reclaimed(Share),
    Granted(Share),
}

/// The moves sent to one forwarder's process.
#[derive(Clone, Debug, Default)]
struct Account {
    /// In order of versions; all but the first are newer than the confirmed version.
    sent: Vec<SentMove>,
    /// The newest version that the process confirmed. Nothing is certain before the first confirmation.
    confirmed_version: Option<u64>,
}

impl Account {
    /// The share that the process certainly does not use at any time in `from..to`.
    fn certain_reclaim(&self, from: Duration, to: Duration) -> Share {
        // Before it confirms one of these moves, it may have none in force, or one that was dropped here.
        let is_confirmed = self
            .sent
            .first()
            .is_some_and(|first| self.confirmed_version.is_some_and(|confirmed| confirmed >= first.version));
        if !is_confirmed {
            return Share::NONE;
        }
        let reclaimed = |sent: &SentMove| match sent.kind {
            MoveKind::Reclaimed(share) if from < sent.until && to <= sent.until => share,
            _ => Share::NONE,
        };
        self.sent.iter().map(reclaimed).min().unwrap_or_default()
    }

    /// The greatest share that the process may use in addition to its even share at a time.
    fn max_possible_grant(&self, at: Duration) -> Share {
        let granted = |sent: &SentMove| match sent.kind {
            MoveKind::Granted(share) if at < sent.until => share,
            _ => Share::NONE,
        };
        self.sent.iter().map(granted).max().unwrap_or_default()
    }

    /// The certain reclaim minus the possible grant in a slot.
    fn balance(&self, slot_number: u64) -> i32 {
        let (from, to) = (SLOT_DURATION * slot_number as u32, SLOT_DURATION * (slot_number + 1) as u32);
        self.certain_reclaim(from, to).0 as i32 - self.max_possible_grant(from).0 as i32
    }

    fn ends(&self) -> impl Iterator<Item = Duration> + '_ {
        self.sent.iter().map(|sent| sent.until)
    }
}

/// Identifies a forwarder's process; the planner never reuses a number.
pub type HolderId = usize;

/// The sum of certain reclaims minus possible grants, in each slot from the current one on.
#[derive(Clone, Debug, Default)]
struct Coverage {
    /// The number of the current slot. The sum of a slot is at its number modulo [`SLOT_COUNT`].
    first: u64,
    sums: Vec<i32>,
}

impl Coverage {
    /// Moves on to the current slot and clears those before it.
    fn advance(&mut self, now: Duration) {
        let current = slot_at(now);
        if self.sums.is_empty() {
            self.sums = vec![0; SLOT_COUNT];
        }
        for expired in self.first..current.min(self.first + SLOT_COUNT as u64) {
            self.sums[(expired % SLOT_COUNT as u64) as usize] = 0;
        }
        self.first = self.first.max(current);
    }

    /// Adds the balance of an account to each slot; with a `sign` of -1 subtracts it.
    fn add(&mut self, account: &Account, sign: i32) {
        let last = account.ends().map(slot_at).max().unwrap_or(0).min(self.first + SLOT_COUNT as u64 - 1);
        for slot_number in self.first..=last.max(self.first) {
            self.sums[(slot_number % SLOT_COUNT as u64) as usize] += sign * account.balance(slot_number);
        }
    }

    /// The smallest sum from the current slot to slot `until`, both included, without the balance of the `excluded`
    /// account.
    fn min_sum(&self, until: u64, excluded: Option<&Account>) -> i32 {
        let last = until.min(self.first + SLOT_COUNT as u64 - 1);
        let sum = |slot_number: u64| {
            let own = excluded.map_or(0, |account| account.balance(slot_number));
            self.sums[(slot_number % SLOT_COUNT as u64) as usize] - own
        };
        (self.first..=last.max(self.first)).map(sum).min().unwrap_or(0)
    }
}

fn slot_at(at: Duration) -> u64 {
    (at.as_nanos() / SLOT_DURATION.as_nanos()) as u64
}

/// One planner's moves of one resource.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<HolderId, Account>,
    coverage: Coverage,
}

impl Ledger {
    /// Records a reclaim from a holder, sent now and in force from when the holder receives it. False if grants would
    /// no longer be covered, or if too many moves are pending; then nothing is recorded, and the move must not be
    /// sent.
    pub fn reclaim(
        &mut self,
        now: Duration,
        holder: HolderId,
        version: u64,
        share: Share,
        duration: Duration,
    ) -> bool {
        let duration = duration.min(MAX_MOVE_DURATION);
        // The holder's clock may run fast and the planner's slow, so that the reclaim ends early by the planner's
        // clock.
        let until = now + duration - duration * 2 / CLOCK_DRIFT_DIVISOR;
        self.record(now, holder, SentMove { version, kind: MoveKind::Reclaimed(share), until })
    }

    /// Records a grant to a holder, whose duration starts with the report received at `reported_at`. False as for
    /// [`Ledger::reclaim`].
    pub fn grant(
        &mut self,
        now: Duration,
        holder: HolderId,
        version: u64,
        share: Share,
        (reported_at, duration): (Duration, Duration),
    ) -> bool {
        let until = grant_end(reported_at, duration);
        self.record(now, holder, SentMove { version, kind: MoveKind::Granted(share), until })
    }

    /// The greatest share that can be granted to a holder now. The grant replaces the holder's earlier moves.
    pub fn max_grant(
        &mut self,
        now: Duration,
        holder: HolderId,
        (reported_at, duration): (Duration, Duration),
    ) -> Share {
        self.coverage.advance(now);
        let until = slot_at(grant_end(reported_at, duration));
        Share(u32::try_from(self.coverage.min_sum(until, self.accounts.get(&holder))).unwrap_or(0))
    }

    /// Records that a holder has this version of the plans. The newest move up to that version is in force there,
    /// unless it was refused.
    pub fn confirm(&mut self, now: Duration, holder: HolderId, version: u64, refused: bool) {
        let Some(account) = self.accounts.get_mut(&holder) else { return };
        if account.confirmed_version.is_some_and(|confirmed| confirmed >= version) {
            return;
        }
        self.coverage.advance(now);
        self.coverage.add(account, -1);
        account.confirmed_version = Some(version);
        if let Some(newest_confirmed) = account.sent.iter().rposition(|sent| sent.version <= version) {
            account.sent.drain(..newest_confirmed);
            let first = &mut account.sent[0];
            // A refused reclaim counts as none.
            if refused && matches!(first.kind, MoveKind::Reclaimed(_)) {
                first.kind = MoveKind::Reclaimed(Share::NONE);
            }
        }
        self.coverage.add(account, 1);
    }

    /// Whether no move is in force or pending.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// The certain reclaim from a holder and the greatest possible grant to it, as of now.
    pub fn bounds(&self, now: Duration, holder: HolderId) -> (Share, Share) {
        let account = self.accounts.get(&holder);
        account.map_or((Share::NONE, Share::NONE), |account| {
            (account.certain_reclaim(now, now), account.max_possible_grant(now))
        })
    }

    /// The newest move sent to a holder: its version, the move with a zero duration, and when it ends.
    pub fn newest_move(&self, holder: HolderId) -> Option<(u64, Move, Duration)> {
        let sent = self.accounts.get(&holder)?.sent.last()?;
        let kind = match sent.kind {
            MoveKind::Reclaimed(share) => Move::Reclaim(share, Duration::ZERO),
            MoveKind::Granted(share) => Move::Grant(share, Duration::ZERO),
        };
        Some((sent.version, kind, sent.until))
    }

    /// Drops accounts whose moves have all ended.
    pub fn drop_expired(&mut self, now: Duration) {
        self.coverage.advance(now);
        let coverage = &mut self.coverage;
        self.accounts.retain(|_, account| {
            let is_active = account.ends().any(|until| until > now);
            if !is_active {
                coverage.add(account, -1);
            }
            is_active
        });
        if self.accounts.is_empty() {
            // Most resources have no moves, so the memory for sums is released.
            self.coverage.sums = Vec::new();
        }
    }

    /// Whether certain reclaims cover possible grants at every time from now on. This is the invariant of the ledger.
    pub fn is_covered(&mut self, now: Duration) -> bool {
        self.coverage.advance(now);
        self.coverage.min_sum(u64::MAX, None) >= 0
    }

    fn record(&mut self, now: Duration, holder: HolderId, sent: SentMove) -> bool {
        self.coverage.advance(now);
        let account = self.accounts.entry(holder).or_default();
        // Bounds the memory for a forwarder that reports but never confirms a plan.
        if account.sent.len() < MAX_PENDING_MOVES {
            self.coverage.add(account, -1);
            account.sent.push(sent);
            self.coverage.add(account, 1);
            if self.coverage.min_sum(u64::MAX, None) >= 0 {
                return true;
            }
            self.coverage.add(account, -1);
            account.sent.pop();
            self.coverage.add(account, 1);
        }
        if account.sent.is_empty() {
            self.accounts.remove(&holder);
        }
        false
    }
}

/// The latest end, on the planner's clock, of a grant that starts with a report received at `reported_at`: the holder's
/// clock may run slow and the planner's fast, which is a little more than 2 % together.
fn grant_end(reported_at: Duration, duration: Duration) -> Duration {
    let duration = duration.min(MAX_MOVE_DURATION);
    reported_at + duration + duration * 3 / CLOCK_DRIFT_DIVISOR
}

#[cfg(test)]
mod tests;
