//! Tests that VMs of two releases can exchange messages during an upgrade of the fleet.

use std::time::Duration;

use ring::hmac;
use ryetide_core::{
    crash_ledger::{CrashLedger, CrashUpdate, CrashedRun},
    crash_suspect::RequestFeatures,
    ids::{
        DataCentreName, Incarnation, OrganisationKey, ServiceKey, TargetKey, VersionKey, VmName,
    },
    load_digest::{DigestScope, LoadDigest, PlacedPrompt, QueueReport, TargetReport},
    policy_update::PolicyUpdate,
    prompt_part::{PartId, PromptPart},
    request_fingerprint::RequestFingerprint,
    stream_origin::{OriginRecord, StreamKey, StreamOrigin},
    target_limit::LimitReport,
    target_notice::LeavingReport,
    units::{Moment, RequestRate, Revision},
    watcher_selection::WatchReport,
};
use ryetide_gateway::peer_link::{self, PeerEnvelope, PeerMessage};
use serde::{Deserialize, Serialize};

const SECRET: [u8; 32] = [7; 32];
const TAG_LENGTH: usize = 16;

/// A digest in the encoding of the release before rollouts.
#[derive(Debug, Default, Deserialize, PartialEq, Serialize)]
struct EarlierDigest {
    incarnation: Incarnation,
    sequence: u64,
    leaving: bool,
    scope: DigestScope,
    data_centre: Option<DataCentreName>,
    revision: Revision,
    registry: u64,
    watch: Option<WatchReport>,
    targets: Vec<TargetReport>,
    waiting: Vec<QueueReport>,
    spent: Vec<(OrganisationKey, u64)>,
    placed: Vec<PlacedPrompt>,
    crashes: CrashUpdate,
    leaving_targets: Vec<LeavingReport>,
}

#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum EarlierMessage {
    Digest(EarlierDigest),
}

#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierEnvelope {
    from: VmName,
    message: EarlierMessage,
}

fn earlier() -> EarlierEnvelope {
    let digest = EarlierDigest {
        incarnation: Incarnation(3),
        sequence: 9,
        data_centre: Some("hall-a".into()),
        revision: Revision(14),
        ..EarlierDigest::default()
    };
    EarlierEnvelope { from: "e1".into(), message: EarlierMessage::Digest(digest) }
}

#[test]
fn a_digest_of_the_previous_release_is_decoded() {
    let body = postcard::to_allocvec(&earlier()).expect("an encodable message");
    let key = hmac::Key::new(hmac::HMAC_SHA256, &SECRET);
    let mut datagram = hmac::sign(&key, &body).as_ref()[..TAG_LENGTH].to_vec();
    datagram.extend_from_slice(&body);
    let PeerEnvelope { from, message } =
        peer_link::open(&datagram, |_| Some(SECRET)).expect("a decodable message");
    let PeerMessage::Digest(digest) = message else { panic!("not a digest: {message:?}") };
    assert_eq!((from.as_str(), digest.sequence), ("e1", 9));
    assert_eq!((digest.revision, digest.rollouts.len()), (Revision(14), 0));
}

#[test]
fn the_previous_release_decodes_a_digest_of_this_release() {
    let digest = LoadDigest {
        incarnation: Incarnation(3),
        sequence: 9,
        data_centre: Some("hall-a".into()),
        revision: Revision(14),
        ..LoadDigest::default()
    };
    let envelope = PeerEnvelope { from: "e1".into(), message: PeerMessage::Digest(digest) };
    let datagram = peer_link::seal(&SECRET, &envelope).expect("an encodable message");
    let read: EarlierEnvelope =
        postcard::from_bytes(&datagram[TAG_LENGTH..]).expect("a decodable message");
    assert_eq!(read, earlier());
}

/// Limits are the last field of a digest. A release that does not know them ignores the trailing
/// bytes.
#[test]
fn limits_are_decoded_by_this_release_and_ignored_by_the_previous_one() {
    let report = LimitReport { target: TargetKey(7), rate: Some(RequestRate(1_900)), age_ms: 40 };
    let digest =
        LoadDigest { incarnation: Incarnation(3), limits: vec![report], ..LoadDigest::default() };
    let envelope = PeerEnvelope { from: "e1".into(), message: PeerMessage::Digest(digest) };
    let datagram = peer_link::seal(&SECRET, &envelope).expect("an encodable message");
    let read = peer_link::open(&datagram, |_| Some(SECRET)).expect("a decodable message");
    let PeerMessage::Digest(digest) = read.message else { panic!("not a digest") };
    assert_eq!(digest.limits, [report]);
    let earlier: EarlierEnvelope =
        postcard::from_bytes(&datagram[TAG_LENGTH..]).expect("a decodable message");
    assert_eq!(earlier.from.as_str(), "e1");
}

