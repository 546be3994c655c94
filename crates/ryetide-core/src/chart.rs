//! State charts: read from YAML files, checked when loaded, and interpreted.
//!
//! The files in `charts/` are embedded at build time. The code takes every next state from a chart
//! and has no transition logic of its own, so the files list all transitions that exist. The fault
//! matrix test and the documentation are derived from the same files.

use std::{cell, collections::BTreeMap, fmt, hash, marker, sync};

use serde::{Deserialize, Serialize, de};

/// An enum whose variants are the states or the events of a chart.
pub trait ChartName:
    Copy + Eq + Ord + hash::Hash + fmt::Debug + de::DeserializeOwned + 'static
{
    /// Every variant, ordered by index.
    const ALL: &'static [Self];

    /// Returns the index of this variant in [`ChartName::ALL`].
    fn index(self) -> usize;
}

/// Defines an enum of states or events, named in snake case in the chart's file.
macro_rules! chart_names {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident),* $(,)? }) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
        )]
        #[serde(rename_all = "snake_case")]
        pub enum $name { $($(#[$variant_doc])* $variant),* }

        impl ChartName for $name {
            const ALL: &'static [Self] = &[$(Self::$variant),*];

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}

chart_names!(
    /// The states of a request.
    RequestState {
        /// Received from the caller, not yet admitted.
        Received,
        /// Its idempotency key is being claimed.
        Claiming,
        /// Queued for a slot at a target.
        Asking,
        /// A connection to the granted target is being opened.
        Connecting,
        /// Bytes may have been sent to the target; the request counts as dispatched.
        Dispatching,
        /// The target has started to answer.
        Running,
        /// The stream broke; the rest is requested over a new connection.
        Resuming,
        /// The whole answer was received.
        Answered,
        /// The request did not run.
        NotRun,
        /// The request may have run; its outcome is unknown.
        Unknown,
    }
);

chart_names!(
    /// The events of a request.
    RequestEvent {
        /// The request is valid and needs no claim of an idempotency key.
        Admit,
        /// The request is valid and its idempotency key must be claimed first.
        Claim,
        /// This VM holds the claim.
        Claimed,
        /// A slot at a target was granted.
        Grant,
        /// The connection to the target is open.
        Connected,
        /// No connection could be opened; nothing was sent.
        ConnectFailed,
        /// Bytes of the answer were received.
        Piece,
        /// The answer is complete.
        End,
        /// The stream broke, or nothing was received for too long.
        Broken,
        /// The target refused, and its contract guarantees that nothing ran.
        Refused,
        /// This VM abandons the request before dispatch.
        GiveUp,
        /// This VM can no longer determine the outcome.
        LoseTrack,
    }
);

chart_names!(
    /// The states of a peer.
    PeerState {
        /// Known by name; no message has been received from it.
        Listed,
        /// A message was received from it within the timeout.
        Alive,
        /// No message was received from it within the timeout.
        Silent,
        /// It announced that it is leaving.
        Leaving,
        /// Removed from the peer table.
        Gone,
    }
);

chart_names!(
    /// The events of a peer.
    PeerEvent {
        /// A message was received.
        Heard,
        /// The timeout passed without a message.
        Silent,
        /// It announced that it is leaving.
        Goodbye,
        /// The platform's list no longer contains it.
        Delisted,
    }
);

chart_names!(
    /// The states of a target.
    TargetState {
        /// Its slots may be granted.
        Usable,
        /// A connection to it failed recently.
        Suspect,
        /// It is shutting down and gets no new requests.
        Leaving,
    }
);

chart_names!(
    /// The events of a target.
    TargetEvent {
        /// It answered a request or a load query.
        Answered,
        /// A connection to it failed.
        ConnectFailed,
        /// The back-off after a failed connection has ended.
        PauseOver,
        /// The target or the platform's list announced that it is leaving.
        Leaving,
        /// The target or the platform's list announced that it stays.
        Stayed,
    }
);

chart_names!(
    /// The states of the configuration.
    ConfigurationState {
        /// No revision is in force here.
        Empty,
        /// A revision is in force.
        InForce,
        /// An edit is being written.
        Writing,
        /// The answer to the write was lost, so its outcome is unknown.
        Uncertain,
        /// Another edit won; this one did not take effect.
        Settled,
    }
);

chart_names!(
    /// The events of the configuration.
    ConfigurationEvent {
        /// A higher revision was received.
        Adopt,
        /// An operator applies a new services text.
        Apply,
        /// The write took effect.
        Written,
        /// Another edit took effect instead.
        Collided,
        /// The write got no answer, or one that does not tell its outcome.
        Lost,
    }
);

chart_names!(
    /// The states of a shutdown.
    DrainState {
        /// Accepting and serving requests.
        Serving,
        /// Accepting nothing new; completing requests in flight.
        Draining,
        /// No requests are left.
        Drained,
    }
);

chart_names!(
    /// The events of a shutdown.
    DrainEvent {
        /// The process received a request to stop.
        Shutdown,
        /// No request is in flight any more.
        Idle,
    }
);

chart_names!(
    /// The states of a rollout.
    RolloutState {
        /// The current status of the order is not known yet.
        Asked,
        /// The new version gets a bounded share of the requests.
        Trial,
        /// The new version passed its trial and gets all new requests.
        Moving,
        /// No requests are left at the old version, or the time to wait for them is over.
        Emptied,
        /// The new version failed and gets no requests.
        Condemned,
        /// The operators' row says that the rollout is complete.
        Completed,
        /// The operators' row says that the rollout was rolled back.
        RolledBack,
    }
);

chart_names!(
    /// The events of a rollout.
    RolloutEvent {
        /// The status of the order is known: nothing has been decided yet.
        Opened,
        /// The measurements show that the new version is good.
        Passed,
        /// The measurements show that it is bad, or were too few when the time ran out.
        Failed,
        /// No requests run at the old version, or the time to wait for them is over.
        Emptied,
        /// The version was taken for the only one in use, and another one was in use.
        OtherInUse,
        /// The operators' row says that the rollout is complete.
        RowCompleted,
        /// The operators' row says that the rollout was rolled back.
        RowRolledBack,
    }
);

/// An error in a chart's file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChartError {
    /// The file is not valid YAML, has a duplicate key, or does not match the schema of a chart.
    #[error("chart does not parse: {0}")]
    Malformed(String),
    /// The file lacks a state that the code defines.
    #[error("chart {chart}: state {state} is missing")]
    MissingState {
        /// The chart.
        chart: String,
        /// The state.
        state: String,
    },
    /// No path of transitions leads from the initial state to this state.
    #[error("chart {chart}: state {state} cannot be reached")]
    Unreachable {
        /// The chart.
        chart: String,
        /// The state.
        state: String,
    },
    /// A state that is not terminal neither handles nor ignores an event.
    #[error("chart {chart}: state {state} neither handles nor ignores {event}")]
    MissingEvent {
        /// The chart.
        chart: String,
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// A state names an event more than once.
    #[error("chart {chart}: state {state} names {event} twice")]
    Nondeterministic {
        /// The chart.
        chart: String,
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, bound = "S: ChartName, E: ChartName")]
struct ChartFile<S, E> {
    name: String,
    initial: S,
    states: BTreeMap<S, StateEntry<S, E>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, bound = "S: ChartName, E: ChartName")]
struct StateEntry<S, E> {
    #[serde(default = "BTreeMap::new")]
    on: BTreeMap<E, S>,
    #[serde(default = "Vec::new")]
    ignore: Vec<E>,
    #[serde(default)]
    terminal: bool,
}

/// A validated state chart with states `S` and events `E`.
///
/// # Example
///
/// ```
/// use ryetide_core::chart::{self, DrainEvent, DrainState};
///
/// let chart = chart::drain();
/// assert_eq!(chart.next(DrainState::Serving, DrainEvent::Shutdown), Some(DrainState::Draining));
/// assert_eq!(chart.next(DrainState::Serving, DrainEvent::Idle), None);
/// ```
#[derive(Debug)]
pub struct StateChart<S, E> {
    name: String,
    initial: S,
    /// The next state for each state and event, row by row for each state; `None` if ignored.
    table: Vec<Option<S>>,
    terminal: Vec<bool>,
    events: marker::PhantomData<E>,
}

impl<S: ChartName, E: ChartName> StateChart<S, E> {
    /// Parses and validates a chart.
    ///
    /// # Errors
    ///
    /// Returns the first [`ChartError`] found in `text`.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile<S, E> = serde_saphyr::from_str(text)
            .map_err(|error| ChartError::Malformed(error.to_string()))?;
        let mut chart = Self {
            name: file.name,
            initial: file.initial,
            table: vec![None; S::ALL.len() * E::ALL.len()],
            terminal: vec![false; S::ALL.len()],
            events: marker::PhantomData,
        };
        for state in S::ALL {
            let entry = file.states.get(state).ok_or_else(|| ChartError::MissingState {
                chart: chart.name.clone(),
                state: format!("{state:?}"),
            })?;
            chart.add_state(*state, entry)?;
        }
        chart.check_reachable()?;
        Ok(chart)
    }

    fn add_state(&mut self, state: S, entry: &StateEntry<S, E>) -> Result<(), ChartError> {
        self.terminal[state.index()] = entry.terminal;
        for event in E::ALL {
            let handled = entry.on.get(event).copied();
            let ignored = entry.ignore.iter().filter(|name| *name == event).count();
            let mentions = usize::from(handled.is_some()) + ignored;
            let (chart, state_name) = (self.name.clone(), format!("{state:?}"));
            let event_name = format!("{event:?}");
            if mentions > 1 {
                return Err(ChartError::Nondeterministic {
                    chart,
                    state: state_name,
                    event: event_name,
                });
            }
            if mentions == 0 && !entry.terminal {
                return Err(ChartError::MissingEvent {
                    chart,
                    state: state_name,
                    event: event_name,
                });
            }
            self.table[state.index() * E::ALL.len() + event.index()] = handled;
        }
        Ok(())
    }

    fn check_reachable(&self) -> Result<(), ChartError> {
        let mut reached = vec![false; S::ALL.len()];
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            if std::mem::replace(&mut reached[state.index()], true) {
                continue;
            }
            pending.extend(E::ALL.iter().filter_map(|event| self.next(state, *event)));
        }
        match S::ALL.iter().find(|state| !reached[state.index()]) {
            None => Ok(()),
            Some(state) => Err(ChartError::Unreachable {
                chart: self.name.clone(),
                state: format!("{state:?}"),
            }),
        }
    }

    /// Returns the name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns whether `state` is terminal.
    pub fn is_terminal(&self, state: S) -> bool {
        self.terminal[state.index()]
    }

    /// Returns the next state, or `None` when `state` ignores the event.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.table[state.index() * E::ALL.len() + event.index()]
    }

    /// Applies `event` to `state`; returns whether there was a transition.
    pub fn advance(&self, state: &mut S, event: E) -> bool {
        match self.next(*state, event) {
            Some(next) => {
                record(|| transition_name(&self.name, *state, event));
                *state = next;
                true
            }
            None => false,
        }
    }

    /// Returns every transition as state, event and next state.
    pub fn transitions(&self) -> impl Iterator<Item = (S, E, S)> + '_ {
        S::ALL.iter().flat_map(move |state| {
            E::ALL.iter().filter_map(move |event| {
                self.next(*state, *event).map(|next| (*state, *event, next))
            })
        })
    }
}

