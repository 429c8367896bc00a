//! Streams, event by event.

use proptest::prelude::*;
use relay::EventSplitter;
use relay::SplitError;

fn stream(ids: std::ops::Range<u64>) -> Vec<u8> {
    let events = ids.map(|id| format!("id: {id}\ndata: token {id}\n\n"));
    events.collect::<String>().into_bytes()
}

fn drain(splitter: &mut EventSplitter) -> Vec<u8> {
    let mut passed = Vec::new();
    while let Some(event) = splitter.next_event().unwrap() {
        passed.extend_from_slice(&event.bytes);
    }
    passed
}

proptest! {
    #[test]
    fn events_pass_whole_however_the_bytes_are_cut(
        cuts in proptest::collection::vec(1usize..40, 1..60),
    ) {
        let bytes = stream(1..20);
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts {
            let (head, tail) = rest.split_at(cut.min(rest.len()));
            splitter.push(head);
            passed.extend(drain(&mut splitter));
            prop_assert!(passed.is_empty() || passed.ends_with(b"\n\n"));
            rest = tail;
        }
        splitter.push(rest);
        passed.extend(drain(&mut splitter));
        prop_assert_eq!(passed, bytes);
        prop_assert!(!splitter.has_partial_event());
    }
}

#[test]
fn a_run_that_breaks_off_within_an_event_goes_on_after_the_last_whole_one() {
    let mut splitter = EventSplitter::resume_after(Some(3));
    splitter.push(&stream(4..6));
    splitter.push(b"id: 6\nda");
    drain(&mut splitter);
    assert!(splitter.has_partial_event());
    assert_eq!(splitter.last_id(), Some(5));
    splitter.discard_partial_event();
    splitter.push(&stream(6..8));
    assert_eq!(drain(&mut splitter), stream(6..8));
}

#[test]
fn an_event_that_comes_twice_is_an_error() {
    let mut splitter = EventSplitter::resume_after(Some(4));
    splitter.push(&stream(4..5));
    let e = splitter.next_event().unwrap_err();
    assert_eq!(e, SplitError::OutOfOrder { id: 4, last: 4 });
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\r\ndata: x\r\n\r\nid: 2\r\n");
    let event = splitter.next_event().unwrap().unwrap();
    assert_eq!(event.id, Some(1));
    assert_eq!(splitter.next_event().unwrap(), None);
}
