//! What a measured cost looks like in the report.

use super::fit::{self, Origin, PowerLaw};
use serde::{Deserialize, Serialize};

/// Whose cost it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An initiator.
    Initiator,
    /// A planner.
    Planner,
    /// Discovery, as seen from its clients.
    Discovery,
    /// A storage node, as seen from the initiators.
    Node,
    /// An operator's command.
    Operator,
}

impl Role {
    /// All of them, in the order of the report.
    pub const ALL: [Role; 5] = [Role::Initiator, Role::Planner, Role::Discovery, Role::Node, Role::Operator];

    /// A heading.
    pub fn title(self) -> &'static str {
        match self {
            Role::Initiator => "Initiator",
            Role::Planner => "Planner",
            Role::Discovery => "Discovery, as seen",
            Role::Node => "Node, as seen",
            Role::Operator => "Operator's command",
        }
    }
}

/// How the value at the target came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum How {
    /// At the size, or between two sizes on both sides of it.
    #[serde(rename = "measured")]
    Measured,
    /// From measured figures, by a law or a multiplication.
    #[serde(rename = "worked out")]
    WorkedOut,
    /// Neither.
    #[serde(rename = "assumed")]
    Assumed,
}

impl How {
    /// Its word in tables.
    pub fn word(self) -> &'static str {
        match self {
            How::Measured => "measured",
            How::WorkedOut => "worked out",
            How::Assumed => "assumed",
        }
    }
}

impl From<Origin> for How {
    fn from(origin: Origin) -> How {
        match origin {
            Origin::Measured => How::Measured,
            Origin::WorkedOut => How::WorkedOut,
        }
    }
}

/// The cost at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size, by the figure's axis.
    pub size: f64,
    /// The middle of the repeats.
    pub median: f64,
    /// Largest less smallest of the repeats.
    pub spread: f64,
    /// How often it was measured.
    pub repeats: usize,
}

impl Point {
    /// From what the repeats came to.
    pub fn of(size: f64, repeats: &[f64]) -> Point {
        Point { size, median: fit::median(repeats), spread: fit::spread(repeats), repeats: repeats.len() }
    }
}

/// A cost, how it grows, and what it comes to at the target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Figure {
    /// Its name, with the part first.
    pub name: String,
    /// Whose it is.
    pub role: Role,
    /// What the sizes count.
    pub axis: String,
    /// Unit of the points.
    pub unit: String,
    /// Smallest size first.
    pub points: Vec<Point>,
    /// Of the fitted law; none where there are too few points above zero.
    pub exponent: Option<f64>,
    /// Of the fitted law.
    pub residual: Option<f64>,
    /// The size of the target on this axis.
    pub target_size: f64,
    /// The value there.
    pub at_target: f64,
    /// Unit of the value at the target and of the budget.
    pub target_unit: String,
    /// How that came about.
    pub how: How,
    /// What it may be.
    pub budget: Option<f64>,
    /// Value over budget.
    pub ratio: Option<f64>,
    /// Whether it stays within.
    pub holds: Option<bool>,
    /// What has to be known to read it.
    pub note: String,
}

impl Figure {
    /// With the law through its points and the value at the target, without a budget.
    pub fn new(
        name: &str,
        role: Role,
        axis: &str,
        unit: &str,
        mut points: Vec<Point>,
        target: f64,
    ) -> Figure {
        points.sort_by(|a, b| a.size.total_cmp(&b.size));
        let plain: Vec<(f64, f64)> = points.iter().map(|point| (point.size, point.median)).collect();
        let law = PowerLaw::through(&plain);
        let (at_target, how) = match fit::cost_at(&points, target) {
            Some((cost, origin)) => (cost, How::from(origin)),
            None => (0.0, How::Assumed),
        };
        Figure {
            name: name.into(),
            role,
            axis: axis.into(),
            unit: unit.into(),
            points,
            exponent: law.map(|law| law.exponent),
            residual: law.map(|law| law.residual),
            target_size: target,
            at_target,
            target_unit: unit.into(),
            how,
            budget: None,
            ratio: None,
            holds: None,
            note: String::new(),
        }
    }

    /// A figure worked out from others.
    pub fn worked_out(name: &str, role: Role, unit: &str, value: f64, note: &str) -> Figure {
        let mut figure = Figure::new(name, role, "-", unit, Vec::new(), 1.0);
        (figure.at_target, figure.how, figure.note) = (value, How::WorkedOut, note.into());
        figure
    }

    /// The value at the target in another unit, so many times that of the points.
    pub fn times(mut self, factor: f64, unit: &str) -> Figure {
        self.at_target *= factor;
        self.target_unit = unit.into();
        self.how = How::WorkedOut;
        self
    }

    /// Against what it may be.
    pub fn within(mut self, budget: f64) -> Figure {
        let ratio = self.at_target / budget;
        (self.budget, self.ratio, self.holds) = (Some(budget), Some(ratio), Some(ratio <= 1.0));
        self
    }

    /// With what has to be known to read it.
    pub fn note(mut self, note: &str) -> Figure {
        self.note = note.into();
        self
    }
}
