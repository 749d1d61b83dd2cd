//! Figures of the report: a measured cost, how it grows, and its estimate at the target size.

use super::fit::{self, Origin, PowerLaw};
use serde::{Deserialize, Serialize};

/// The component that bears a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An initiator.
    Initiator,
    /// A planner.
    Planner,
    /// Discovery, measured at its clients.
    Discovery,
    /// A storage node, measured at the initiators.
    Node,
    /// An operator's command.
    Operator,
}

impl Role {
    /// All roles in the order of the report.
    pub const ALL: [Role; 5] = [Role::Initiator, Role::Planner, Role::Discovery, Role::Node, Role::Operator];

    /// Heading in the report.
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

/// How the value at the target was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum How {
    /// Measured at the target size, or interpolated between two sizes.
    #[serde(rename = "measured")]
    Measured,
    /// Extrapolated or otherwise computed from measured figures.
    #[serde(rename = "worked out")]
    WorkedOut,
    /// Neither measured nor computed from measurements.
    #[serde(rename = "assumed")]
    Assumed,
}

impl How {
    /// Its name in tables.
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

/// A cost at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size, on the figure's axis.
    pub size: f64,
    /// Median of the repeats.
    pub median: f64,
    /// Maximum minus minimum of the repeats.
    pub spread: f64,
    /// Number of repeats.
    pub repeats: usize,
}

impl Point {
    /// Summarizes the repeats at a size.
    pub fn of(size: f64, repeats: &[f64]) -> Point {
        Point { size, median: fit::median(repeats), spread: fit::spread(repeats), repeats: repeats.len() }
    }
}

/// A cost, how it grows with size, and its value at the target size.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Figure {
    /// Its name, prefixed with the part.
    pub name: String,
    /// The component that bears it.
    pub role: Role,
    /// What the sizes count, such as `nodes`.
    pub axis: String,
    /// Unit of the points.
    pub unit: String,
    /// Measurements in ascending order of size.
    pub points: Vec<Point>,
    /// Exponent of the fitted power law; `None` with too few points above zero.
    pub exponent: Option<f64>,
    /// Residual of the fitted power law.
    pub residual: Option<f64>,
    /// Target size on this axis.
    pub target_size: f64,
    /// Value at the target size.
    pub at_target: f64,
    /// Unit of the value at the target and of the budget.
    pub target_unit: String,
    /// How that value was obtained.
    pub how: How,
    /// Maximum allowed value at the target.
    pub budget: Option<f64>,
    /// Value at the target divided by the budget.
    pub ratio: Option<f64>,
    /// Whether the value stays within the budget.
    pub holds: Option<bool>,
    /// Conditions of the measurement.
    pub note: String,
}

impl Figure {
    /// Fits the power law through the points and computes the value at the target; sets no budget.
    pub fn new(
        name: &str,
        role: Role,
        axis: &str,
        unit: &str,
        mut points: Vec<Point>,
        target: f64,
    ) -> Figure {
        points.sort_by(|a, b| a.size.total_cmp(&b.size));
        let pairs: Vec<(f64, f64)> = points.iter().map(|point| (point.size, point.median)).collect();
        let law = PowerLaw::through(&pairs);
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

    /// A figure computed from others.
    pub fn worked_out(name: &str, role: Role, unit: &str, value: f64, note: &str) -> Figure {
        let mut figure = Figure::new(name, role, "-", unit, Vec::new(), 1.0);
        (figure.at_target, figure.how, figure.note) = (value, How::WorkedOut, note.into());
        figure
    }

    /// Converts the value at the target to another unit by multiplying it with `factor`.
    pub fn scaled(mut self, factor: f64, unit: &str) -> Figure {
        self.at_target *= factor;
        self.target_unit = unit.into();
        self.how = How::WorkedOut;
        self
    }

    /// Sets the budget.
    pub fn with_budget(mut self, budget: f64) -> Figure {
        let ratio = self.at_target / budget;
        (self.budget, self.ratio, self.holds) = (Some(budget), Some(ratio), Some(ratio <= 1.0));
        self
    }

    /// Sets the note on the conditions of the measurement.
    pub fn with_note(mut self, note: &str) -> Figure {
        self.note = note.into();
        self
    }
}
