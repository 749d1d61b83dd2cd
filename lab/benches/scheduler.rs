//! What one request costs in the decision module, by the size of the fleet's node list: the loop of an initiator spends
//! its processor time there. Nodes answer after a fixed time; a busy host has more to send than its nodes bear.

#[path = "../src/capacity/decision.rs"]
#[allow(dead_code)]
mod decision;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use decision::{Setup, World};
use std::time::Duration;

fn request(criterion: &mut Criterion) {
    for (name, gap, crowded) in [("calm", 20, false), ("crowded", 5, true)] {
        let gap = Duration::from_millis(gap);
        let mut group = criterion.benchmark_group(format!("one request, {name}"));
        for nodes in [8, 60, 200] {
            group.bench_with_input(BenchmarkId::new("nodes", nodes), &nodes, |bench, nodes| {
                let mut world = World::new(Setup::of(*nodes));
                (0..2000).for_each(|_| world.request(gap, crowded));
                bench.iter(|| world.request(gap, crowded));
            });
        }
        group.finish();
    }
}

criterion_group!(benches, request);
criterion_main!(benches);
