//! Versions of a source that may come back from a copy of itself.
//!
//! A source numbers its changes. When it comes back from a copy, its numbers go back and are given out again, and it tells
//! another era, which only rises. A number means nothing outside its era, so every version that is kept or told holds
//! both, the era first: whatever compares versions then takes all of a later era for newer.

use std::fmt;

/// The bits of a version that hold its number; the era has those above.
const NUMBER_BITS: u32 = 44;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// A number of a source's change, and the era in which it was given out.
///
/// # Example
///
/// ```
/// use ryetide_core::era_version::EraVersion;
///
/// let before = EraVersion { era: 1, number: 55 };
/// let after = EraVersion { era: 2, number: 51 };
/// assert!(after.joined() > before.joined());
/// assert_eq!(EraVersion::of(after.joined()), after);
/// // A source that tells no era has its numbers as they are.
/// assert_eq!(EraVersion { era: 0, number: 55 }.joined(), 55);
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EraVersion {
    /// The era.
    pub era: u64,
    /// The number in it.
    pub number: u64,
}

impl EraVersion {
    /// Reads a version from the one number that [`EraVersion::joined`] gives.
    pub fn of(joined: u64) -> Self {
        Self { era: joined >> NUMBER_BITS, number: joined & NUMBER_MASK }
    }

    /// Returns both as one number, which rises with either.
    pub fn joined(self) -> u64 {
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
