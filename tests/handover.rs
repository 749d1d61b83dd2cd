//! Two machines behind one address that both serve, since neither hears the other: what their two schedulers send
//! together, with the settings divided between them and, to show that the tests can fail, undivided.

mod common;

use common::*;
use topazpath::handover::Share;
use topazpath::interface::*;

fn safe() -> Settings {
    settings(vec![class(Effect::Safe)])
}

/// What two machines send in so many steps of 20 ms under more demand than either may serve: steps and units.
fn both(settings: [Settings; 2], nodes: &[NodeEntry], steps: usize) -> Vec<(usize, f64)> {
    let mut seed = 0;
    let mut hosts = settings.map(|settings| {
        seed += 1;
        Initiator::seeded(settings, nodes, seed)
    });
    let mut sent = Vec::new();
    for step in 0..steps {
        for host in &mut hosts {
            host.now += ms(20);
            let mut new = host.new_request(0, 0, 0);
            new.units = (step % 6 + 1) as f64;
            let actions = host.handle(&[Event::Request(new.clone())]);
            if sends(&actions) > 0 {
                sent.push((step, new.units));
                host.end(new.id, 0, 1, Outcome::Served);
            } else {
                host.handle(&[Event::ClientGone { id: new.id }]);
            }
        }
    }
    sent
}

fn divided(settings: &Settings, parts: [(f64, f64); 2]) -> [Settings; 2] {
    parts.map(|(rate, burst)| {
        let mut settings = settings.clone();
        Share { machines: 2, rate, burst }.divide(&mut settings);
        settings
    })
}

/// The most units by which any window exceeds a rate and what may go at once.
fn excess(sent: &[(usize, f64)], rate: f64, at_once: f64) -> f64 {
    let (mut level, mut last, mut most) = (0.0_f64, 0, f64::MIN);
    for (step, units) in sent {
        level = (level - rate * (step - last) as f64 * 0.02).max(0.0) + units;
        last = *step;
        most = most.max(level - at_once);
    }
    most
}

#[test]
fn two_that_serve_at_once_keep_a_volumes_limit_together() {
    let mut settings = safe();
    settings.plans[0].limit = Some(Limit { rate: 60.0, burst: 40.0, overdraft: 8.0 });
    // The size of the volume, so that its requests go wherever the limit lets them.
    (settings.plans[0].reserve, settings.units.base_rates) = (1e5, vec![1e5]);
    let nodes = [node(1, 0)];
    let kept = both(divided(&settings, [(0.75, 0.5), (0.25, 0.5)]), &nodes, 1000);
    assert!(excess(&kept, 60.0, 48.0) <= 0.0, "{}", excess(&kept, 60.0, 48.0));
    let units: f64 = kept.iter().map(|sent| sent.1).sum();
    assert!(units > 0.9 * 60.0 * 20.0, "nearly all of it is used: {units}");
    let whole = both([settings.clone(), settings], &nodes, 1000);
    assert!(excess(&whole, 60.0, 48.0) > 100.0, "undivided they exceed it");
}

#[test]
fn two_that_serve_at_once_do_not_push_a_cold_node_over_together() {
    let mut settings = safe();
    settings.initiators = 1;
    settings.units.slow_start_units = 40.0;
    let cold = [NodeEntry { started: Some(START - ms(1)), ..node(1, 0) }];
    let most = |settings| {
        let sent = both(settings, &cold, 200);
        let window = |start: usize| -> f64 {
            sent.iter().filter(|it| (start..start + 50).contains(&it.0)).map(|it| it.1).sum()
        };
        (0..150).map(window).fold(0.0, f64::max)
    };
    // The rule bears twice what a cold node always bears; a debt and the largest request lie within that.
    let (kept, whole) = (most(divided(&settings, [(0.5, 0.5); 2])), most([settings.clone(), settings]));
    assert!(kept <= 2.0 * 40.0, "{kept} units in a second");
    assert!(whole > 1.5 * kept, "undivided: {whole} units, divided: {kept}");
}
