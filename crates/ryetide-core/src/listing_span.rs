//! For how long the source of the list of targets has answered, so that no live target lacks its
//! entry.

use std::time::Duration;

use crate::units::Moment;

/// Live targets have written their entries again this long after the source is back.
const COMPLETE_SPAN: Duration = Duration::from_secs(3);
/// The longest time between two answers that counts in full. A call may hang through an outage that
/// is over when it is answered.
const MAX_GAP: Duration = Duration::from_secs(1);

/// What a VM learns of the source of the list of targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SourceEvent {
    /// The source has answered.
    Answered,
    /// The source is unreachable, or was restored: entries of live targets may be missing.
    Lost,
}

/// The time for which the source has answered without interruption.
///
/// # Example
///
/// ```
/// use ryetide_core::listing_span::{ListingSpan, SourceEvent};
/// use ryetide_core::units::Moment;
///
/// let mut span = ListingSpan::default();
/// (0..=3).for_each(|second| span.record(Moment::from_millis(1_000 * second), SourceEvent::Answered));
/// assert!(span.is_complete());
/// span.record(Moment::from_millis(4_000), SourceEvent::Lost);
/// assert!(!span.is_complete());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ListingSpan {
    answered_at: Option<Moment>,
    span: Duration,
}

impl ListingSpan {
    /// Records what was learned of the source.
    pub fn record(&mut self, now: Moment, event: SourceEvent) {
        match event {
            SourceEvent::Answered => {
                let gap = self.answered_at.map_or(Duration::ZERO, |at| now.since(at));
                self.span += gap.min(MAX_GAP);
                self.answered_at = Some(now);
            }
            SourceEvent::Lost => *self = Self::default(),
        }
    }

    /// Returns whether a target that is not listed is gone.
    pub fn is_complete(&self) -> bool {
        self.span >= COMPLETE_SPAN
    }
}
