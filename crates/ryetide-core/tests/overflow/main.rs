//! Overflow between cells and data centres, under load and under failures.

mod fleet_simulation;

use fleet_simulation::{FleetSimulation, QUIET};

#[test]
fn probe() {
    for on in [ryetide_core::scheduling_policy::PolicySwitch::Off, ryetide_core::scheduling_policy::PolicySwitch::On] {
        for factor in [1.0, 2.2] { for seed in 1..=3 {
            let script = fleet_simulation::Script { policy: on, factor, burst: (2_000, 5_000), ..QUIET };
            let s = FleetSimulation::play(seed, script);
            let f = |i: usize| format!("{:.3}/{:.3}", f64::from(s.tallies[i].refused)/f64::from(s.tallies[i].asked), f64::from(s.tallies[i].on_time)/f64::from(s.tallies[i].asked));
            println!("{on} {factor} {seed}: {} {} {} busy {:.2} placed {} without {} borrowed {} remote {} reports {}/{}", f(0), f(1), f(2), s.busy_share(), s.placed, s.without_slot, s.borrowed_at.len(), s.remote, s.reports, s.briefs);
        }}
    }
}
