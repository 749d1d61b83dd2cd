//! Rounds of the planner, and what comes of its decisions.

use super::{turns, Forwarder};
use crate::core::{AttemptId, Effect, Ended};
use crate::flow::WINDOW;
use crate::interface::{Event, Outcome};
use crate::target::{Flowing, Start};
use crate::tokens::Kind;
use std::time::Instant;

impl Forwarder {
    /// Planner rounds until nothing more happens at once, or the turn is long: then those that are due are answered, and
    /// others heard, before it goes on.
    pub(super) fn plan(&mut self, now: Instant) {
        let begun = Instant::now();
        for round in 0.. {
            if round > 0 && begun.elapsed() > turns::LONG && !self.core.has_effects() {
                return;
            }
            self.pass_on(now);
            for (attempt, ended) in std::mem::take(&mut self.targets.ended) {
                self.learn_place(attempt, ended.outcome);
                self.core.attempt_ended(now, attempt, ended);
            }
            let effects = self.core.drain_effects();
            if effects.is_empty() {
                let mut events = self.core.drain_events();
                for event in &mut events {
                    if let Event::Request(new) = event {
                        new.shard = self.placement.shard(new.key, new.shard);
                    }
                }
                // What may be used now comes before what asks for it, and changes also while nobody asks.
                let shares = self.planners.as_mut().and_then(|planners| planners.before(now, &events));
                events.splice(0..0, shares);
                if events.is_empty() {
                    return;
                }
                let actions = self.planner.decide(now, &events);
                self.core.carry_out(now, actions);
                self.core.answer_overdue(Instant::now());
            }
            for effect in effects {
                self.carry_out(now, effect);
            }
        }
    }

    /// Nodes show where pieces lie by serving them, and by turning them away.
    pub(super) fn learn_place(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some((key, node)) = self.core.piece(attempt) else { return };
        let Some(shard) = self.nodes.shard(node) else { return };
        match outcome {
            Outcome::Served => self.placement.served(key, shard),
            Outcome::Rejected => self.placement.turned_away(key, shard),
            _ => {}
        }
    }

    /// Passes long values on, as far as there is room on their other side.
    pub(super) fn pass_on(&mut self, now: Instant) {
        for attempt in self.targets.held_up() {
            let Some(origin) = self.core.stream(attempt) else { continue };
            let room = self.resp.room(origin);
            // Not byte by byte.
            if room >= WINDOW / 2 {
                self.targets.credit(now, attempt, room);
            }
        }
        // What comes of room that was just made belongs before the ends of attempts.
        while let Some((attempt, step)) = self.targets.flowing.pop_front() {
            match step {
                Flowing::Begun(length) => match self.core.stream_begins(attempt) {
                    Some(origin) => {
                        let grant = self.budget.grant(length);
                        if grant.is_some() {
                            self.targets.credit(now, attempt, usize::MAX);
                        }
                        self.resp.begin(now, origin, length, grant, &mut self.core);
                    }
                    None => self.targets.stop(attempt, Outcome::Cancelled),
                },
                Flowing::Piece(piece) => {
                    if let Some(origin) = self.core.stream(attempt) {
                        self.resp.piece(now, origin, &piece, &mut self.core);
                    }
                }
                Flowing::Slow => self.core.takes_time(attempt),
                Flowing::Moved => {
                    if let Some(origin) = self.core.origin(attempt.request) {
                        self.resp.go_on(now, origin.conn, &mut self.core);
                    }
                }
            }
        }
    }

    pub(super) fn carry_out(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::Moved { attempt } => self.targets.go_on(now, attempt),
            Effect::Finish { origin, whole } => self.resp.finish(now, origin, whole, &mut self.core),
            Effect::Answer { origin, answer } => match (Kind::of(origin.conn), &mut self.iscsi) {
                (Some(Kind::IscsiClient), Some(front)) => front.answer(now, origin, answer, &mut self.core),
                _ => self.resp.answer(now, origin, answer, &mut self.core),
            },
            Effect::Stop { attempt, outcome } => self.targets.stop(attempt, outcome),
            Effect::Withdraw { attempt } => self.targets.withdraw(attempt),
            Effect::Start { attempt, node, content, give_up_at, begin_by } => {
                let grace = self.config.settings.rules.drain_grace;
                let Some((endpoint, closes)) = self.nodes.open(now, node, grace) else {
                    return self.core.attempt_ended(now, attempt, Ended::bare(Outcome::NotConnected));
                };
                let begin_by = closes.map_or(begin_by, |closes| closes.min(begin_by));
                let start = Start { attempt, node, content, give_up_at, begin_by };
                let token = self.tokens.next(Kind::Target);
                self.targets.start(now, start, endpoint, token, self.poll.registry());
            }
        }
    }
}
