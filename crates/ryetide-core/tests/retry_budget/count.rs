//! Counts retries as the limit states it: over all VMs, in any window.

use ryetide_core::{retry_budget::RetryRule, units::Moment};

/// When callers sent requests, and when requests reached a second or later target.
#[derive(Debug, Default)]
pub struct RetryCount {
    pub requests: Vec<Moment>,
    pub retries: Vec<Moment>,
}

/// The retries of one window.
#[derive(Clone, Copy, Debug)]
pub struct WindowCount {
    pub retries: usize,
    pub permitted: f64,
}

impl WindowCount {
    /// The part of what is permitted that was sent.
    pub fn used(&self) -> f64 {
        self.retries as f64 / self.permitted
    }
}

impl RetryCount {
    /// Returns the window in which the largest part of what is permitted was sent. It starts with a
    /// retry, since a later start leaves one out.
    pub fn worst(&self, rule: &RetryRule) -> Option<WindowCount> {
        let windows = self.retries.iter().map(|from| self.window(*from, rule));
        windows.max_by(|a, b| a.used().total_cmp(&b.used()))
    }

    /// Counts the window from `from` on. Requests count in that window, in the one before it or in
    /// the one half a window before, whichever has most.
    pub fn window(&self, from: Moment, rule: &RetryRule) -> WindowCount {
        let (span, half) = (rule.window, rule.window / 2);
        let starts = [from, from.before(half), from.before(span)];
        let requests = starts.into_iter().map(|start| within(&self.requests, start, span));
        let most = requests.max().unwrap_or(0) as f64;
        let retries = within(&self.retries, from, span);
        WindowCount { retries, permitted: most * rule.share + rule.slack }
    }
}

/// Counts the moments, which are in order, in the window of length `span` from `from` on.
fn within(moments: &[Moment], from: Moment, span: std::time::Duration) -> usize {
    let index = |at: Moment| moments.partition_point(|it| *it < at);
    index(from + span) - index(from)
}
