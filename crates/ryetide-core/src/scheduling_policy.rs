//! Which of the optional scheduling policies are in effect for a service.
//!
//! The policies keep state about each target: failures that peers report, granted slots, forecasts
//! of free slots, engine time. This state must not pass to a target's next incarnation. Where
//! targets do not announce incarnations, a target that restarts under its old name cannot be told
//! from the earlier one, so by default the policies are off there.

use std::fmt;

/// Whether a policy is in effect.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PolicySwitch {
    /// In effect for services whose targets announce their incarnations.
    #[default]
    Auto,
    /// In effect for all services.
    On,
    /// Not in effect.
    Off,
}

impl PolicySwitch {
    /// The permitted texts, for error messages.
    pub const PERMITTED: &str = "auto, on or off";

    /// Returns whether the policy is in effect for a service.
    pub fn is_on(self, announces_incarnations: bool) -> bool {
        match self {
            Self::Auto => announces_incarnations,
            Self::On => true,
            Self::Off => false,
        }
    }
}

impl fmt::Display for PolicySwitch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Auto => "auto",
            Self::On => "on",
            Self::Off => "off",
        })
    }
}

impl std::str::FromStr for PolicySwitch {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "auto" => Ok(Self::Auto),
            "on" => Ok(Self::On),
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
/// assert!(policy.for_service(true).ejection);
/// assert!(!policy.for_service(true).overflow);
/// assert!(!policy.for_service(false).ejection);
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
    /// Returns the policies in effect for a service.
    pub fn for_service(&self, announces_incarnations: bool) -> ServicePolicy {
        ServicePolicy {
            ejection: self.ejection.is_on(announces_incarnations),
            overflow: self.overflow.is_on(announces_incarnations),
            return_times: self.return_times.is_on(announces_incarnations),
            fair_shares: self.fair_shares.is_on(announces_incarnations),
        }
    }
}

/// The policies in effect for one service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServicePolicy {
    /// Ejection of targets that fail requests.
    pub ejection: bool,
    /// Use of free slots of other cells.
    pub overflow: bool,
    /// Retry delays booked from a forecast of free slots.
    pub return_times: bool,
    /// Fair shares of scarce slots among organisations.
    pub fair_shares: bool,
}
