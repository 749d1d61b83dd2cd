//! What one planner has moved of one resource, and what it may move on.
//!
//! The planner knows of each forwarder which moves it sent and the newest one that the forwarder holds. Any move sent
//! since may be in force instead, or soon, or never. So of what was reclaimed only the least counts, for the shortest time;
//! of what was granted the most, for the longest. A move is made only if, at every time from now on, what was reclaimed for
//! certain covers what may be granted. Times are the planner's; each end keeps a margin for clocks that run apart.
//!
//! The sums over all forwarders are kept by slots of time, so that a move costs the same for three forwarders and for a
//! thousand: docs/planners.md has it measured against summing them up anew.

use super::{Move, Share, CLOCK_DRIFT_DIVISOR, MAX_MOVE_DURATION};
use std::collections::BTreeMap;
use std::time::Duration;

/// Moves to one forwarder that may be in force. A forwarder that hears nothing for longer gets no new ones.
const MOST_OPEN: usize = 32;

/// Sums are kept for as much time at once. A reclaim counts only in slots that it fills, a grant in all it touches.
const SLOT: Duration = Duration::from_millis(20);
/// Slots that are kept: more than the longest move with its margins.
const SLOTS: usize = 260;

/// A move as the planner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sent {
    version: u64,
    moved: Moved,
    /// A reclaim certainly holds until then, a grant possibly does.
    until: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moved {
    Reclaimed(Share),
    Granted(Share),
}

/// What was moved to or from one forwarder's process.
#[derive(Clone, Debug, Default)]
struct Account {
    /// By version; all but the first are newer than what it holds.
    sent: Vec<Sent>,
    /// The newest version it holds. Nothing is certain before it holds any.
    held: Option<u64>,
}

impl Account {
    /// The part that it leaves alone for certain from one time until before another.
    fn certain(&self, from: Duration, to: Duration) -> Share {
        // Before it holds one of these it may have nothing in force, or what was forgotten here.
        let holds_one =
            self.sent.first().is_some_and(|first| self.held.is_some_and(|held| held >= first.version));
        if !holds_one {
            return Share::NONE;
        }
        let reclaimed = |sent: &Sent| match sent.moved {
            Moved::Reclaimed(part) if from < sent.until && to <= sent.until => part,
            _ => Share::NONE,
        };
        self.sent.iter().map(reclaimed).min().unwrap_or_default()
    }

    /// The part that it may use besides its own at a time, at the most.
    fn possible(&self, at: Duration) -> Share {
        let granted = |sent: &Sent| match sent.moved {
            Moved::Granted(part) if at < sent.until => part,
            _ => Share::NONE,
        };
        self.sent.iter().map(granted).max().unwrap_or_default()
    }

    /// What it gives less what it takes in a slot.
    fn balance(&self, number: u64) -> i32 {
        let (from, to) = (SLOT * number as u32, SLOT * (number + 1) as u32);
        self.certain(from, to).0 as i32 - self.possible(from).0 as i32
    }

    fn ends(&self) -> impl Iterator<Item = Duration> + '_ {
        self.sent.iter().map(|sent| sent.until)
    }
}

/// A forwarder's process, by a number that the planner never gives twice.
pub type HolderId = usize;

/// What is reclaimed less what is granted, in each slot from the present one on.
#[derive(Clone, Debug, Default)]
struct Cover {
    /// The present slot; its sum lies at its number by the length of the ring.
    first: u64,
    sums: Vec<i32>,
}

impl Cover {
    /// Forgets slots that have passed.
    fn advance(&mut self, now: Duration) {
        let present = slot(now);
        if self.sums.is_empty() {
            self.sums = vec![0; SLOTS];
        }
        for passed in self.first..present.min(self.first + SLOTS as u64) {
            self.sums[(passed % SLOTS as u64) as usize] = 0;
        }
        self.first = self.first.max(present);
    }

    /// Adds what an account gives and takes, or takes that off again.
    fn count(&mut self, account: &Account, sign: i32) {
        let last = account.ends().map(slot).max().unwrap_or(0).min(self.first + SLOTS as u64 - 1);
        for number in self.first..=last.max(self.first) {
            self.sums[(number % SLOTS as u64) as usize] += sign * account.balance(number);
        }
    }

    /// The least sum from the present slot to that of a time, both included, once an account is left out.
    fn least(&self, until: u64, without: Option<&Account>) -> i32 {
        let last = until.min(self.first + SLOTS as u64 - 1);
        let sum = |number: u64| {
            let own = without.map_or(0, |account| account.balance(number));
            self.sums[(number % SLOTS as u64) as usize] - own
        };
        (self.first..=last.max(self.first)).map(sum).min().unwrap_or(0)
    }
}

fn slot(at: Duration) -> u64 {
    (at.as_nanos() / SLOT.as_nanos()) as u64
}

/// The moves of one planner in one resource.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<HolderId, Account>,
    cover: Cover,
}

