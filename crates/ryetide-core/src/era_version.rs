//! Versions of a source that may be restored from an older copy of itself.
//!
//! A source numbers its changes. When it is restored from a copy, it continues from the copy's
//! number and gives out some numbers a second time, but reports a higher era; eras only rise. A
//! number is therefore meaningful only within its era. Every version that is stored or sent holds
//! both, with the era in the high bits, so that comparing two versions takes all of a later era as
//! newer.

use std::fmt;

/// The number of low bits of a packed version that hold the change number; the era has the bits
/// above.
const NUMBER_BITS: u32 = 44;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// The number of a source's change, and the era in which it was given out.
///
/// # Example
///
/// ```
/// use ryetide_core::era_version::EraVersion;
///
/// let before = EraVersion { era: 1, number: 55 };
/// let after = EraVersion { era: 2, number: 51 };
/// assert!(after.to_packed() > before.to_packed());
/// assert_eq!(EraVersion::from_packed(after.to_packed()), after);
/// // Without an era, the packed form is the number itself.
/// assert_eq!(EraVersion { era: 0, number: 55 }.to_packed(), 55);
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EraVersion {
    /// The source's era.
    pub era: u64,
    /// The number of the change in the era.
    pub number: u64,
}

impl EraVersion {
    /// Unpacks a version from the form that [`EraVersion::to_packed`] returns.
    pub fn from_packed(packed: u64) -> Self {
        Self { era: packed >> NUMBER_BITS, number: packed & NUMBER_MASK }
    }

    /// Returns the version packed into one number, ordered by era and then by number.
    pub fn to_packed(self) -> u64 {
        let greatest_era = u64::MAX >> NUMBER_BITS;
        self.era.min(greatest_era) << NUMBER_BITS | self.number.min(NUMBER_MASK)
    }
}

impl fmt::Display for EraVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(formatter, "{}", self.number),
            era => write!(formatter, "{era}:{}", self.number),
        }
    }
}
