//! The phases of a member.

/// How this process takes part in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It asks to be admitted to the view.
    Joining,
    /// It is in its installed view.
    Member,
    /// Another process uses its name in a later generation: this one has stopped taking part.
    Superseded,
    /// It announces to the others that it leaves.
    Leaving,
    /// It has left.
    Left,
}

impl Phase {
    /// Its name in reports and logs.
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