impl Ledger {
    /// Reclaims a part of a holder's own from when it has the plan, which is sent now; false if what is granted would no
    /// longer be covered, or too much is on its way already. Then nothing is noted, and nothing may be sent.
    pub fn reclaim(
        &mut self,
        now: Duration,
        holder: HolderId,
        version: u64,
        part: Share,
        lasts: Duration,
    ) -> bool {
        let lasts = lasts.min(MAX_MOVE_DURATION);
        // Its clock may run fast and ours slowly, and so its time be over before it is by ours.
        let until = now + lasts - lasts * 2 / CLOCK_DRIFT_DIVISOR;
        self.note(now, holder, Sent { version, moved: Moved::Reclaimed(part), until })
    }

    /// Grants a part to a holder for a time that it counts from a report that came at `asked`; likewise.
    pub fn grant(
        &mut self,
        now: Duration,
        holder: HolderId,
        version: u64,
        part: Share,
        (asked, lasts): (Duration, Duration),
    ) -> bool {
        let until = granted_until(asked, lasts);
        self.note(now, holder, Sent { version, moved: Moved::Granted(part), until })
    }

    /// The most that could be granted to a holder now. What it was granted before is replaced, and what it gave back is its own again.
    pub fn max_grant(
        &mut self,
        now: Duration,
        holder: HolderId,
        (asked, lasts): (Duration, Duration),
    ) -> Share {
        self.cover.advance(now);
        let until = slot(granted_until(asked, lasts));
        Share(u32::try_from(self.cover.least(until, self.accounts.get(&holder))).unwrap_or(0))
    }

    /// A holder has this version of the plans. The move that is in force there is the newest up to it.
    pub fn confirm(&mut self, now: Duration, holder: HolderId, version: u64, refused: bool) {
        let Some(account) = self.accounts.get_mut(&holder) else { return };
        if account.held.is_some_and(|held| held >= version) {
            return;
        }
        self.cover.advance(now);
        self.cover.count(account, -1);
        account.held = Some(version);
        if let Some(kept) = account.sent.iter().rposition(|sent| sent.version <= version) {
            account.sent.drain(..kept);
            let first = &mut account.sent[0];
            // A reclaim that was not taken is none.
            if refused && matches!(first.moved, Moved::Reclaimed(_)) {
                first.moved = Moved::Reclaimed(Share::NONE);
            }
        }
        self.cover.count(account, 1);
    }

    /// Whether nothing of it is in force or on its way any more.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// What was reclaimed from a holder for certain, and was possibly granted to it, as of now.
    pub fn bounds(&self, now: Duration, holder: HolderId) -> (Share, Share) {
        let account = self.accounts.get(&holder);
        account
            .map_or((Share::NONE, Share::NONE), |account| (account.certain(now, now), account.possible(now)))
    }

    /// The newest move that was sent to a holder: its version, what it was, and until when it counts.
    pub fn newest_move(&self, holder: HolderId) -> Option<(u64, Move, Duration)> {
        let sent = self.accounts.get(&holder)?.sent.last()?;
        let moved = match sent.moved {
            Moved::Reclaimed(part) => Move::Reclaim(part, Duration::ZERO),
            Moved::Granted(part) => Move::Grant(part, Duration::ZERO),
        };
        Some((sent.version, moved, sent.until))
    }

    /// Forgets what has ended.
    pub fn drop_expired(&mut self, now: Duration) {
        self.cover.advance(now);
        let cover = &mut self.cover;
        self.accounts.retain(|_, account| {
            let lives = account.ends().any(|until| until > now);
            if !lives {
                cover.count(account, -1);
            }
            lives
        });
        if self.accounts.is_empty() {
            // Most resources are at rest: they keep no room for sums.
            self.cover.sums = Vec::new();
        }
    }

    /// Whether at every time from now on what is reclaimed covers what is granted: what every move keeps true.
    pub fn is_covered(&mut self, now: Duration) -> bool {
        self.cover.advance(now);
        self.cover.least(u64::MAX, None) >= 0
    }

    fn note(&mut self, now: Duration, holder: HolderId, sent: Sent) -> bool {
        self.cover.advance(now);
        let account = self.accounts.entry(holder).or_default();
        // Guards the planner's memory from a forwarder that asks and never takes what it is told.
        if account.sent.len() < MOST_OPEN {
            self.cover.count(account, -1);
            account.sent.push(sent);
            self.cover.count(account, 1);
            if self.cover.least(u64::MAX, None) >= 0 {
                return true;
            }
            self.cover.count(account, -1);
            account.sent.pop();
            self.cover.count(account, 1);
        }
        if account.sent.is_empty() {
            self.accounts.remove(&holder);
        }
        false
    }
}

/// The latest end, by the planner's clock, of a grant that counts from a report which came at `asked`: the holder's
/// clock may run slowly and ours fast, which is a little more than two hundredths together.
fn granted_until(asked: Duration, lasts: Duration) -> Duration {
    let lasts = lasts.min(MAX_MOVE_DURATION);
    asked + lasts + lasts * 3 / CLOCK_DRIFT_DIVISOR
}

#[cfg(test)]
mod tests;
