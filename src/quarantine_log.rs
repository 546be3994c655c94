//! The lines that tell how quarantines of requests that crash targets begin and end.

use ryetide_core::{crash_ledger::QuarantineChange, ids::VmName};

/// Writes the line for `news` of the VM `vm`.
pub fn write(vm: &VmName, news: &QuarantineChange) {
    match news {
        QuarantineChange::Started(fingerprint, evidence) => tracing::warn!(
            event = "quarantine-begun",
            %vm,
            print = %fingerprint,
            crashes = evidence.crashes,
            blamed = evidence.attributed,
            elsewhere = evidence.elsewhere,
            targets = evidence.targets,
            chance_ppb = evidence.chance_ppb,
        ),
        QuarantineChange::Received(fingerprint) => {
            tracing::info!(event = "quarantine-heard", %vm, print = %fingerprint)
        }
        QuarantineChange::Cleared(fingerprint) => {
            tracing::warn!(
                event = "quarantine-ended",
                %vm,
                print = %fingerprint,
                reason = "answered",
            );
        }
        QuarantineChange::Expired(fingerprint) => {
            tracing::info!(
                event = "quarantine-ended",
                %vm,
                print = %fingerprint,
                reason = "not asked for",
            );
        }
    }
}
