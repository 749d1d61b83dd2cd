//! Names for what the loop watches. A name is given out once, and tells what kind of thing it names.

use mio::Token;

/// Tokens below are named one by one.
const FIRST_FREE: usize = 16;
/// The remainder of a token by this tells its kind.
const STRIDE: usize = 16;

/// What a token names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A client of RESP2.
    RespClient,
    /// A client of the second front.
    IscsiClient,
    /// A connection to a node.
    Target,
    /// A conversation with discovery.
    Discovery,
    /// A listener of RESP2 at an address that moves between machines.
    RespListener,
    /// Likewise of the second front.
    IscsiListener,
    /// A connection to a planner.
    Planner,
    /// A caller at the admin endpoint.
    Operator,
    /// Another process of this initiator.
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
    /// Of a token that was given out.
    pub fn of(token: usize) -> Option<Kind> {
        ALL.get(token % STRIDE).copied().filter(|_| token >= FIRST_FREE)
    }
}

/// Gives tokens out.
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
    /// None is given out yet.
    pub fn new() -> Self {
        Tokens { next: FIRST_FREE }
    }

    /// One that was never given out.
    pub fn next(&mut self, kind: Kind) -> Token {
        let token = Token(self.next + kind as usize);
        self.next += STRIDE;
        token
    }
}

#[cfg(test)]
mod tests;
