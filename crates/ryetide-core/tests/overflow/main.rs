//! Overflow between cells and data centres, under load and under failures.

mod fleet_simulation;

use fleet_simulation::{FleetSimulation, QUIET, Script};
use ryetide_core::scheduling_policy::PolicySwitch;

#[test]
fn probe() {
    let all = [
        (
            "quiet0.6",
            Script {
                factor: 0.6,
                burst: (0, 11_000),
                return_factor: 0.6,
                return_span: (0, 11_000),
                seconds: 11,
                ..QUIET
            },
        ),
        ("burst", Script { factor: 2.2, burst: (2_000, 10_000), seconds: 11, ..QUIET }),
        (
            "skew",
            Script { factor: 1.5, burst: (2_000, 10_000), is_skewed: true, seconds: 11, ..QUIET },
        ),
        (
            "cut",
            Script {
                factor: 2.2,
                burst: (2_000, 10_000),
                cut: (5_000, 7_000),
                seconds: 11,
                ..QUIET
            },
        ),
        ("loss", Script { factor: 2.2, burst: (2_000, 10_000), loss: 0.3, seconds: 11, ..QUIET }),
        (
            "return",
            Script {
                factor: 2.2,
                burst: (2_000, 10_000),
                return_factor: 1.7,
                return_span: (5_000, 8_000),
                seconds: 11,
                ..QUIET
            },
        ),
    ];
    for (name, script) in all {
        for policy in [PolicySwitch::Off, PolicySwitch::On] {
            for seed in 1..=2 {
                let s = FleetSimulation::play(seed, Script { policy, ..script });
                let f = |i: usize| {
                    format!(
                        "{:.3}/{:.3}",
                        f64::from(s.tallies[i].refused) / f64::from(s.tallies[i].asked),
                        f64::from(s.tallies[i].on_time) / f64::from(s.tallies[i].asked)
                    )
                };
                let cut =
                    s.borrowed_at.iter().filter(|at| (5_500_000..7_000_000).contains(*at)).count();
                println!(
                    "{name} {policy} {seed}: {} {} {} busy {:.2} placed {} without {} borrowed {} cut {cut} remote {} reports {}/{} {}",
                    f(0),
                    f(1),
                    f(2),
                    s.busy_share(),
                    s.placed,
                    s.without_slot,
                    s.borrowed_at.len(),
                    s.remote,
                    s.reports,
                    s.briefs,
                    s.report_bytes
                );
            }
        }
    }
}
