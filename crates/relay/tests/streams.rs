//! Splitting of streams into events.

use proptest::prelude::*;
use relay::EventSplitter;
use relay::SplitError;

fn stream(ids: std::ops::Range<u64>) -> Vec<u8> {
    let events = ids.map(|id| format!("id: {id}\ndata: token {id}\n\n"));
    events.collect::<String>().into_bytes()
}

fn forwarded_bytes(splitter: &mut EventSplitter) -> Vec<u8> {
    let mut forwarded = Vec::new();
    while let Some(event) = splitter.next_event().unwrap() {
        forwarded.extend_from_slice(&event.bytes);
    }
    forwarded
}

proptest! {
    #[test]
    fn events_are_forwarded_whole_however_the_bytes_are_split(
        cuts in proptest::collection::vec(1usize..40, 1..60),
    ) {
        let bytes = stream(1..20);
        let mut splitter = EventSplitter::default();
        let mut forwarded = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts {
            let (head, tail) = rest.split_at(cut.min(rest.len()));
            splitter.push(head);
            forwarded.extend(forwarded_bytes(&mut splitter));
            prop_assert!(forwarded.is_empty() || forwarded.ends_with(b"\n\n"));
            rest = tail;
        }
        splitter.push(rest);
        forwarded.extend(forwarded_bytes(&mut splitter));
        prop_assert_eq!(forwarded, bytes);
        prop_assert!(!splitter.has_partial_event());
    }
}

#[test]
fn a_stream_that_breaks_off_within_an_event_resumes_after_the_last_complete_one() {
    let mut splitter = EventSplitter::resume_after(Some(3));
    splitter.push(&stream(4..6));
    splitter.push(b"id: 6\nda");
    forwarded_bytes(&mut splitter);
    assert!(splitter.has_partial_event());
    assert_eq!(splitter.last_id(), Some(5));
    splitter.begin_next_response();
    splitter.push(&stream(6..8));
    assert_eq!(forwarded_bytes(&mut splitter), stream(6..8));
}

#[test]
fn a_repeated_event_id_is_an_error() {
    let mut splitter = EventSplitter::resume_after(Some(4));
    splitter.push(&stream(4..5));
    let e = splitter.next_event().unwrap_err();
    assert_eq!(e, SplitError::OutOfOrder { id: 4, last: 4 });
}

#[test]
fn lines_may_end_with_carriage_return_and_line_feed() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\r\ndata: x\r\n\r\nid: 2\r\n");
    let event = splitter.next_event().unwrap().unwrap();
    assert_eq!(event.id, Some(1));
    assert_eq!(splitter.next_event().unwrap(), None);
}
