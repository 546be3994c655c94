//! Choosing a target for one request among those with a free place.
//!
//! Answers the load of unlike engines that work in batches: a prompt being read holds up the first
//! event of every prompt behind it, and stretches the pauses of every stream beside it. So a long
//! prompt goes where it is read fast, and a slow engine gets what it can still serve on time.

use std::time::Duration;

use crate::{
    ids::DataCentreName,
    pace::AssumedPace,
    target_load::TargetLoad,
    units::{Moment, Tokens},
};

/// What a target in another data centre is charged: the way there and back, 2 to 3 ms, and what its bytes cost. A
/// review's prompt of 17 kB there is a sixtieth of its worth where such bytes are dear. With 20 ms instead of 5 a
/// calm day sent 7 MB instead of 9 between data centres, a heavy one 26 instead of 30, and none served less; 40 ms
/// saved little more.
const REMOTE_CHARGE: Duration = Duration::from_millis(20);
/// What a place taken counts against a target, so that equals are filled evenly.
const PLACE_CHARGE: Duration = Duration::from_millis(4);
/// What a target that fails every request is charged; one that fails a part is charged that part.
const FAILING_CHARGE: Duration = Duration::from_millis(1_500);
/// What a target that has fallen silent, or could not be reached, is charged: it is used only when nothing else is
/// left.
const DOUBT_CHARGE: Duration = Duration::from_millis(3_000);
/// The part of the objective within which a first event must be expected for a target to count as
/// serving on time; the rest covers what the estimate misses.
const FIRST_MARGIN: f64 = 0.75;
/// The part of the longest permitted pause that a prompt may fill at a target.
const PAUSE_MARGIN: f64 = 0.8;
/// Prompt tokens that an engine reads, at the most, between two events of a running stream: an engine
/// mixes one chunk of a prompt with each token of the streams, six tokens to an event.
const READ_BETWEEN_EVENTS: u64 = 12_288;
/// How much of a whole stream's length counts against a slow target: it holds its place for longer.
const LENGTH_PART: f64 = 0.05;

/// What a request asks of a target.
#[derive(Clone, Debug)]
pub struct PlacingNeed {
    /// Whether the answer is a stream of a model engine.
    pub engine: bool,
    /// The prompt.
    pub prompt: Tokens,
    /// The hash of the prompt's last part.
    pub part: Option<u32>,
    /// Events that the answer is expected to have.
    pub events: u32,
    /// Time left until its objective.
    pub objective_left: Duration,
    /// The longest pause between events that is on time.
    pub pause: Option<Duration>,
}

/// What is expected of a request at one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacingForecast {
    /// Time to the first event, or to the whole answer.
    pub first: Duration,
    /// Prompt tokens that would have to be read.
    pub to_read: Tokens,
    /// Whether the streams beside it would keep their pauses.
    pub keeps_pauses: bool,
    /// Whether it would be on time, and keep the streams beside it on time.
    pub on_time: bool,
    /// Whether it is in doubt that the target can be reached and works.
    pub doubtful: bool,
    /// By which targets are compared; least is best.
    pub cost: Duration,
}

/// Returns what is expected of a request at `target`.
pub fn forecast(
    now: Moment,
    target: &TargetLoad,
    need: &PlacingNeed,
    own: &DataCentreName,
    assumed: &AssumedPace,
) -> PlacingForecast {
    let running = target.running(now);
    let to_read = target.tokens_to_read(now, need.prompt, need.part);
    let (first, length) = if need.engine {
        let length = target.estimate().event * need.events;
        (target.first_event(now, assumed, to_read), length.mul_f64(LENGTH_PART))
    } else {
        (target.answer_time(), Duration::ZERO)
    };
    let keeps_pauses = need.pause.is_none_or(|pause| {
        let read = (target.unread(now) + to_read.0).min(READ_BETWEEN_EVENTS);
        let stretched = target.estimate().event + target.estimate().reading_time(read);
        running == 0 || to_read.0 == 0 || stretched < pause.mul_f64(PAUSE_MARGIN)
    });
    let remote = target.entry().data_centre != *own;
    let mut cost = first + length + PLACE_CHARGE * running;
    cost += if remote { REMOTE_CHARGE } else { Duration::ZERO };
    cost += FAILING_CHARGE.mul_f64(target.health().failing(now));
    let doubtful = target.is_doubtful(now);
    cost += if doubtful { DOUBT_CHARGE } else { Duration::ZERO };
    cost += target.entry().warmup / 10;
    let fits = first < need.objective_left.mul_f64(FIRST_MARGIN);
    let on_time = keeps_pauses && fits && !doubtful;
    PlacingForecast { first, to_read, keeps_pauses, on_time, doubtful, cost }
}
