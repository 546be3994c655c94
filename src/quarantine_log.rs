//! The lines that tell how quarantines of requests that crash targets begin and end.

use ryetide_core::{crash_ledger::QuarantineNews, ids::VmName};

/// Writes the line for `news` of the VM `vm`.
pub fn write(vm: &VmName, news: &QuarantineNews) {
    match news {
        QuarantineNews::Blamed(print, evidence) => tracing::warn!(
            event = "quarantine-begun",
            %vm,
            %print,
            crashes = evidence.crashes,
            blamed = evidence.blamed,
            elsewhere = evidence.elsewhere,
            targets = evidence.targets,
            chance_ppb = evidence.chance_ppb,
        ),
        QuarantineNews::Heard(print) => tracing::info!(event = "quarantine-heard", %vm, %print),
        QuarantineNews::Cleared(print) => {
            tracing::warn!(event = "quarantine-ended", %vm, %print, reason = "answered");
        }
        QuarantineNews::Expired(print) => {
            tracing::info!(event = "quarantine-ended", %vm, %print, reason = "not asked for");
        }
    }
}
