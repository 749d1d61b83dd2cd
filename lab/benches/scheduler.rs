//! Benchmark of one request in the decision module, where an initiator's loop spends most of its processor time, by
//! size of the node list. Nodes answer after a fixed time; the crowded variant sends more than the nodes can serve.

#[path = "../src/capacity/decision.rs"]
#[allow(dead_code)]
mod decision;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use decision::{Setup, Simulation};
use std::time::Duration;

fn request(criterion: &mut Criterion) {
    for (name, interval, crowded) in [("calm", 20, false), ("crowded", 5, true)] {
        let interval = Duration::from_millis(interval);
        let mut group = criterion.benchmark_group(format!("one request, {name}"));
        for nodes in [8, 60, 200] {
            group.bench_with_input(BenchmarkId::new("nodes", nodes), &nodes, |bench, nodes| {
                let mut simulation = Simulation::new(Setup::of(*nodes));
                (0..2000).for_each(|_| simulation.request(interval, crowded));
                bench.iter(|| simulation.request(interval, crowded));
            });
        }
        group.finish();
    }
}

criterion_group!(benches, request);
criterion_main!(benches);
