//! Choice of a target for one request among targets with a free slot.
//!
//! Engines differ in speed and work in batches: reading a prompt delays the first event of every
//! prompt behind it, and lengthens the pauses of every stream that runs beside it. So a long prompt
//! goes to an engine that reads it fast, and a slow engine gets the requests that it can still
//! serve on time.

use std::time::Duration;

use crate::{
    ids::DataCentreName,
    target_load::TargetLoad,
    target_speed::AssumedSpeed,
    units::{Moment, Tokens},
};

/// The cost added for a target in another data centre: the round trip of 2 to 3 ms, and the price
/// of the bytes. A prompt of 17 kB sent to another data centre costs a sixtieth of what its request
/// is worth where such bytes are expensive. With 5 ms, more bytes cross between data centres and no
/// more requests are served; 40 ms saves few further bytes.
const REMOTE_CHARGE: Duration = Duration::from_millis(20);
/// The cost added for each running request, so that equal targets are filled evenly.
const RUNNING_CHARGE: Duration = Duration::from_millis(4);
/// The cost added for a target that fails every request; one that fails a share of them is charged
/// that share.
const FAILING_CHARGE: Duration = Duration::from_millis(1_500);
/// The cost added for a target that has stopped responding or could not be reached, so that it is
/// used only when no other is left.
const SUSPECT_CHARGE: Duration = Duration::from_millis(3_000);
/// The share of the remaining objective within which the first event must be expected for a target
/// to count as on time. The rest covers errors of the estimate.
const OBJECTIVE_SHARE: f64 = 0.75;
/// The share of the longest permitted pause that reading a prompt may fill.
const PAUSE_SHARE: f64 = 0.8;
/// The most prompt tokens that an engine reads between two events of a running stream: an engine
/// processes one chunk of a prompt with each token of the streams, and an event holds six tokens.
const MAX_READ_BETWEEN_EVENTS: u64 = 12_288;
/// The share of a stream's whole duration that counts as cost, since a slow target keeps its slot
/// occupied for longer.
const DURATION_SHARE: f64 = 0.05;

/// The properties of a request that matter for the choice of a target.
#[derive(Clone, Debug)]
pub struct PlacementNeed {
    /// Whether the answer is a stream of a model engine.
    pub engine: bool,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The hash of the last section of the prompt.
    pub prompt_hash: Option<u32>,
    /// The expected number of events in the answer.
    pub events: u32,
    /// Time left until its objective.
    pub objective_left: Duration,
    /// The longest pause between events that is on time.
    pub pause: Option<Duration>,
}

/// The expected result of a request at one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementForecast {
    /// Time to the first event, or to the whole answer.
    pub first: Duration,
    /// Prompt tokens that the target would have to read.
    pub to_read: Tokens,
    /// Whether the streams that run beside the request would keep their permitted pauses.
    pub keeps_pauses: bool,
    /// Whether the request would be on time without delaying the streams beside it.
    pub on_time: bool,
    /// Whether the target is suspected of being unreachable or stalled.
    pub suspected: bool,
    /// The cost by which targets are compared; the smallest is the best.
    pub cost: Duration,
}

/// Returns the expected result of a request at `target`.
pub fn forecast(
    now: Moment,
    target: &TargetLoad,
    need: &PlacementNeed,
    own: &DataCentreName,
    assumed: &AssumedSpeed,
) -> PlacementForecast {
    let running = target.running(now);
    let to_read = target.tokens_to_read(now, need.prompt, need.prompt_hash);
    let (first, duration) = if need.engine {
        let duration = target.estimate().event * need.events;
        (target.first_event(now, assumed, to_read), duration.mul_f64(DURATION_SHARE))
    } else {
        (target.answer_time(), Duration::ZERO)
    };
    let keeps_pauses = need.pause.is_none_or(|pause| {
        let read = (target.unread(now) + to_read.0).min(MAX_READ_BETWEEN_EVENTS);
        let stretched = target.estimate().event + target.estimate().reading_time(read);
        running == 0 || to_read.0 == 0 || stretched < pause.mul_f64(PAUSE_SHARE)
    });
    let remote = target.entry().data_centre != *own;
    let mut cost = first + duration + RUNNING_CHARGE * running;
    cost += if remote { REMOTE_CHARGE } else { Duration::ZERO };
    cost += FAILING_CHARGE.mul_f64(target.health().failure_rate(now));
    let suspected = target.is_suspected(now);
    cost += if suspected { SUSPECT_CHARGE } else { Duration::ZERO };
    cost += target.entry().warmup / 10;
    let fits = first < need.objective_left.mul_f64(OBJECTIVE_SHARE);
    let on_time = keeps_pauses && fits && !suspected;
    PlacementForecast { first, to_read, keeps_pauses, on_time, suspected, cost }
}
