//! Locking helpers for the laboratory's threads and tests.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning: what is locked here is never left inconsistent by a panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Lock on the machine's processors among tests: tests of real processes in real time take it exclusively, tests in
/// virtual time share it, so that the result of a test doesn't depend on what runs beside it.
#[cfg(test)]
pub mod processor {
    use std::sync::atomic::{AtomicBool, Ordering};
    use std::sync::{Mutex, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
    use std::thread;
    use std::time::{Duration, Instant};

    static PROCESSOR: RwLock<()> = RwLock::new(());

    pub fn alone() -> RwLockWriteGuard<'static, ()> {
        PROCESSOR.write().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn shared() -> RwLockReadGuard<'static, ()> {
        PROCESSOR.read().unwrap_or_else(PoisonError::into_inner)
    }
    /// Lateness of a sleeping thread from which on a run reflects the machine instead of the program.
    const MAX_LATENESS: Duration = Duration::from_millis(100);
    const MAX_RUNS: usize = 5;

    /// Repeats a measurement in real time until the machine didn't stall during a run. Returns the result of that
    /// run, or of the last one if the machine stalled in all of [`MAX_RUNS`] runs.
    pub fn steady<T>(mut run: impl FnMut() -> T) -> T {
        let mut runs = 0;
        loop {
            let (ended, latest) = (AtomicBool::new(false), Mutex::new(Duration::ZERO));
            let result = thread::scope(|scope| {
                scope.spawn(|| {
                    let interval = Duration::from_millis(5);
                    while !ended.load(Ordering::Relaxed) {
                        let start = Instant::now();
                        thread::sleep(interval);
                        let mut latest = super::lock(&latest);
                        *latest = (*latest).max(start.elapsed() - interval);
                    }
                });
                let result = run();
                ended.store(true, Ordering::Relaxed);
                result
            });
            runs += 1;
            let latest = *super::lock(&latest);
            if latest < MAX_LATENESS || runs == MAX_RUNS {
                return result;
            }
            println!("the machine stalled for {latest:?}: running again");
        }
    }
}
