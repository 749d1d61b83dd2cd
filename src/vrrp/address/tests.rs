use super::super::machine::Parameters;
use super::super::packet::Coverage;
use super::super::routers::Router;
use super::*;
use std::path::PathBuf;

fn router() -> Router {
    let address = [127, 0, 0, 1].into();
    let interval = Duration::from_millis(100);
    Router {
        name: "a".into(),
        vrid: 9,
        priority: 100,
        addresses: vec![[192, 0, 2, 1].into(), [192, 0, 2, 2].into()],
        parameters: Parameters { interval, preempt: true, preempt_delay: Duration::ZERO, address },
        coverage: Coverage::PseudoHeader,
    }
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| word.to_string()).collect()
}

fn poll_until<T>(address: &mut Box<dyn AddressTakeover>, mut wanted: impl FnMut(Progress) -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = wanted(address.poll(Instant::now())) {
            return found;
        }
        assert!(start.elapsed() < Duration::from_secs(20), "timed out");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn acquired(progress: Progress) -> Option<Vec<TcpListener>> {
    match progress {
        Progress::Acquired(listeners) => Some(listeners),
        _ => None,
    }
}

fn failure(progress: Progress) -> Option<String> {
    match progress {
        Progress::Failed(why) => Some(why),
        _ => None,
    }
}

#[test]
fn a_listener_is_bound_to_a_non_local_address_and_returned_once() {
    let mut address =
        address_takeover(&TakeoverMethod::Bind, &router(), vec!["127.0.0.1:0".parse().unwrap()]);
    let now = Instant::now();
    assert!(matches!(address.poll(now), Progress::Released));
    address.acquire(now);
    let listeners = poll_until(&mut address, acquired);
    assert_eq!(nix::sys::socket::getsockopt(&listeners[0], nix::sys::socket::sockopt::IpFreebind), Ok(true));
    assert!(matches!(address.poll(now), Progress::Pending));
    let six = listener::bind("[::1]:0".parse().unwrap(), Locality::Any).unwrap();
    assert!(socket2::SockRef::from(&six).freebind_v6().unwrap());
}

#[test]
fn binding_an_address_in_use_is_retried_until_it_is_free() {
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut address = address_takeover(&TakeoverMethod::Bind, &router(), vec![other.local_addr().unwrap()]);
    address.acquire(Instant::now());
    poll_until(&mut address, failure);
    drop(other);
    assert_eq!(poll_until(&mut address, acquired).len(), 1);
}

#[test]
fn commands_move_the_addresses_and_receive_them_in_the_environment() {
    let file = std::env::temp_dir().join(format!("topazpath-address-{}", std::process::id()));
    let log_command = |what: &str| {
        let line = format!(
            "echo {what} $TOPAZPATH_ROUTER $TOPAZPATH_VRID $TOPAZPATH_ADDRESSES >> {}",
            file.display()
        );
        words(&["/bin/sh", "-c", &line])
    };
    let timeout = Duration::from_secs(20);
    let method =
        TakeoverMethod::Command { take: log_command("take"), release: log_command("release"), timeout };
    let mut address = address_takeover(&method, &router(), vec!["127.0.0.1:0".parse().unwrap()]);
    address.acquire(Instant::now());
    drop(poll_until(&mut address, acquired));
    address.release(Instant::now());
    poll_until(&mut address, |progress| matches!(progress, Progress::Released).then_some(()));
    let written = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    assert_eq!(written, "take a 9 192.0.2.1 192.0.2.2\nrelease a 9 192.0.2.1 192.0.2.2\n");
}

#[test]
fn a_failed_command_is_restarted_after_a_delay() {
    let file = std::env::temp_dir().join(format!("topazpath-again-{}", std::process::id()));
    let line = format!("echo x >> {}; exit 1", file.display());
    let (take, release) = (words(&["/bin/sh", "-c", &line]), words(&["/bin/true"]));
    let method = TakeoverMethod::Command { take, release, timeout: Duration::from_secs(20) };
    let mut address = address_takeover(&method, &router(), vec![]);
    let start = Instant::now();
    address.acquire(start);
    (0..2).for_each(|_| drop(poll_until(&mut address, failure)));
    assert!(start.elapsed() >= COMMAND_RETRY_DELAY);
    assert_eq!(std::fs::read_to_string(&file).unwrap(), "x\nx\n");
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn a_hanging_command_is_killed_and_a_failure_is_reported_with_its_reason() {
    let file = PathBuf::from("/nonexistent/program").display().to_string();
    for (take, expected) in [
        (words(&["/bin/sleep", "100"]), "longer than 30 ms"),
        (words(&["/bin/false"]), "exit status: 1"),
        (words(&[&file]), "No such file"),
    ] {
        let timeout = if expected.contains("30 ms") { 30 } else { 20_000 };
        let (release, timeout) = (words(&["/bin/true"]), Duration::from_millis(timeout));
        let method = TakeoverMethod::Command { take, release, timeout };
        let mut address = address_takeover(&method, &router(), vec![]);
        address.acquire(Instant::now());
        let why = poll_until(&mut address, failure);
        assert!(why.contains(expected), "{why}");
    }
}
