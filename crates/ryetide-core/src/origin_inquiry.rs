//! Finds out from peers' replies which version a caller's stream goes on at.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ServiceKey, VersionKey, VmName},
    stream_origin::StreamOrigin,
    version_history::VersionsSeen,
};

/// A peer's reply to a question for a stream's origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum OriginReply {
    /// The peer knows what began the stream.
    Known(StreamOrigin),
    /// The peer does not, and has seen this of the service's versions.
    Unknown(VersionsSeen),
}

/// Where a stream may go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginVerdict {
    /// At the version that began it.
    At(StreamOrigin),
    /// At none: the version that began it cannot be told.
    Nowhere,
}

/// The replies to one question.
#[derive(Debug)]
pub struct OriginInquiry {
    service: ServiceKey,
    /// What this VM has seen of the service's versions.
    own: VersionsSeen,
    /// The peers whose replies are awaited, and the replies.
    replies: BTreeMap<VmName, Option<OriginReply>>,
}

impl OriginInquiry {
    /// Creates an inquiry about a stream of `service` that this VM does not know.
    pub fn new(
        service: ServiceKey,
        own: VersionsSeen,
        awaited: impl Iterator<Item = VmName>,
    ) -> Self {
        Self { service, own, replies: awaited.map(|vm| (vm, None)).collect() }
    }

    /// Adds a peer's reply.
    pub fn record(&mut self, from: &VmName, reply: OriginReply) {
        self.replies.insert(from.clone(), Some(reply));
    }

    /// Returns the peers that have not replied.
    pub fn unanswered(&self) -> impl Iterator<Item = &VmName> {
        self.replies.iter().filter(|(_, reply)| reply.is_none()).map(|(vm, _)| vm)
    }

    /// Returns the verdict if no reply that is still missing can change it.
    pub fn settled(&self) -> Option<OriginVerdict> {
        if let Some(origin) = self.known() {
            return Some(OriginVerdict::At(origin));
        }
        self.unanswered().next().is_none().then(|| self.verdict())
    }

    /// Returns the verdict without the missing replies.
    ///
    /// A VM that hears no peer may lack versions that those have seen, and a stream that nobody knows
    /// must not go on at a version which did not begin it.
    pub fn verdict(&self) -> OriginVerdict {
        if let Some(origin) = self.known() {
            return OriginVerdict::At(origin);
        }
        let heard = self.replies.values().flatten().filter_map(|reply| match reply {
            OriginReply::Known(_) => None,
            OriginReply::Unknown(seen) => Some(*seen),
        });
        let heard: Vec<VersionsSeen> = heard.collect();
        if heard.is_empty() && !self.replies.is_empty() {
            return OriginVerdict::Nowhere;
        }
        match only_version(heard.into_iter().chain([self.own])) {
            Some(version) => OriginVerdict::At(StreamOrigin { service: self.service, version }),
            None => OriginVerdict::Nowhere,
        }
    }

    fn known(&self) -> Option<StreamOrigin> {
        self.replies.values().flatten().find_map(|reply| match reply {
            OriginReply::Known(origin) => Some(*origin),
            OriginReply::Unknown(_) => None,
        })
    }
}

/// Returns the version if all have seen that one alone, and one of them knows that there was no other.
///
/// VMs that have all just started see what is there now. Another version may have begun the stream and
/// have gone since, and the stream would be joined from two versions.
fn only_version(seen: impl Iterator<Item = VersionsSeen>) -> Option<VersionKey> {
    let mut found = None;
    let mut is_known = false;
    for seen in seen {
        let version = match seen {
            VersionsSeen::Nothing => continue,
            VersionsSeen::Several => return None,
            VersionsSeen::Only(version) => {
                is_known = true;
                version
            }
            VersionsSeen::OnlyYet(version) => version,
        };
        if found.replace(version).is_some_and(|before| before != version) {
            return None;
        }
    }
    found.filter(|_| is_known)
}
