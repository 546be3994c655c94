//! Seeded generation of request arrivals.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

/// A class of similar requests of one tier.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkClass {
    /// The tier.
    pub tier: String,
    /// The service.
    pub service: String,
    /// The organisations, chosen with equal probability.
    pub organisations: Vec<String>,
    /// The arrivals per second.
    pub rate: f64,
    /// The minimum and maximum length of a prompt, in bytes.
    pub prompt_bytes: (usize, usize),
    /// The minimum and maximum number of tokens to generate.
    pub output: (u64, u64),
    /// The time until the deadline.
    pub deadline: Duration,
}

/// The arrival of one request.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct WorkArrival {
    /// The time of the arrival, from the start.
    pub at: Duration,
    /// The tier.
    pub tier: String,
    /// The service.
    pub service: String,
    /// The organisation.
    pub organisation: String,
    /// The prompt.
    pub prompt: String,
    /// The number of tokens to generate.
    pub output: u64,
    /// The time until the deadline.
    pub deadline: Duration,
}

/// Generates the arrivals of `classes` over `span`, in order of time. The same seed gives the same
/// arrivals.
pub fn draw(classes: &[WorkClass], span: Duration, seed: u64) -> Vec<WorkArrival> {
    let mut arrivals = Vec::new();
    for (index, class) in classes.iter().enumerate() {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_add(index as u64));
        let mut at = interarrival_time(&mut rng, class.rate);
        while at < span {
            arrivals.push(draw_one(&mut rng, class, at));
            at += interarrival_time(&mut rng, class.rate);
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Returns an exponentially distributed time, as for a Poisson process of independent callers.
fn interarrival_time(rng: &mut SmallRng, rate: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64((-uniform.ln() / rate.max(0.001)).min(3_600.0))
}

fn draw_one(rng: &mut SmallRng, class: &WorkClass, at: Duration) -> WorkArrival {
    let length =
        log_uniform(rng, class.prompt_bytes.0 as f64, class.prompt_bytes.1 as f64) as usize;
    let output = log_uniform(rng, class.output.0 as f64, class.output.1 as f64) as u64;
    let organisation = rng.random_range(0..class.organisations.len());
    WorkArrival {
        at,
        tier: class.tier.clone(),
        service: class.service.clone(),
        organisation: class.organisations[organisation].clone(),
        prompt: prompt_text(rng, length),
        output: output.max(1),
        deadline: class.deadline,
    }
}

/// Returns a log-uniformly distributed value, so that all orders of magnitude are equally likely.
fn log_uniform(rng: &mut SmallRng, min: f64, max: f64) -> f64 {
    if max <= min {
        return min;
    }
    rng.random_range(min.ln()..max.ln()).exp()
}

fn prompt_text(rng: &mut SmallRng, length: usize) -> String {
    let mut text = String::with_capacity(length + 16);
    while text.len() < length.max(1) {
        text.push_str(&format!("{:016x}", rng.random::<u64>()));
    }
    text.truncate(length.max(1));
    text
}
