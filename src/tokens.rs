//! Tokens for the event loop's sources. Each token is issued once, and its value tells the kind of source.

use mio::Token;

/// Tokens below this are fixed constants.
const FIRST_FREE: usize = 16;
/// Tokens of one kind are congruent modulo this.
const STRIDE: usize = 16;

/// The kind of source that a token stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A client of RESP2.
    RespClient,
    /// A client of the second front.
    IscsiClient,
    /// A connection to a node.
    Target,
    /// A connection to discovery.
    Discovery,
    /// A RESP2 listener at an address that moves between machines.
    RespListener,
    /// A listener of the second front at such an address.
    IscsiListener,
    /// A connection to a planner.
    Planner,
    /// A client of the admin endpoint.
    Operator,
    /// A connection to another process of this initiator, during an upgrade.
    Upgrade,
}

const ALL: [Kind; 9] = [
    Kind::RespClient,
    Kind::IscsiClient,
    Kind::Target,
    Kind::Discovery,
    Kind::RespListener,
    Kind::IscsiListener,
    Kind::Planner,
    Kind::Operator,
    Kind::Upgrade,
];

impl Kind {
    /// The kind of an issued token; none for fixed ones.
    pub fn of(token: usize) -> Option<Kind> {
        ALL.get(token % STRIDE).copied().filter(|_| token >= FIRST_FREE)
    }
}

/// Issues tokens.
#[derive(Debug)]
pub struct Tokens {
    next: usize,
}

impl Default for Tokens {
    fn default() -> Self {
        Tokens::new()
    }
}

impl Tokens {
    /// Starts with no token issued.
    pub fn new() -> Self {
        Tokens { next: FIRST_FREE }
    }

    /// A token that was not issued before.
    pub fn next(&mut self, kind: Kind) -> Token {
        let token = Token(self.next + kind as usize);
        self.next += STRIDE;
        token
    }
}

#[cfg(test)]
mod tests;
