//! The wire encoding of messages, with fixed frames of version 1 that all later builds must decode.

use ryetide_core::{
    ids::{RequestSequence, TargetKey},
    message::{self, FrameError, HeartbeatMessage, IncarnationTag, PeerMessage, RequestRef},
    units::Revision,
};

fn ask() -> RequestRef {
    RequestRef { incarnation: IncarnationTag(0xbeef), sequence: RequestSequence(300) }
}

/// Returns messages with their frames as encoded by the first build of version 1.
fn version_1_frames() -> Vec<(PeerMessage, &'static [u8])> {
    let heartbeat = HeartbeatMessage { revision: Revision(7), leaving: true, loads: Vec::new() };
    vec![
        (PeerMessage::Heartbeat(heartbeat), &[1, 0, 7, 1, 0]),
        (
            PeerMessage::Grant { ask: ask(), target: TargetKey(9) },
            &[1, 3, 0xef, 0xfd, 2, 0xac, 2, 9],
        ),
        (PeerMessage::Queued { ask: ask() }, &[1, 4, 0xef, 0xfd, 2, 0xac, 2]),
        (PeerMessage::ConfigurationPull, &[1, 8]),
    ]
}

#[test]
fn version_1_frames_are_encoded_and_decoded_unchanged() {
    for (message, frame) in version_1_frames() {
        assert_eq!(message::encode(&message), frame, "{message:?}");
        assert_eq!(message::decode(frame).as_ref(), Ok(&message));
    }
}

/// Guards against a failure of connections between daemons of different versions. A newer daemon
/// may append bytes to a message, send an unknown message or use another frame version. An older
/// daemon ignores the extra bytes and returns an error for the others, after which it reads the
/// next frame.
#[test]
fn frames_of_newer_daemons_are_decoded_or_rejected() {
    let extended = [1, 0, 7, 1, 0, 42, 42];
    assert!(matches!(message::decode(&extended), Ok(PeerMessage::Heartbeat(_))));
    assert!(matches!(message::decode(&[1, 99, 0]), Err(FrameError::Body(_))));
    assert_eq!(message::decode(&[2, 0]), Err(FrameError::Version(2)));
    assert_eq!(message::decode(&[]), Err(FrameError::Empty));
}

#[test]
fn any_bytes_are_read_without_a_panic() {
    bolero::check!().for_each(|bytes| {
        if let Ok(message) = message::decode(bytes) {
            let again = message::decode(&message::encode(&message));
            assert_eq!(again, Ok(message));
        }
    });
}
