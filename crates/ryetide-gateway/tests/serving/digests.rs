//! Digests that one VM passes on to the others of its data centre.

use std::time::Duration;

use ryetide_core::{
    ids::{Incarnation, VmName},
    load_digest::{DigestScope, LoadDigest},
    units::LinkRate,
};
use ryetide_gateway::{
    peer_link::{self, PeerEnvelope, PeerMessage},
    ports::{FleetUpdate, PeerEntry, PeerSecret},
};
use tokio::{net::UdpSocket, time};

use crate::support::{self, Gateway};

const OWN_SECRET: PeerSecret = [1; 32];
const DATAGRAM_LIMIT: usize = 4_096;
/// Longer than a datagram needs from one socket of this machine to another, many times over.
const QUIET: Duration = Duration::from_millis(300);

/// A peer of the gateway, spoken for by the test.
struct TestPeer {
    entry: PeerEntry,
    socket: UdpSocket,
}

impl TestPeer {
    async fn new(name: &str, data_centre: &str, key: u8) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let address = socket.local_addr().expect("an address");
        let data_centre = data_centre.into();
        let entry = PeerEntry {
            name: name.into(),
            data_centre,
            address,
            secret: [key; 32],
            link: LinkRate(0),
            kept: Vec::new(),
        };
        Self { entry, socket }
    }

    async fn send(&self, gateway: &Gateway, message: PeerMessage) -> Vec<u8> {
        let envelope = PeerEnvelope { from: self.entry.name.clone(), message };
        let datagram = peer_link::seal(&self.entry.secret, &envelope).expect("a message");
        self.socket.send_to(&datagram, gateway.peers).await.expect("an open socket");
        datagram
    }

    /// Returns the datagram that the gateway has passed on here, once one comes.
    async fn passed_on(&self) -> Vec<u8> {
        let mut buffer = [0; DATAGRAM_LIMIT];
        loop {
            let (length, _) = self.socket.recv_from(&mut buffer).await.expect("an open socket");
            // Datagrams from before the gateway knew its secret cannot be opened.
            let Ok(envelope) = peer_link::open(&buffer[..length], |_| Some(OWN_SECRET)) else {
                continue;
            };
            if let PeerMessage::PassedOn(passed) = envelope.message {
                return passed.first().expect("a datagram").to_vec();
            }
        }
    }
}

fn brief(sequence: u64) -> LoadDigest {
    LoadDigest {
        incarnation: Incarnation(1),
        sequence,
        scope: DigestScope::Brief,
        data_centre: Some("hall-b".into()),
        ..LoadDigest::default()
    }
}

/// A gateway of `hall-a` with a neighbour there and a peer in `hall-b`.
async fn start() -> (Gateway, TestPeer, TestPeer) {
    let gateway = Gateway::start().await;
    let near = TestPeer::new("e2", "hall-a", 2).await;
    let far = TestPeer::new("f1", "hall-b", 3).await;
    gateway.tell(FleetUpdate::OwnSecret(OWN_SECRET)).await;
    gateway.tell(FleetUpdate::Peers(vec![near.entry.clone(), far.entry.clone()])).await;
    (gateway, near, far)
}

/// Sends a digest that is to be passed on until it has been: the gateway may not have taken the list of its peers
/// yet when the first one comes.
async fn pass_through(gateway: &Gateway, near: &TestPeer, far: &TestPeer) -> (Vec<u8>, Vec<u8>) {
    let mut sequence = 0;
    loop {
        sequence += 1;
        let sent = far.send(gateway, PeerMessage::PassOn(brief(sequence))).await;
        if let Ok(passed) = time::timeout(QUIET, near.passed_on()).await {
            return (sent, passed);
        }
    }
}

/// A VM of another data centre tells one VM here of its load, to be passed on. The neighbour gets the very bytes
/// that were sent, so that it can check whose they are, and need not believe the VM in between.
#[test]
fn a_digest_is_passed_on_as_its_sender_has_signed_it() {
    support::run(async {
        let (gateway, near, far) = start().await;
        let (sent, passed) = pass_through(&gateway, &near, &far).await;
        assert_eq!(passed, sent);
        let secret = far.entry.secret;
        let secret_of = |name: &VmName| (*name == far.entry.name).then_some(secret);
        let envelope = peer_link::open(&passed, secret_of).expect("the sender's own hash");
        assert!(matches!(envelope.message, PeerMessage::PassOn(_)));
    });
}

/// What the neighbour has passed on here goes no further: two VMs that passed on what they get from each other
/// would never stop.
#[test]
fn what_was_passed_on_goes_no_further() {
    support::run(async {
        let (gateway, near, far) = start().await;
        let (sent, _) = pass_through(&gateway, &near, &far).await;
        near.send(&gateway, PeerMessage::PassedOn(vec![sent.into()])).await;
        assert!(time::timeout(QUIET, near.passed_on()).await.is_err());
    });
}
