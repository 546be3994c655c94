//! Log lines on the quarantine of requests that crash targets.

use ryetide_core::{crash_ledger::QuarantineChange, ids::VmName};

/// Logs `change`, which the VM `vm` has made or received.
pub fn write(vm: &VmName, change: &QuarantineChange) {
    match change {
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