/// Returns the name of one transition, such as `request: Asking + Grant`.
pub fn transition_name(chart: &str, state: impl fmt::Debug, event: impl fmt::Debug) -> String {
    format!("{chart}: {state:?} + {event:?}")
}

thread_local! {
    /// The transitions of this thread, while recording is on.
    static RECORDED: cell::RefCell<Option<Vec<String>>> = const { cell::RefCell::new(None) };
}

fn record(name: impl FnOnce() -> String) {
    RECORDED.with_borrow_mut(|recorded| {
        if let Some(names) = recorded {
            names.push(name());
        }
    });
}

/// Starts to record the transitions of this thread, for tests that inject a fault at each one.
/// The recording does not influence the charts.
pub fn start_recording() {
    RECORDED.set(Some(Vec::new()));
}

/// Returns the transitions recorded since the last call; recording continues.
pub fn take_recorded() -> Vec<String> {
    RECORDED.with_borrow_mut(|recorded| recorded.as_mut().map(std::mem::take).unwrap_or_default())
}

/// Defines the accessor of one embedded chart.
macro_rules! embedded_chart {
    ($(#[$doc:meta])* $function:ident: $state:ident, $event:ident, $file:literal) => {
        $(#[$doc])*
        ///
        /// # Panics
        ///
        /// Panics when the embedded file is invalid, which a test rules out.
        pub fn $function() -> &'static StateChart<$state, $event> {
            static CHART: sync::LazyLock<StateChart<$state, $event>> =
                sync::LazyLock::new(|| match StateChart::parse(include_str!($file)) {
                    Ok(chart) => chart,
                    Err(error) => panic!("embedded chart {} is invalid: {error}", $file),
                });
            &CHART
        }
    };
}

embedded_chart!(
    /// Returns the chart of a request.
    request: RequestState, RequestEvent, "../../../charts/request.yaml"
);
embedded_chart!(
    /// Returns the chart of a peer.
    peer: PeerState, PeerEvent, "../../../charts/peer.yaml"
);
embedded_chart!(
    /// Returns the chart of a target.
    target: TargetState, TargetEvent, "../../../charts/target.yaml"
);
embedded_chart!(
    /// Returns the chart of the configuration.
    configuration: ConfigurationState, ConfigurationEvent, "../../../charts/configuration.yaml"
);
embedded_chart!(
    /// Returns the chart of a shutdown.
    drain: DrainState, DrainEvent, "../../../charts/drain.yaml"
);
embedded_chart!(
    /// Returns the chart of a rollout.
    rollout: RolloutState, RolloutEvent, "../../../charts/rollout.yaml"
);
