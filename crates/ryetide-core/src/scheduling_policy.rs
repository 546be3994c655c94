//! The switches of the optional scheduling policies.
//!
//! The policies keep state about targets, by [`crate::ids::TargetKey`]. Where targets announce their
//! incarnations, a restart gives a target another key and so a new state. A target that restarts
//! under its old name without announcing it inherits the state, for a bounded time: what a policy
//! knows of a target expires or is corrected by what is seen of it.
//!
//! | policy | what a restarted target inherits | until |
//! |---|---|---|
//! | ejection | that it is ejected, or its failures | probes succeed; failures age, and a crash that a VM sees drops them |
//! | overflow | grants, and borrowed requests that have ended | the grants expire (450 ms), and the reports (1.5 s) |
//! | return times | nothing: forecasts are of a service | |
//! | fair shares | nothing: engine time is an organisation's | |

use std::fmt;

/// Whether a policy is in effect.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PolicySwitch {
    /// In effect.
    #[default]
    On,
    /// Not in effect.
    Off,
}

impl PolicySwitch {
    /// The permitted texts, for error messages.
    pub const PERMITTED: &str = "on or off";

    /// Returns whether the policy is in effect.
    pub fn is_on(self) -> bool {
        self == Self::On
    }
}

impl fmt::Display for PolicySwitch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::On => "on",
            Self::Off => "off",
        })
    }
}

impl std::str::FromStr for PolicySwitch {
    type Err = ();

    /// Reads a switch. `auto` is accepted for settings that were written when it was the default.
    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "on" | "auto" => Ok(Self::On),
            "off" => Ok(Self::Off),
            _ => Err(()),
        }
    }
}

/// The switches of all optional policies.
///
/// # Example
///
/// ```
/// use ryetide_core::scheduling_policy::{PolicySwitch, SchedulingPolicy};
///
/// let policy = SchedulingPolicy { overflow: PolicySwitch::Off, ..SchedulingPolicy::default() };
/// assert!(policy.ejection.is_on());
/// assert!(!policy.overflow.is_on());
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SchedulingPolicy {
    /// Ejection of targets that fail requests.
    pub ejection: PolicySwitch,
    /// Use of free slots of other cells.
    pub overflow: PolicySwitch,
    /// Retry delays booked from a forecast of free slots.
    pub return_times: PolicySwitch,
    /// Fair shares of scarce slots among organisations.
    pub fair_shares: PolicySwitch,
}

impl SchedulingPolicy {
    /// No policy is in effect.
    pub const OFF: Self = Self {
        ejection: PolicySwitch::Off,
        overflow: PolicySwitch::Off,
        return_times: PolicySwitch::Off,
        fair_shares: PolicySwitch::Off,
    };
}
