//! Digests that a VM relays to the others of its data centre.

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
/// Many times longer than a datagram needs between two sockets of this machine.
const DATAGRAM_TIMEOUT: Duration = Duration::from_millis(300);

/// A peer of the gateway that the test controls.
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
            quarantines: Vec::new(),
            versions: Vec::new(),
        };
        Self { entry, socket }
    }

    async fn send(&self, gateway: &Gateway, message: PeerMessage) -> Vec<u8> {
        let envelope = PeerEnvelope { from: self.entry.name.clone(), message };
        let datagram = peer_link::seal(&self.entry.secret, &envelope).expect("a message");
        self.socket.send_to(&datagram, gateway.peers).await.expect("an open socket");
        datagram
    }

    /// Returns the next datagram that the gateway relays to this peer.
    async fn next_relayed(&self) -> Vec<u8> {
        let mut buffer = [0; DATAGRAM_LIMIT];
        loop {
            let (length, _) = self.socket.recv_from(&mut buffer).await.expect("an open socket");
            // Datagrams sent before the gateway received its secret cannot be opened.
            let Ok(envelope) = peer_link::open(&buffer[..length], |_| Some(OWN_SECRET)) else {
                continue;
            };
            if let PeerMessage::Relayed(passed) = envelope.message {
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
    gateway.send_update(FleetUpdate::OwnSecret(OWN_SECRET)).await;
    gateway.send_update(FleetUpdate::Peers(vec![near.entry.clone(), far.entry.clone()])).await;
    (gateway, near, far)
}

/// Sends digests to be relayed until one has been relayed: when the first one arrives, the gateway
/// may not have applied the list of its peers yet.
async fn relay_one(gateway: &Gateway, near: &TestPeer, far: &TestPeer) -> (Vec<u8>, Vec<u8>) {
    let mut sequence = 0;
    loop {
        sequence += 1;
        let sent = far.send(gateway, PeerMessage::RelayRequest(brief(sequence))).await;
        if let Ok(relayed) = time::timeout(DATAGRAM_TIMEOUT, near.next_relayed()).await {
            return (sent, relayed);
        }
    }
}

/// Guards against relayed digests that the relaying VM could forge. A digest from another data
/// centre is relayed byte for byte, so that the receiver can verify the sender's hash.
#[test]
fn a_digest_is_relayed_as_its_sender_has_signed_it() {
    support::run(async {
        let (gateway, near, far) = start().await;
        let (sent, relayed) = relay_one(&gateway, &near, &far).await;
        assert_eq!(relayed, sent);
        let secret = far.entry.secret;
        let secret_of = |name: &VmName| (*name == far.entry.name).then_some(secret);
        let envelope = peer_link::open(&relayed, secret_of).expect("the sender's own hash");
        assert!(matches!(envelope.message, PeerMessage::RelayRequest(_)));
    });
}

/// Guards against an endless loop: two VMs that relay each other's relayed digests would never
/// stop.
#[test]
fn a_relayed_digest_is_not_relayed_again() {
    support::run(async {
        let (gateway, near, far) = start().await;
        let (sent, _) = relay_one(&gateway, &near, &far).await;
        near.send(&gateway, PeerMessage::Relayed(vec![sent.into()])).await;
        assert!(time::timeout(DATAGRAM_TIMEOUT, near.next_relayed()).await.is_err());
    });
}
