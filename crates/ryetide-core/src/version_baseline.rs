//! What is known of the versions of a service that were in use before an order.
//!
//! The version that an order names needs a trial if another one was in use. A VM that has started
//! during an outage of the store cannot see that: the entries of the other version may be missing.
//! VMs therefore tell each other what they know, and store it with the order, so that the knowledge
//! outlasts each of them.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ServiceKey, VersionName},
    rollout_order::OrderNumber,
};

/// The greatest number of versions of one service that are kept as in use.
pub const VERSIONS_LIMIT: usize = 16;

/// How the versions in use are known; a later one outweighs an earlier one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum BaselineSource {
    /// They were listed beside the ordered version after the order had been given.
    Listed,
    /// They were in use when a VM learned of the order, since the completion of the order with this
    /// number; 0 if they existed before any order.
    InUse(OrderNumber),
}

/// The versions of a service, other than the ordered one, that were in use before an order.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct VersionBaseline {
    source: BaselineSource,
    /// In ascending order.
    versions: Vec<VersionName>,
}

impl VersionBaseline {
    /// Creates a baseline. There are no versions if the order names the only one in use.
    pub fn new(source: BaselineSource, mut versions: Vec<VersionName>) -> Self {
        versions.sort();
        versions.dedup();
        versions.truncate(VERSIONS_LIMIT);
        Self { source, versions }
    }

    /// Returns how the versions are known.
    pub fn source(&self) -> BaselineSource {
        self.source
    }

    /// Returns the versions.
    pub fn versions(&self) -> &[VersionName] {
        &self.versions
    }

    /// Returns whether no other version was in use, so that the ordered one needs no trial.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Adds what another VM knows. Of two VMs that know their versions in the same way, one may have
    /// missed a version, so both are right.
    pub fn merge(&mut self, other: &Self) {
        if other.source > self.source {
            *self = other.clone();
        } else if other.source == self.source {
            let both = self.versions.iter().chain(&other.versions).cloned().collect();
            *self = Self::new(self.source, both);
        }
    }

    /// Adds what another VM knows to what is known, if anything is.
    pub fn merge_into(known: &mut Option<Self>, learned: &Self) {
        match known {
            Some(known) => known.merge(learned),
            None => *known = Some(learned.clone()),
        }
    }

    /// Returns whether merging `other` would add nothing.
    pub fn covers(&self, other: &Self) -> bool {
        let mut merged = self.clone();
        merged.merge(other);
        merged == *self
    }
}

/// What a VM knows of the versions before an order, as reported to its peers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct BaselineReport {
    /// The service.
    pub service: ServiceKey,
    /// The order.
    pub number: OrderNumber,
    /// The versions.
    pub baseline: VersionBaseline,
    /// Whether the sender knows that the store holds them.
    pub is_stored: bool,
}
