//! Which part a member takes in the fleet.

/// Its own part in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It asks to be taken in.
    Joining,
    /// It is in the view that it knows.
    Member,
    /// Another process has its name: it takes no part.
    Superseded,
    /// It announces that it leaves.
    Leaving,
    /// It has left.
    Left,
}

impl Phase {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Joining => "joining",
            Phase::Member => "member",
            Phase::Superseded => "aside",
            Phase::Leaving => "leaving",
            Phase::Left => "left",
        }
    }
}
