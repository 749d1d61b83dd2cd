//! The ledger of moves against a plain one that sums all accounts anew at every end, and the timers of virtual routers
//! against the standard library's heap, which keeps stale entries.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::hint::black_box;
use std::time::Duration;
use topazpath::shares::ledger::Ledger;
use topazpath::shares::Share;
use topazpath::vrrp::timers::Timers;

const MS: fn(u64) -> Duration = Duration::from_millis;
const RECLAIM: Duration = Duration::from_millis(1000);
const GRANT: Duration = Duration::from_millis(400);

/// Naive ledger: each holder's latest reclaim or grant, with its share and its expiry. Earlier ones count as expired.
#[derive(Default)]
struct NaiveLedger {
    reclaimed: BTreeMap<usize, (u32, Duration)>,
    granted: BTreeMap<usize, (u32, Duration)>,
}

impl NaiveLedger {
    /// The ledger's rule: at every expiry from `now` on, the sum of reclaims covers the sum of grants.
    fn is_covered(&self, now: Duration) -> bool {
        let ends = self.reclaimed.values().chain(self.granted.values()).map(|(_, until)| *until);
        ends.filter(|at| *at > now).chain([now]).all(|at| {
            let sum = |moves: &BTreeMap<usize, (u32, Duration)>| -> u64 {
                moves.values().filter(|(_, until)| at < *until).map(|(share, _)| u64::from(*share)).sum()
            };
            sum(&self.granted) <= sum(&self.reclaimed)
        })
    }
}

/// Every second holder returns a share and the others are granted as much; one round renews all.
fn ledger(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one move");
    for holders in [3, 30, 300, 1000] {
        let share = Share(1_000_000 / holders as u32 / 2);
        group.bench_with_input(BenchmarkId::new("ledger", holders), &holders, |bench, holders| {
            let (mut ledger, mut version, mut now, mut holder) = (Ledger::default(), 0, MS(0), 0);
            let mut renew = || {
                holder = (holder + 1) % holders;
                version += 1;
                // A round over all holders takes a tenth of a second.
                now += MS(100) / *holders as u32;
                ledger.confirm(now, holder, version - 1, false);
                if holder % 2 == 0 {
                    black_box(ledger.reclaim(now, holder, version, share, RECLAIM));
                } else {
                    black_box(ledger.grant(now, holder, version, share, (now, GRANT)));
                }
            };
            // Warm-up: until every holder has a share.
            (0..3 * holders).for_each(|_| renew());
            bench.iter(renew);
        });
        // Beyond that a move takes milliseconds.
        if holders > 300 {
            continue;
        }
        group.bench_with_input(BenchmarkId::new("plain", holders), &holders, |bench, holders| {
            let (mut naive, mut now, mut holder) = (NaiveLedger::default(), MS(0), 0);
            let mut renew = || {
                holder = (holder + 1) % holders;
                now += MS(100) / *holders as u32;
                if holder % 2 == 0 {
                    naive.reclaimed.insert(holder, (share.0, now + RECLAIM));
                } else {
                    naive.granted.insert(holder, (share.0, now + GRANT));
                    if !naive.is_covered(now) {
                        naive.granted.remove(&holder);
                    }
                }
            };
            (0..3 * holders).for_each(|_| renew());
            bench.iter(renew);
        });
    }
    group.finish();
}

fn timers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("one timer moved");
    for routers in [1, 16, 255] {
        group.bench_with_input(BenchmarkId::new("timers", routers), &routers, |bench, routers| {
            let (mut timers, mut at, mut router) = (Timers::new(*routers), MS(0), 0);
            bench.iter(|| {
                router = (router * 31 + 7) % routers;
                at += Duration::from_micros(400);
                timers.set(router, Some(at + MS(360)));
                black_box(timers.next());
            });
        });
        group.bench_with_input(BenchmarkId::new("heap", routers), &routers, |bench, routers| {
            let (mut heap, mut due) = (BinaryHeap::new(), vec![MS(0); *routers]);
            let (mut at, mut router) = (MS(0), 0);
            bench.iter(|| {
                router = (router * 31 + 7) % routers;
                at += Duration::from_micros(400);
                due[router] = at + MS(360);
                heap.push(Reverse((due[router], router)));
                // Entries of timers moved since are stale, and removed when they reach the top.
                while heap.peek().is_some_and(|Reverse((at, router))| due[*router] != *at) {
                    heap.pop();
                }
                black_box(heap.peek());
            });
        });
    }
    group.finish();
}

criterion_group!(benches, ledger, timers);
criterion_main!(benches);
