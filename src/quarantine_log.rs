//! Log lines on the quarantine of requests and parts of prompts that crash targets.

use ryetide_core::{crash_ledger::QuarantineChange, crash_suspect::CrashSuspect, ids::VmName};

/// Logs `change`, which the VM `vm` has made or received.
pub fn write(vm: &VmName, change: &QuarantineChange) {
    match change {
        QuarantineChange::Started(suspect, evidence) => tracing::warn!(
            event = "quarantine-begun",
            %vm,
            kind = kind_of(suspect),
            print = %suspect,
            crashes = evidence.crashes,
            blamed = evidence.attributed,
            elsewhere = evidence.elsewhere,
            targets = evidence.targets,
            chance_ppb = evidence.chance_ppb,
        ),
        QuarantineChange::Received(suspect) => {
            tracing::info!(event = "quarantine-heard", %vm, kind = kind_of(suspect),
            print = %suspect)
        }
        QuarantineChange::Cleared(suspect) => {
            tracing::warn!(
                event = "quarantine-ended",
                %vm,
                kind = kind_of(suspect),
            print = %suspect,
                reason = "answered",
            );
        }
        QuarantineChange::Expired(suspect) => {
            tracing::info!(
                event = "quarantine-ended",
                %vm,
                kind = kind_of(suspect),
            print = %suspect,
                reason = "not asked for",
            );
        }
    }
}

fn kind_of(suspect: &CrashSuspect) -> &'static str {
    match suspect {
        CrashSuspect::Request(_) => "request",
        CrashSuspect::Part(_) => "part",
    }
}
