//! What an organisation may use of its quota while VMs start again and again.

use std::time::Duration;

use ryetide_core::{
    ids::{OrganisationKey, VmName},
    quota::{QuotaCharge, QuotaLedger, QuotaRule, QuotaUnit},
    units::Moment,
};

const VMS: usize = 8;
const KEY: OrganisationKey = OrganisationKey(7);
const RULE: QuotaRule =
    QuotaRule { unit: QuotaUnit::Tokens, rate: 155_440.0, burst: 155_440.0, default_tokens: 200 };
/// A request's tokens. Ten a millisecond are ten times the rate.
const CHARGE: QuotaCharge = QuotaCharge { key: KEY, units: 155 };
const REQUESTS_PER_MS: usize = 10;
/// The window in which use is counted, in milliseconds, and what is permitted beyond rate and burst.
const WINDOW_MS: u64 = 8_000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 190_000.0;
const DIGEST_INTERVAL_MS: u64 = 50;
const DOWN_MS: u64 = 500;
/// A VM that was heard within this time is reachable, in milliseconds.
const REACHABLE_MS: u64 = 2_500;

struct Process {
    ledger: QuotaLedger,
    started: u64,
    spent: u64,
    heard: [Option<u64>; VMS],
}

impl Process {
    fn start(now: u64) -> Self {
        let mut ledger = QuotaLedger::default();
        ledger.set_reachable_share(1.0 / VMS as f64);
        Self { ledger, started: now, spent: 0, heard: [None; VMS] }
    }

    fn hear(&mut self, now: u64, peer: usize, started: u64, spent: u64) {
        let name = VmName::from(format!("e{peer}").as_str());
        if self.heard[peer].is_some_and(|heard| heard < started) {
            self.ledger.forget_peer(&name);
        }
        self.heard[peer] = Some(now);
        let now = Moment::from_millis(now);
        self.ledger.record_peer_total(now, &name, KEY, spent, Duration::ZERO);
        self.ledger.record_all_totals(&name);
    }

    fn update_share(&mut self, now: u64) {
        let is_recent = |heard: &&Option<u64>| heard.is_some_and(|it| now - it < REACHABLE_MS);
        let reachable = 1 + self.heard.iter().filter(is_recent).count();
        self.ledger.set_reachable_share(reachable as f64 / VMS as f64);
    }
}

/// Restarts `count` VMs at a time, the next ones each time, and returns the most tokens in a window.
fn most_used(count: usize, interval_ms: u64) -> f64 {
    let mut vms: Vec<Result<Process, u64>> = (0..VMS).map(|_| Ok(Process::start(1))).collect();
    let mut used_at: Vec<u64> = Vec::new();
    for now in 1..40_000_u64 {
        if now > 12_000 && now.is_multiple_of(interval_ms) {
            let first = (now / interval_ms) as usize;
            (0..count).for_each(|next| vms[(first + next) % VMS] = Err(now + DOWN_MS));
        }
        for vm in &mut vms {
            if matches!(vm, Err(starts_at) if *starts_at <= now) {
                *vm = Ok(Process::start(now));
            }
        }
        if now.is_multiple_of(DIGEST_INTERVAL_MS) {
            exchange_digests(now, &mut vms);
        }
        let mut running: Vec<&mut Process> =
            vms.iter_mut().filter_map(|vm| vm.as_mut().ok()).collect();
        for next in 0..REQUESTS_PER_MS.min(running.len() * REQUESTS_PER_MS) {
            let index = (now as usize * REQUESTS_PER_MS + next) % running.len();
            let process = &mut running[index];
            if process.ledger.take(Moment::from_millis(now), &RULE, CHARGE).is_ok() {
                process.spent += CHARGE.units;
                used_at.push(now);
            }
        }
    }
    let in_window =
        |first: usize| used_at[first..].partition_point(|at| *at < used_at[first] + WINDOW_MS);
    let most = (0..used_at.len()).map(in_window).max().unwrap_or(0);
    most as f64 * CHARGE.units as f64
}

fn exchange_digests(now: u64, vms: &mut [Result<Process, u64>]) {
    let reports: Vec<Option<(u64, u64)>> =
        vms.iter().map(|vm| vm.as_ref().ok().map(|it| (it.started, it.spent))).collect();
    for (to, vm) in vms.iter_mut().enumerate() {
        let Ok(process) = vm else { continue };
        for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
            if let Some((started, spent)) = report {
                process.hear(now, from, *started, *spent);
            }
        }
        process.update_share(now);
    }
}

/// Guards against processes that start with a full bucket, whatever was used of the quota before.
#[test]
fn vms_that_start_in_series_keep_an_organisation_within_its_quota() {
    let window_s = WINDOW_MS as f64 / 1_000.0;
    let permitted = (RULE.rate * window_s + RULE.burst) * (1.0 + OVERAGE) + SLACK;
    for (count, interval_ms) in [(0, 1_000), (1, 400), (5, 1_200), (7, 2_500), (8, 1_500)] {
        let used = most_used(count, interval_ms);
        assert!(used <= permitted, "{count} every {interval_ms} ms: {used} of {permitted}");
    }
}
