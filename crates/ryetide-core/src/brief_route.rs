//! By which way a brief digest reaches the VMs of other cells.
//!
//! Those of the own data centre get it directly. In every other data centre one VM gets it and passes it on
//! to the others there, so that it crosses between data centres once for each and not once for each VM:
//! there bytes are paid for. Nobody is elected for that: the sender draws one of those that it hears, anew
//! for each digest, so that one which has died or is frozen costs one digest in as many as there are VMs,
//! and the work is spread evenly. A data centre of which nobody is heard gets the digest directly, as many
//! times as it has VMs: after a start of all of them, or at the end of a cut, that is how they find each
//! other.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    cell_plan::CellMember,
    ids::{DataCentreName, VmName},
};

/// Data centres of fewer VMs than this get a digest directly: passing on would add a hop and spare nothing.
const LEAST_PASSED_ON: usize = 2;

/// Who gets one digest from its sender.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BriefRecipients {
    /// VMs that take it for themselves.
    pub direct: Vec<VmName>,
    /// VMs that pass it on to the others of their data centre besides, one for each.
    pub relays: Vec<VmName>,
}

/// Draws the way of each brief digest.
///
/// # Example
///
/// ```
/// use ryetide_core::{brief_route::BriefRoute, cell_plan::CellMember};
///
/// let member = |name: &str, centre: &str| CellMember { name: name.into(), data_centre: centre.into() };
/// let others = [member("a2", "hall-a"), member("b1", "hall-b"), member("b2", "hall-b")];
/// let mut route = BriefRoute::new(1);
/// let recipients = route.draw(&"hall-a".into(), &others, |_| true);
/// assert_eq!(recipients.direct, ["a2".into()]);
/// assert_eq!(recipients.relays.len(), 1);
/// ```
#[derive(Debug)]
pub struct BriefRoute {
    rng: SmallRng,
}

impl BriefRoute {
    /// Creates a source of ways; the same seed gives the same ones.
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }

    /// Draws who of `others` gets a digest from a VM of data centre `own`.
    pub fn draw(
        &mut self,
        own: &DataCentreName,
        others: &[CellMember],
        is_heard: impl Fn(&VmName) -> bool,
    ) -> BriefRecipients {
        let mut centres: BTreeMap<&DataCentreName, Vec<&VmName>> = BTreeMap::new();
        for member in others {
            centres.entry(&member.data_centre).or_default().push(&member.name);
        }
        let mut recipients = BriefRecipients::default();
        for (centre, vms) in centres {
            let heard: Vec<&VmName> = vms.iter().copied().filter(|vm| is_heard(vm)).collect();
            if centre == own || vms.len() < LEAST_PASSED_ON || heard.is_empty() {
                recipients.direct.extend(vms.into_iter().cloned());
            } else {
                let drawn = self.rng.random_range(0..heard.len());
                recipients.relays.push(heard[drawn].clone());
            }
        }
        recipients
    }
}
