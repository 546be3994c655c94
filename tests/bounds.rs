//! Rings and answer slots are bounded, and their ends end each other.
#![allow(clippy::unwrap_used, reason = "a test that cannot go on fails where it stands")]

use std::time::Duration;

use bytes::Bytes;
use ryetide::{
    answer_slot::{AnswerPart, AnswerSlot, SlotOverflow},
    ring::{self, RingClosed},
    settings::DaemonSettings,
};
use ryetide_core::units::ByteSize;

fn piece(length: usize) -> AnswerPart {
    AnswerPart::Piece(Bytes::from(vec![b'x'; length]))
}

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

#[tokio::test(start_paused = true)]
async fn a_sender_is_told_that_its_receiver_has_gone() {
    let (sender, receiver) = ring::ring(1);
    sender.try_send(1).unwrap();
    let gone = async { drop(receiver) };
    let (sent, ()) = tokio::join!(sender.send(2), gone);
    assert_eq!(sent, Err(RingClosed));
}

/// A caller has read nothing for a second and more than its buffer waits: it is cut off. One that is
/// only slower than its engine for a moment is not.
#[tokio::test(start_paused = true)]
async fn only_a_stalled_reader_is_cut_off() {
    let slot = AnswerSlot::new(ByteSize(100));
    assert_eq!(slot.push(piece(150)), Ok(()));
    assert_eq!(slot.next().await, Ok(piece(150)));
    assert_eq!(slot.push(piece(150)), Ok(()));
    tokio::time::advance(Duration::from_millis(1_100)).await;
    assert_eq!(slot.push(piece(1)), Err(SlotOverflow));
    assert_eq!(slot.next().await, Err(SlotOverflow));
}

#[tokio::test(start_paused = true)]
async fn no_reader_holds_more_than_four_buffers() {
    let slot = AnswerSlot::new(ByteSize(100));
    assert_eq!(slot.push(piece(400)), Ok(()));
    assert_eq!(slot.push(piece(1)), Err(SlotOverflow));
}

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
