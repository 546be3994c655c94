//! Switches that turn single safeguards off, so that tests can show what each one prevents.
//!
//! All are on by default, and no setting of the daemon reaches them.

use serde::{Deserialize, Serialize};

/// Defines the switches together with the list of their names.
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

            /// Returns the switches with the named one turned off, or nothing for an unknown name.
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
    /// A broken stream is resumed by request id; off, the request is dispatched again.
    resume_only,
    /// Deadline, leaving and revision are looked at again right before the first byte.
    permit_recheck,
    /// A piece that overlaps or leaves a gap is trimmed or asked for again.
    offset_check,
    /// An answer ends only when every byte up to its length was passed on.
    length_check,
    /// A refusal counts as "not run" only where the target's contract says so.
    refusal_contract,
    /// A request with an idempotency key waits for its claim before it asks for a slot.
    claim_first,
    /// A claim whose holder may still dispatch is never taken over.
    claim_kept,
    /// A lost answer to a claim's write is settled by writing again before anything runs.
    claim_settled,
    /// Only a higher revision replaces the one in force.
    revision_rises,
    /// A lost answer to an edit's write is settled under the same operation id.
    edit_settled,
    /// A higher tier is served and kept before a lower one.
    tier_order,
    /// When a request is shed for load, everything waiting in lower tiers is shed with it.
    shed_below_first,
    /// A target that is leaving is granted to nobody.
    leaving_respected,
    /// A shutdown waits for what runs.
    drain_waits,
    /// Replies for an earlier life of this VM are dropped.
    life_check,
    /// Silence after the dispatch is met by resuming, within a bound.
    silence_bound,
}
