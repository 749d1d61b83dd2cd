//! Zones: processor time per request of the decision module, by number of zones. Regions have no mechanism, which the
//! ranking reports.

use super::super::decision::{Setup, Simulation};
use super::super::figure::{Figure, Point, Role};
use super::super::meter::timed;
use super::super::scale::Scale;
use super::super::target;
use std::time::Duration;

const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// All figures of the part.
pub fn measure(scale: &Scale) -> Result<Vec<Figure>, String> {
    let nodes = scale.pick(60, target::NODES as u32);
    let count = scale.pick(300, 2000);
    let mut points = Vec::new();
    for zones in [1, 3, 10, 30] {
        let mut repeats = Vec::new();
        for _ in 0..scale.repeats() {
            let mut simulation = Simulation::new(Setup { zones, ..Setup::of(nodes) });
            (0..count).for_each(|_| simulation.request(REQUEST_INTERVAL, false));
            let (_, seconds) =
                timed(|| (0..count).for_each(|_| simulation.request(REQUEST_INTERVAL, false)))?;
            repeats.push(seconds * 1e6 / f64::from(count));
        }
        points.push(Point::of(f64::from(zones), &repeats));
    }
    let name = "regions: a request, calm, by zones";
    let figure = Figure::new(name, Role::Initiator, "zones", "us", points, target::ZONES);
    Ok(vec![figure.with_note(&format!("{nodes} nodes; regions have no mechanism"))])
}
