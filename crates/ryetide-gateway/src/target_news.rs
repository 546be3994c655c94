//! What has changed among the targets, as one line of the log.
//!
//! Whoever asks why a request was placed at a target that had left needs to know when this VM believed what: which
//! targets came, began to leave and went, and as of which version of their table.

use std::fmt;

use ryetide_core::{ids::TargetName, target_load::TargetEntry};

/// Names that one line tells; of more only the number. A fleet's start brings all targets in one change.
const NAMES_TOLD: usize = 12;

/// Names of targets, written with commas between them and cut after twelve.
///
/// # Example
///
/// ```
/// use ryetide_gateway::target_news::NameList;
///
/// let names = |count: u32| NameList((0..count).map(|it| format!("t{it}").as_str().into()).collect());
/// assert_eq!(names(0).to_string(), "-");
/// assert_eq!(names(2).to_string(), "t0,t1");
/// assert!(names(14).to_string().ends_with("t11,+2"));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NameList(pub Vec<TargetName>);

impl fmt::Display for NameList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str("-");
        }
        for (place, name) in self.0.iter().take(NAMES_TOLD).enumerate() {
            let comma = if place == 0 { "" } else { "," };
            write!(formatter, "{comma}{name}")?;
        }
        match self.0.len().saturating_sub(NAMES_TOLD) {
            0 => Ok(()),
            more => write!(formatter, ",+{more}"),
        }
    }
}

/// How one list of targets differs from the one before.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetNews {
    /// Targets that were not there.
    pub arrived: NameList,
    /// Targets that have begun to leave.
    pub leaving: NameList,
    /// Targets that are not there any more.
    pub gone: NameList,
}

impl TargetNews {
    /// Compares two lists, each in the order of the names.
    pub fn between(before: &[TargetEntry], after: &[TargetEntry]) -> Self {
        let find = |list: &[TargetEntry], entry: &TargetEntry| {
            list.binary_search_by(|it| it.name.cmp(&entry.name)).ok()
        };
        let mut news = Self::default();
        for entry in after {
            let known = find(before, entry).map(|place| &before[place]);
            if known.is_none() {
                news.arrived.0.push(entry.name.clone());
            }
            if entry.leaving && known.is_none_or(|known| !known.leaving) {
                news.leaving.0.push(entry.name.clone());
            }
        }
        let gone = before.iter().filter(|entry| find(after, entry).is_none());
        news.gone.0 = gone.map(|entry| entry.name.clone()).collect();
        news
    }
}
