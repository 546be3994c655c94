//! Tests of the ends and ids of server-sent events.

use ryetide_core::event_tracker::EventTracker;

fn scan_whole(stream: &[u8]) -> EventTracker {
    let mut tracker = EventTracker::default();
    tracker.scan(stream);
    tracker
}

#[test]
fn each_line_end_ends_an_event() {
    for end in ["\n", "\r\n", "\r"] {
        let stream = format!("id: 1{end}data: a{end}{end}id: 2{end}data: b{end}{end}");
        let tracker = scan_whole(stream.as_bytes());
        assert_eq!((tracker.events(), tracker.last_id()), (2, Some("2")), "{stream:?}");
        assert!(!tracker.is_inside_event(), "{stream:?}");
    }
}

#[test]
fn a_line_feed_after_a_carriage_return_in_the_next_piece_ends_no_line() {
    let mut tracker = EventTracker::default();
    assert_eq!(tracker.scan(b"id: 1\r"), None);
    assert_eq!(tracker.scan(b"\ndata: a\r"), None);
    assert_eq!(tracker.scan(b"\n\r"), Some(2));
    assert_eq!(tracker.scan(b"\n"), Some(1));
    assert_eq!(tracker.events(), 1);
}

#[test]
fn comments_and_retry_lines_stand_for_themselves() {
    for stream in [": ping\n", "retry: 10\n", "retry\n", "data: a\n\n: ping\n", "\u{feff}: ping\n"]
    {
        assert!(!scan_whole(stream.as_bytes()).is_inside_event(), "{stream:?}");
    }
}

/// Guards against a stream that broke off inside an event and seems complete.
#[test]
fn fields_and_unfinished_lines_are_inside_an_event() {
    for stream in ["d", ": pin", "retry: 1", "id: 1\n", "event: x\n: ping\n", "version: 3\r"] {
        assert!(scan_whole(stream.as_bytes()).is_inside_event(), "{stream:?}");
    }
}

#[test]
fn an_event_without_an_id_keeps_the_last_one() {
    let tracker = scan_whole(b"id:7\ndata: a\n\ndata: b\n\nid: 9\ndata");
    assert_eq!((tracker.events(), tracker.last_id()), (2, Some("7")));
}

#[test]
fn a_dropped_event_leaves_no_trace() {
    let mut tracker = scan_whole(b"id: 1\ndata: a\n\nid: 2\nda");
    tracker.drop_partial();
    assert!(!tracker.is_inside_event());
    tracker.scan("\u{feff}data: b\n\n".as_bytes());
    assert_eq!((tracker.events(), tracker.last_id()), (2, Some("1")));
}

/// Guards against findings that depend on how the bytes were split on their way.
#[test]
fn pieces_of_any_size_give_the_same_events() {
    let lines = ["id: 1", "data: a", "", ": ping", "id: 2", "data: b", "", "retry: 5", "data"];
    bolero::check!().with_type::<(Vec<u8>, Vec<u8>)>().for_each(|(ends, cuts)| {
        let ends = ends.iter().map(|end| ["\n", "\r\n", "\r"][usize::from(*end) % 3]);
        let stream: String =
            lines.iter().cycle().zip(ends).map(|(line, end)| format!("{line}{end}")).collect();
        let whole = scan_whole(stream.as_bytes());
        let mut pieces = EventTracker::default();
        let mut rest = stream.as_bytes();
        for cut in cuts {
            let (piece, left) = rest.split_at(usize::from(*cut).min(rest.len()));
            pieces.scan(piece);
            rest = left;
        }
        pieces.scan(rest);
        assert_eq!(pieces.events(), whole.events());
        assert_eq!(pieces.last_id(), whole.last_id());
        assert_eq!(pieces.is_inside_event(), whole.is_inside_event());
    });
}
