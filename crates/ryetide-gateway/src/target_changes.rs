//! Changes among the targets, for one log entry.
//!
//! To find out why a request was placed on a target that had left, one needs to know which targets
//! this VM saw arrive, start to leave and go, when, and as of which version of their table.

use std::fmt;

use ryetide_core::{ids::TargetName, target_load::TargetEntry};

/// The number of names that one log entry lists; of the others it gives the count. When a fleet
/// starts, one change may hold all targets.
const NAMES_LISTED: usize = 12;

/// A list of target names that is displayed with commas between them, and cut after twelve names.
///
/// # Example
///
/// ```
/// use ryetide_gateway::target_changes::NameList;
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
        for (index, name) in self.0.iter().take(NAMES_LISTED).enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(formatter, "{comma}{name}")?;
        }
        match self.0.len().saturating_sub(NAMES_LISTED) {
            0 => Ok(()),
            more => write!(formatter, ",+{more}"),
        }
    }
}

/// How one list of targets differs from the one before.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetChanges {
    /// Targets that are new.
    pub arrived: NameList,
    /// Targets that have started to leave.
    pub leaving: NameList,
    /// Targets that are no longer listed.
    pub gone: NameList,
}

impl TargetChanges {
    /// Compares two lists, each sorted by name.
    pub fn between(before: &[TargetEntry], after: &[TargetEntry]) -> Self {
        let find = |list: &[TargetEntry], entry: &TargetEntry| {
            list.binary_search_by(|it| it.name.cmp(&entry.name)).ok()
        };
        let mut changes = Self::default();
        for entry in after {
            let known = find(before, entry).map(|index| &before[index]);
            if known.is_none() {
                changes.arrived.0.push(entry.name.clone());
            }
            if entry.leaving && known.is_none_or(|known| !known.leaving) {
                changes.leaving.0.push(entry.name.clone());
            }
        }
        let gone = before.iter().filter(|entry| find(after, entry).is_none());
        changes.gone.0 = gone.map(|entry| entry.name.clone()).collect();
        changes
    }
}
