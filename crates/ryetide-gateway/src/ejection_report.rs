//! Logs which targets are ejected because they fail requests, and updates the metrics.

use std::collections::BTreeMap;

use ryetide_core::{
    ids::{ServiceName, TargetKey, TargetName, VmName},
    outlier_detector::OutlierEvidence,
    target_ejection::EjectionChange,
};

use crate::gateway_state::Gateway;

/// Logs the changes since the last call and updates the metrics.
pub fn report(gateway: &Gateway) {
    let (changes, probes, ejected) = gateway.hub().peek_mut(|scheduler| {
        let changes = scheduler.take_ejection_changes();
        (changes, scheduler.take_probes(), scheduler.ejected_targets())
    });
    gateway.metrics().set_ejected(ejected, probes);
    if changes.is_empty() {
        return;
    }
    let names: BTreeMap<TargetKey, TargetName> = gateway.hub().peek(|scheduler| {
        scheduler.targets().map(|load| (load.key(), load.entry().name.clone())).collect()
    });
    let vm = gateway.settings().borrow().name.clone();
    for (service, change) in &changes {
        if matches!(change, EjectionChange::Ejected(..)) {
            gateway.metrics().count_ejection();
        }
        log_change(&vm, service, *change, &names);
    }
}

fn log_change(
    vm: &VmName,
    service: &ServiceName,
    change: EjectionChange,
    names: &BTreeMap<TargetKey, TargetName>,
) {
    let name = |key: TargetKey| names.get(&key).map(TargetName::as_str).unwrap_or_default();
    match change {
        EjectionChange::Ejected(key, OutlierEvidence { count, sources, .. }) => tracing::warn!(
            event = "target-ejected",
            %vm,
            %service,
            target = name(key),
            failed = count.failed,
            answered = count.answered,
            sources,
        ),
        EjectionChange::Readmitted(key, probes) => tracing::info!(
            event = "target-readmitted",
            %vm,
            %service,
            target = name(key),
            failed = 0,
            answered = probes,
        ),
        EjectionChange::Suspended(key, OutlierEvidence { count, sources, .. }) => tracing::warn!(
            event = "ejection-suspended",
            %vm,
            %service,
            target = name(key),
            failed = count.failed,
            answered = count.answered,
            sources,
        ),
    }
}
