use super::*;

fn read(answer: &[u8]) -> AttemptResult {
    outcome(resp::parse(answer).unwrap().unwrap().0).unwrap()
}

#[test]
fn answers_map_to_outcomes_and_other_replies_are_errors() {
    let served = read(b"*3\r\n$2\r\n\r\n\r\n$14\r\nused=37,cost=4\r\n$-1\r\n");
    assert_eq!((served.outcome, served.used, served.elsewhere), (Outcome::Served, Some(0.37), 4.0));
    assert_eq!(served.value, b"\r\n");
    assert_eq!(read(b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n"), AttemptResult::without_reply(Outcome::Served));
    let failed = read(b"-ERR failed cost=2 inflight=7,util=0.6\r\n");
    assert_eq!((failed.outcome, failed.elsewhere), (Outcome::Error, 2.0));
    assert_eq!(read(b"-BUSY\r\n"), AttemptResult::without_reply(Outcome::Rejected));
    // A figure or a report that cannot be read is ignored by itself.
    for unreadable in
        [&b"*3\r\n$0\r\n\r\n$14\r\nused=-3,cost=x\r\n$3\r\n!!!\r\n"[..], b"*3\r\n$0\r\n\r\n:7\r\n+x\r\n"]
    {
        assert_eq!(read(unreadable), AttemptResult::without_reply(Outcome::Served));
    }
    for other in [
        &b"-BUSYGROUP\r\n"[..],
        b"-SYNTAX\r\n",
        b"+OK\r\n",
        b":5\r\n",
        b"$1\r\na\r\n",
        b"*1\r\n$1\r\na\r\n",
        b"*4\r\n$1\r\na\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*-1\r\n",
    ] {
        assert!(outcome(resp::parse(other).unwrap().unwrap().0).is_err(), "{other:?}");
    }
}

#[test]
fn a_long_answer_is_passed_on_in_pieces_and_read_to_its_end_for_any_split() {
    let value: Vec<u8> = (0..STREAM_THRESHOLD + 1).map(|at| at as u8).collect();
    let mut answer = b"*3\r\n".to_vec();
    resp::write_bulk(&mut answer, &value);
    answer.extend(b"$14\r\nused=37,cost=4\r\n$-1\r\n");
    for size in [1, 7, 4096, answer.len()] {
        let mut session = Session { value_left: None, may_stream: true };
        let (mut input, mut steps) = (Vec::new(), Vec::new());
        for piece in answer.chunks(size) {
            input.extend(piece);
            loop {
                match super::super::Session::input(&mut session, &mut input, &mut Vec::new()).unwrap() {
                    Step::Incomplete => break,
                    step => {
                        let ended = matches!(step, Step::Ended(_));
                        steps.push(step);
                        if ended {
                            break;
                        }
                    }
                }
            }
        }
        assert!(input.is_empty());
        assert_eq!(steps.remove(0), Step::LongAnswer(value.len()));
        let Some(Step::Ended(ended)) = steps.pop() else { panic!("no end") };
        assert_eq!((ended.outcome, ended.used, ended.elsewhere), (Outcome::Served, Some(0.37), 4.0));
        let received = steps.into_iter().map(|step| match step {
            Step::Data(piece) => piece,
            other => panic!("{other:?}"),
        });
        assert_eq!(received.flatten().collect::<Vec<_>>(), value);
    }
}

#[test]
fn a_command_is_forwarded_unchanged_except_for_the_remaining_time() {
    let content = Content {
        operation: Operation::Write,
        object: "7f3a9c21e0b4d655".into(),
        id: "9b1f03aa5c7e2d41".into(),
        attributes: "c=write,k=5c".into(),
        body: b"\r\n".to_vec(),
        body_stream: None,
        extent: None,
    };
    let arguments: [&[u8]; 5] =
        [b"OBJ.PUT", b"7f3a9c21e0b4d655", b"9b1f03aa5c7e2d41", b"c=write,k=5c,d=470", b"\r\n"];
    assert_eq!(encode(&content, Duration::from_micros(470_900)), resp::command(&arguments));
}
