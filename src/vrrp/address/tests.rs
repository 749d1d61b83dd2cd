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

fn until<T>(address: &mut Box<dyn Address>, mut wanted: impl FnMut(Progress) -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = wanted(address.turn(Instant::now())) {
            return found;
        }
        assert!(start.elapsed() < Duration::from_secs(20), "never came true");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn here(progress: Progress) -> Option<Vec<TcpListener>> {
    match progress {
        Progress::Here(listeners) => Some(listeners),
        _ => None,
    }
}

fn failing(progress: Progress) -> Option<String> {
    match progress {
        Progress::Failing(why) => Some(why),
        _ => None,
    }
}

#[test]
fn a_listener_may_be_at_an_address_that_is_not_local_and_is_told_once() {
    let mut address = address(&Means::Bind, &router(), vec!["127.0.0.1:0".parse().unwrap()]);
    let now = Instant::now();
    assert!(matches!(address.turn(now), Progress::Gone));
    address.take(now);
    let listeners = until(&mut address, here);
    assert_eq!(nix::sys::socket::getsockopt(&listeners[0], nix::sys::socket::sockopt::IpFreebind), Ok(true));
    assert!(matches!(address.turn(now), Progress::Pending));
    let six = listener::bind("[::1]:0".parse().unwrap(), Locality::Any).unwrap();
    assert!(socket2::SockRef::from(&six).freebind_v6().unwrap());
}

#[test]
fn an_address_in_use_is_tried_until_it_is_free() {
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut address = address(&Means::Bind, &router(), vec![other.local_addr().unwrap()]);
    address.take(Instant::now());
    until(&mut address, failing);
    drop(other);
    assert_eq!(until(&mut address, here).len(), 1);
}

#[test]
fn a_command_moves_it_and_is_told_what() {
    let file = std::env::temp_dir().join(format!("topazpath-address-{}", std::process::id()));
    let say = |what: &str| {
        let line = format!(
            "echo {what} $TOPAZPATH_ROUTER $TOPAZPATH_VRID $TOPAZPATH_ADDRESSES >> {}",
            file.display()
        );
        words(&["/bin/sh", "-c", &line])
    };
    let limit = Duration::from_secs(20);
    let means = Means::Command { take: say("take"), release: say("release"), limit };
    let mut address = address(&means, &router(), vec!["127.0.0.1:0".parse().unwrap()]);
    address.take(Instant::now());
    drop(until(&mut address, here));
    address.release(Instant::now());
    until(&mut address, |progress| matches!(progress, Progress::Gone).then_some(()));
    let said = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    assert_eq!(said, "take a 9 192.0.2.1 192.0.2.2\nrelease a 9 192.0.2.1 192.0.2.2\n");
}

#[test]
fn a_command_that_fails_is_started_again_after_a_pause() {
    let file = std::env::temp_dir().join(format!("topazpath-again-{}", std::process::id()));
    let line = format!("echo x >> {}; exit 1", file.display());
    let (take, release) = (words(&["/bin/sh", "-c", &line]), words(&["/bin/true"]));
    let means = Means::Command { take, release, limit: Duration::from_secs(20) };
    let mut address = address(&means, &router(), vec![]);
    let start = Instant::now();
    address.take(start);
    (0..2).for_each(|_| drop(until(&mut address, failing)));
    assert!(start.elapsed() >= AGAIN);
    assert_eq!(std::fs::read_to_string(&file).unwrap(), "x\nx\n");
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn a_command_that_hangs_is_ended_and_one_that_fails_is_told() {
    let file = PathBuf::from("/nonexistent/program").display().to_string();
    for (take, expected) in [
        (words(&["/bin/sleep", "100"]), "longer than 30 ms"),
        (words(&["/bin/false"]), "exit status: 1"),
        (words(&[&file]), "No such file"),
    ] {
        let limit = if expected.contains("30 ms") { 30 } else { 20_000 };
        let (release, limit) = (words(&["/bin/true"]), Duration::from_millis(limit));
        let means = Means::Command { take, release, limit };
        let mut address = address(&means, &router(), vec![]);
        address.take(Instant::now());
        let why = until(&mut address, failing);
        assert!(why.contains(expected), "{why}");
    }
}
