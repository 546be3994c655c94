//! Switches that turn off single safeguards, so that tests can show what each one prevents.
//!
//! All safeguards are on by default, and no setting of the daemon turns one off.

use serde::{Deserialize, Serialize};

/// Defines the switches and the list of their names.
macro_rules! safeguard_switches {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// The safeguards of the core; a mutation test turns off one at a time.
        #[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
        pub struct SafeguardSwitches { $($(#[$doc])* pub $name: bool),* }

        impl Default for SafeguardSwitches {
            fn default() -> Self {
                Self { $($name: true),* }
            }
        }

        impl SafeguardSwitches {
            /// The names of all switches.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($name)),*];

            /// Returns the switches with `name` turned off; none for an unknown name.
            pub fn without(name: &str) -> Option<Self> {
                let mut switches = Self::default();
                match name {
                    $(stringify!($name) => switches.$name = false,)*
                    _ => return None,
                }
                Some(switches)
            }
        }
    };
}

safeguard_switches! {
    /// A broken stream is resumed by request id; without this, the request is dispatched again.
    resume_only,
    /// The deadline, whether the target is leaving, and the revision are checked again right before
    /// the first byte.
    permit_recheck,
    /// Overlapping pieces of an answer are trimmed, and missing ones are requested again.
    offset_check,
    /// An answer ends only when every byte up to its length has been relayed.
    length_check,
    /// A refusal counts as "not run" only where the target's contract says so.
    refusal_contract,
    /// A request with an idempotency key waits for its claim before it asks for a slot.
    claim_first,
    /// A claim whose holder may still dispatch is never taken over.
    claim_kept,
    /// When the reply to a claim's write is lost, the write is repeated before anything runs.
    claim_settled,
    /// Only a higher revision replaces the one in force.
    revision_rises,
    /// When the reply to an edit's write is lost, the write is repeated under the same operation
    /// id.
    edit_settled,
    /// A higher tier is served and kept before a lower one.
    tier_order,
    /// When a request is shed for load, all waiting requests of lower tiers are shed with it.
    shed_below_first,
    /// A leaving target gets no grants.
    leaving_respected,
    /// A shutdown waits for running requests.
    drain_waits,
    /// Replies for an earlier incarnation of this VM are dropped.
    life_check,
    /// When a target is silent after the dispatch, the request is resumed within a time limit.
    silence_bound,
}
