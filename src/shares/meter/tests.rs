use super::*;
use crate::interface::{Limit, Plan};

#[test]
fn demand_is_a_fraction_of_the_limit_and_forgotten_after_the_retention() {
    let limit = Limit { rate: 20.0, burst: 40.0, overdraft: 8.0 };
    let plan = |limit| Plan { reserve: 1.0, limit, weight: 1.0, worth_factor: 1.0 };
    let settings = Settings { plans: vec![plan(Some(limit)), plan(None)], ..Settings::default() };
    let mut meter = Meter::default();
    let request = |volume, plan, hosts| NewRequest {
        volume: VolumeId(volume),
        plan,
        units: 2.0,
        volume_initiators: hosts,
        ..NewRequest::default()
    };
    let mut now = Duration::from_secs(1);
    for _ in 0..200 {
        now += Duration::from_millis(100);
        meter.record(now, &request(1, 0, 2.0), &settings);
        meter.record(now, &request(2, 1, 2.0), &settings);
    }
    let demands = meter.demands(now, |_| true);
    assert_eq!(demands.len(), 1, "only the volume with a limit is metered");
    assert_eq!((demands[0].resource, demands[0].even_share), (Resource::Limit(1), Share(500_000)));
    assert!((0.9..1.2).contains(&demands[0].wanted), "20 units a second: {}", demands[0].wanted);
    meter.record(now, &request(1, 0, 4.0), &settings);
    assert_eq!(meter.even_share(VolumeId(1)), Some(Share(250_000)));
    assert!(meter.demands(now, |_| false).is_empty());
    assert!(meter.demands(now + Duration::from_secs(5), |_| true)[0].wanted < 0.001);
    assert!(meter.demands(now + RETENTION, |_| true).is_empty());
    assert_eq!(meter.volumes().count(), 0);
}
