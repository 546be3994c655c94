//! Rings and answer buffers are bounded, and closing one end of a ring is reported at the other.
#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::Duration;

use bytes::Bytes;
use ryetide::{
    answer_buffer::{self, AnswerBuffer, AnswerOverflow, AnswerPart, WholeBody},
    ring::{self, RingClosed},
    settings::DaemonSettings,
};
use ryetide_core::units::ByteSize;

fn piece(length: usize) -> AnswerPart {
    AnswerPart::Piece(Bytes::from(vec![b'x'; length]))
}

/// Guards against values that are lost or reordered when a ring is full.
#[tokio::test(start_paused = true)]
async fn a_full_ring_makes_its_sender_wait() {
    let (sender, mut receiver) = ring::ring(2);
    assert_eq!((sender.try_send(1), sender.try_send(2)), (Ok(()), Ok(())));
    assert_eq!(sender.try_send(3), Err(3));
    let (sent, first) = tokio::join!(sender.send(3), receiver.recv());
    assert_eq!((sent, first), (Ok(()), Some(1)));
    drop(sender);
    assert_eq!(receiver.recv().await, Some(2));
    assert_eq!(receiver.recv().await, Some(3));
    assert_eq!(receiver.recv().await, None);
}

/// Guards against a sender that waits forever for room after its receiver was dropped.
#[tokio::test(start_paused = true)]
async fn a_sender_is_told_that_its_receiver_has_gone() {
    let (sender, receiver) = ring::ring(1);
    sender.try_send(1).unwrap();
    let dropping = async { drop(receiver) };
    let (sent, ()) = tokio::join!(sender.send(2), dropping);
    assert_eq!(sent, Err(RingClosed));
}

/// Guards against cutting off a caller that is only briefly slower than its engine, and against
/// buffering without bound for one that has read nothing for a second.
#[tokio::test(start_paused = true)]
async fn only_a_stalled_reader_is_cut_off() {
    let buffer = AnswerBuffer::new(ByteSize(100));
    assert_eq!(buffer.push(piece(150)), Ok(()));
    assert_eq!(buffer.next().await, Ok(piece(150)));
    assert_eq!(buffer.push(piece(150)), Ok(()));
    tokio::time::advance(Duration::from_millis(1_100)).await;
    assert_eq!(buffer.push(piece(1)), Err(AnswerOverflow));
    assert_eq!(buffer.next().await, Err(AnswerOverflow));
}

/// Guards against an active reader that holds more than four times the buffer limit.
#[tokio::test(start_paused = true)]
async fn no_reader_holds_more_than_four_buffers() {
    let buffer = AnswerBuffer::new(ByteSize(100));
    assert_eq!(buffer.push(piece(400)), Ok(()));
    assert_eq!(buffer.push(piece(1)), Err(AnswerOverflow));
}

/// Guards against an engine that sends without end and fills the memory with an answer that is handed
/// out in one piece.
#[test]
fn an_answer_in_one_piece_is_bounded() {
    let mut body = WholeBody::new(answer_buffer::ENGINE_ANSWER_LIMIT);
    let piece = vec![b'x'; 1 << 20];
    let taken = (0..100).take_while(|_| body.push(&piece).is_ok()).count();
    assert_eq!(taken, 4);
    assert_eq!(body.into_bytes().len(), 4 << 20);
}

/// Guards against a settings check that reports only the first error.
#[test]
fn all_faults_of_settings_are_found_in_one_run() {
    let text = "name: 'bad name'\ndata-centre: hall\ncallers: 127.0.0.1:80\noperators: \
                127.0.0.1:80\npeers: {address: nowhere, authority: a, certificate: c}\nplatform: \
                {table: 127.0.0.1:1}\nlimits: {body: 10, answer: 5}\nbogus: 1\n";
    let faults = DaemonSettings::parse(text).unwrap_err().0;
    let places: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    let expected =
        ["name", "text", "peers.address", "peers.key", "platform.list", "limits.body", "limits"];
    for path in expected {
        assert!(places.contains(&path), "{path} is missing from {faults:#?}");
    }
    assert!(faults.iter().any(|fault| fault.permitted.contains("apart from the callers'")));
    assert!(faults.iter().all(|fault| fault.line > 0 && !fault.permitted.is_empty()));
}