/// Guards against VMs of the previous release that lose the digests of this one while a part of
/// prompts crashes targets.
#[test]
fn parts_in_crashes_are_decoded_by_this_release_and_ignored_by_the_previous_one() {
    let features = RequestFeatures {
        fingerprint: RequestFingerprint(7),
        parts: PromptPart::list(ServiceKey(1), &[PartId(0xa), PartId(0xbad)]),
    };
    let now = Moment::from_millis(1_000);
    let mut ledger = CrashLedger::default();
    let run = CrashedRun { features, ran: Duration::from_millis(80) };
    ledger.record_crash(now, TargetKey(5), &[run]);
    let crashes = ledger.own_update(now);
    let part_crashes = crashes.parts.clone();
    let policies = PolicyUpdate { part_crashes: part_crashes.clone(), ..PolicyUpdate::default() };
    let digest = LoadDigest { crashes, policies, ..LoadDigest::default() };
    let envelope = PeerEnvelope { from: "e1".into(), message: PeerMessage::Digest(digest) };
    let datagram = peer_link::seal(&SECRET, &envelope).expect("an encodable message");
    let read = peer_link::open(&datagram, |_| Some(SECRET)).expect("a decodable message");
    let PeerMessage::Digest(digest) = read.message else { panic!("not a digest") };
    assert_eq!(digest.policies.part_crashes, part_crashes);
    let earlier: EarlierEnvelope =
        postcard::from_bytes(&datagram[TAG_LENGTH..]).expect("a decodable message");
    let EarlierMessage::Digest(digest) = earlier.message;
    assert_eq!(digest.crashes.crashes.len(), 1);
}

/// Guards against reports of crashes that take a fleet's links: a crash on a full engine ends ten
/// runs, and each VM reports its own in several digests.
#[test]
fn a_report_of_a_crash_takes_at_most_a_hundred_bytes_for_each_run() {
    let mut ledger = CrashLedger::default();
    let runs = (0..10).map(|number| CrashedRun {
        features: RequestFeatures {
            fingerprint: RequestFingerprint(u64::MAX - number),
            parts: PromptPart::list(
                ServiceKey(u32::MAX),
                &[PartId(0xffff_fff0), PartId(0xffff_ffff)],
            ),
        },
        ran: Duration::from_millis(900),
    });
    let now = Moment::from_millis(1_000);
    ledger.record_crash(now, TargetKey(u32::MAX), &runs.collect::<Vec<CrashedRun>>());
    let crashes = ledger.own_update(now);
    let bytes = postcard::to_allocvec(&crashes).expect("an encodable report").len()
        + postcard::to_allocvec(&crashes.parts).expect("an encodable report").len();
    println!("{bytes} bytes for ten runs");
    assert!(bytes <= 1_000, "{bytes} bytes");
}

/// A truncated datagram must be rejected, although a message of an earlier release is shorter too
/// and is padded with zeros.
#[test]
fn a_truncated_message_is_rejected() {
    let digest = LoadDigest { spent: vec![(OrganisationKey(1), 700)], ..LoadDigest::default() };
    let envelope = PeerEnvelope { from: "e1".into(), message: PeerMessage::Digest(digest) };
    let datagram = peer_link::seal(&SECRET, &envelope).expect("an encodable message");
    for length in 0..datagram.len() {
        assert!(peer_link::open(&datagram[..length], |_| Some(SECRET)).is_err(), "{length} bytes");
    }
}

/// Guards against records of streams that take a fleet's links: each stream sends four.
#[test]
fn a_record_of_a_streams_origin_takes_at_most_a_hundred_bytes() {
    let origin = StreamOrigin { service: ServiceKey(u32::MAX), version: VersionKey(u32::MAX) };
    let record = OriginRecord { key: StreamKey(u128::MAX), origin, ttl_ms: 18_000 };
    let envelope =
        PeerEnvelope { from: "edge-rajkot-hall-1".into(), message: PeerMessage::Origin(record) };
    let datagram = peer_link::seal(&SECRET, &envelope).expect("a message");
    println!("{} bytes", datagram.len());
    assert!(datagram.len() <= 100, "{}", datagram.len());
}
