//! Two machines behind one address that both serve it because they can't reach each other: what their two schedulers
//! send together, with the limits divided between them and, to show that the tests can fail, undivided.

mod common;

use common::*;
use topazpath::handover::Share;
use topazpath::interface::*;

fn safe() -> Settings {
    settings(vec![class(Effect::Safe)])
}

/// What two machines send in a number of 20 ms steps under more demand than either may serve, as steps and units.
fn send_from_both(settings: [Settings; 2], nodes: &[NodeEntry], steps: usize) -> Vec<(usize, f64)> {
    let mut seed = 0;
    let mut initiators = settings.map(|settings| {
        seed += 1;
        Initiator::seeded(settings, nodes, seed)
    });
    let mut sent = Vec::new();
    for step in 0..steps {
        for initiator in &mut initiators {
            initiator.now += ms(20);
            let mut new = initiator.new_request(0, 0, 0);
            new.units = (step % 6 + 1) as f64;
            let actions = initiator.handle(&[Event::Request(new.clone())]);
            if sends(&actions) > 0 {
                sent.push((step, new.units));
                initiator.end(new.id, 0, 1, Outcome::Served);
            } else {
                initiator.handle(&[Event::ClientGone { id: new.id }]);
            }
        }
    }
    sent
}

fn divided(settings: &Settings, shares: [(f64, f64); 2]) -> [Settings; 2] {
    shares.map(|(rate, burst)| {
        let mut settings = settings.clone();
        Share { machines: 2, rate, burst }.divide(&mut settings);
        settings
    })
}

/// The largest number of units by which any window exceeds a rate plus a burst.
fn excess(sent: &[(usize, f64)], rate: f64, at_once: f64) -> f64 {
    let (mut level, mut last, mut max_units) = (0.0_f64, 0, f64::MIN);
    for (step, units) in sent {
        level = (level - rate * (step - last) as f64 * 0.02).max(0.0) + units;
        last = *step;
        max_units = max_units.max(level - at_once);
    }
    max_units
}

#[test]
fn two_machines_serving_at_once_keep_a_volumes_limit_together() {
    let mut settings = safe();
    settings.plans[0].limit = Some(Limit { rate: 60.0, burst: 40.0, overdraft: 8.0 });
    // The size of the volume, so that only the limit restricts its requests.
    (settings.plans[0].reserve, settings.units.base_rates) = (1e5, vec![1e5]);
    let nodes = [node(1, 0)];
    let with_shares = send_from_both(divided(&settings, [(0.75, 0.5), (0.25, 0.5)]), &nodes, 1000);
    assert!(excess(&with_shares, 60.0, 48.0) <= 0.0, "{}", excess(&with_shares, 60.0, 48.0));
    let units: f64 = with_shares.iter().map(|sent| sent.1).sum();
    assert!(units > 0.9 * 60.0 * 20.0, "nearly all of the limit is used: {units}");
    let undivided = send_from_both([settings.clone(), settings], &nodes, 1000);
    assert!(excess(&undivided, 60.0, 48.0) > 100.0, "undivided, they exceed it");
}

#[test]
fn two_machines_serving_at_once_do_not_overload_a_cold_node_together() {
    let mut settings = safe();
    settings.initiators = 1;
    settings.units.slow_start_units = 40.0;
    let cold = [NodeEntry { started: Some(START - ms(1)), ..node(1, 0) }];
    let max_units = |settings| {
        let sent = send_from_both(settings, &cold, 200);
        let window = |start: usize| -> f64 {
            sent.iter().filter(|it| (start..start + 50).contains(&it.0)).map(|it| it.1).sum()
        };
        (0..150).map(window).fold(0.0, f64::max)
    };
    // The rule allows up to twice what a cold node can always handle; a debt and the largest request lie within that.
    let (with_shares, undivided) =
        (max_units(divided(&settings, [(0.5, 0.5); 2])), max_units([settings.clone(), settings]));
    assert!(with_shares <= 2.0 * 40.0, "{with_shares} units in a second");
    assert!(undivided > 1.5 * with_shares, "undivided: {undivided} units, divided: {with_shares}");
}
