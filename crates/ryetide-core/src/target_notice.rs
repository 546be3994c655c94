//! Notices that targets give about themselves in the headers of their answers.
//!
//! A target that is leaving says so in the registry and in each answer. While the registry's source
//! is unreachable or slow, the answers are the only way to learn of it, and the VM that receives
//! the notice first forwards it to the others. A notice of leaving stays in force, whatever an
//! older entry of the registry says.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::TargetKey,
    units::{Moment, RequestRate},
};

/// How long a notice of leaving is remembered after it was last given. This is longer than targets
/// take to leave. Where targets keep their names when they restart, a restarted one gets requests
/// again after this time at the latest.
const NOTICE_TTL: Duration = Duration::from_secs(600);
/// The number of notices that are remembered; beyond it the oldest is dropped.
const NOTICES_LIMIT: usize = 1_024;
/// The number of notices in a digest.
const REPORTED_LIMIT: usize = 64;
/// The longest back-off that a target may request; the limit keeps sums of times finite.
pub const LONGEST_HOLD_OFF: Duration = Duration::from_secs(86_400);

/// The notices in one answer of a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct TargetNotice {
    /// Whether the target is leaving.
    pub leaving: bool,
    /// For this long the target asks this VM to send it no requests.
    pub hold_off: Option<Duration>,
    /// The request rate limit that the target announces.
    pub limit: LimitNotice,
    /// Whether the target is brittle: it falls over if it has to turn away too many requests.
    pub brittle: bool,
}

/// What one answer says about the target's limit: the requests a second that it accepts from all
/// VMs together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub enum LimitNotice {
    /// The answer announces no limit.
    #[default]
    Unnamed,
    /// The target accepts at most this rate.
    Named(RequestRate),
    /// The answer announces a limit that cannot be read; the limit known before stays in force.
    Unreadable,
}

impl LimitNotice {
    /// Reads the values of the header that announces a limit. The lowest of several applies.
    pub fn read<'a>(values: impl Iterator<Item = Option<&'a str>>) -> Self {
        let mut notice = Self::Unnamed;
        for value in values {
            let Some(rate) = value.and_then(|text| text.parse::<RequestRate>().ok()) else {
                return Self::Unreadable;
            };
            notice = match notice {
                Self::Named(least) => Self::Named(rate.min(least)),
                Self::Unnamed | Self::Unreadable => Self::Named(rate),
            };
        }
        notice
    }

    /// Returns the limit, if one is announced.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            Self::Named(rate) => Some(rate),
            Self::Unnamed | Self::Unreadable => None,
        }
    }
}

impl TargetNotice {
    /// Returns whether there is no notice but that the target is brittle, which all answers repeat.
    pub fn is_empty(&self) -> bool {
        Self { brittle: false, ..*self } == Self::default()
    }
}

/// A target that has announced that it is leaving, as VMs report it to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LeavingReport {
    /// The target.
    pub target: TargetKey,
    /// How much longer the notice is remembered, in milliseconds.
    pub left_ms: u32,
}

/// The targets that have announced that they are leaving, and until when each notice is remembered.
#[derive(Debug, Default)]
pub struct LeavingNotices {
    expiries: BTreeMap<TargetKey, Moment>,
}

impl LeavingNotices {
    /// Records that a target has told this VM that it is leaving; returns whether that is new.
    pub fn record(&mut self, now: Moment, target: TargetKey) -> bool {
        self.insert(target, now + NOTICE_TTL)
    }

    /// Records a peer's report; returns whether that is new. A repeated report does not extend the
    /// time for which a notice is remembered, because VMs would then keep the notice alive between
    /// them forever.
    pub fn merge(&mut self, now: Moment, report: LeavingReport) -> bool {
        let left = Duration::from_millis(u64::from(report.left_ms)).min(NOTICE_TTL);
        !left.is_zero() && !self.contains(report.target) && self.insert(report.target, now + left)
    }

    fn insert(&mut self, target: TargetKey, until: Moment) -> bool {
        let is_new = self.expiries.insert(target, until).is_none();
        if self.expiries.len() > NOTICES_LIMIT {
            let oldest = self.expiries.iter().min_by_key(|(_, until)| **until);
            if let Some(oldest) = oldest.map(|(target, _)| *target) {
                self.expiries.remove(&oldest);
            }
        }
        is_new
    }

    /// Drops a target's notice, because it has restarted under its name or stays after all.
    pub fn forget(&mut self, target: TargetKey) {
        self.expiries.remove(&target);
    }

    /// Returns whether a target has announced that it is leaving.
    pub fn contains(&self, target: TargetKey) -> bool {
        self.expiries.contains_key(&target)
    }

    /// Returns the targets that have announced that they are leaving.
    pub fn all(&self) -> Vec<TargetKey> {
        self.expiries.keys().copied().collect()
    }

    /// Drops expired notices, and returns their targets.
    pub fn expire(&mut self, now: Moment) -> Vec<TargetKey> {
        let expired = self.expiries.extract_if(.., |_, until| *until <= now);
        expired.map(|(target, _)| target).collect()
    }

    /// Returns the reports for peers: the targets among `unregistered` that have announced that
    /// they are leaving. `unregistered` are those whose registry entries do not say so.
    pub fn reports(
        &self,
        now: Moment,
        unregistered: impl Iterator<Item = TargetKey>,
    ) -> Vec<LeavingReport> {
        let report = |target: TargetKey| {
            let left = self.expiries.get(&target)?.since(now);
            let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            Some(LeavingReport { target, left_ms })
        };
        unregistered.filter_map(report).take(REPORTED_LIMIT).collect()
    }
}
