//! State charts: read from YAML files, checked when loaded, and interpreted.
//!
//! The files lie under `charts/` and are embedded at build time. The code asks a chart for the
//! state that follows, and never decides one itself, so the files are the whole truth about which
//! transitions exist. The fault matrix and the docs read the same files.

use std::{cell, collections::BTreeMap, fmt, hash, marker, sync};

use serde::{Deserialize, Serialize, de};

/// A set of names used in a chart: its states, or its events.
pub trait ChartName:
    Copy + Eq + Ord + hash::Hash + fmt::Debug + de::DeserializeOwned + 'static
{
    /// Every name, in the order of their indices.
    const ALL: &'static [Self];

    /// Returns the place of this name in [`ChartName::ALL`].
    fn index(self) -> usize;
}

/// Defines an enum of chart names in snake case.
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
        /// Taken from the caller, not yet admitted.
        Received,
        /// Its idempotency key is being claimed.
        Claiming,
        /// Waiting for a grant.
        Asking,
        /// A connection to the granted target is being opened.
        Connecting,
        /// Bytes may have gone out; it counts as dispatched.
        Dispatching,
        /// The target has begun to answer.
        Running,
        /// The stream broke; the rest is being asked for.
        Resuming,
        /// The whole answer was received.
        Answered,
        /// It did not run.
        NotRun,
        /// It may have run.
        Unknown,
    }
);

chart_names!(
    /// The events of a request.
    RequestEvent {
        /// It was found valid and needs no claim.
        Admit,
        /// It was found valid and needs a claim first.
        Claim,
        /// The claim is held.
        Claimed,
        /// A slot at a target was granted.
        Grant,
        /// A connection stands.
        Connected,
        /// No connection could be opened; nothing was sent.
        ConnectFailed,
        /// Bytes of the answer came.
        Piece,
        /// The answer is whole.
        End,
        /// The stream broke or fell silent.
        Broken,
        /// The target refused, and its contract says that nothing ran.
        Refused,
        /// This VM gives the request up before dispatch.
        GiveUp,
        /// This VM can no longer find out what became of it.
        LoseTrack,
    }
);

chart_names!(
    /// The states of a peer.
    PeerState {
        /// Known by name, never heard.
        Listed,
        /// Heard lately.
        Alive,
        /// Not heard for the timeout.
        Silent,
        /// It said that it leaves.
        Leaving,
        /// Forgotten.
        Gone,
    }
);

chart_names!(
    /// The events of a peer.
    PeerEvent {
        /// A message came.
        Heard,
        /// The timeout passed without one.
        Silent,
        /// It said that it leaves.
        Goodbye,
        /// The platform's list no longer names it.
        Delisted,
    }
);

chart_names!(
    /// The states of a target.
    TargetState {
        /// It may be granted.
        Usable,
        /// Connections to it failed lately.
        Suspect,
        /// It is leaving.
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
        /// The pause after failures is over.
        PauseOver,
        /// A sign of its leaving was seen.
        Leaving,
        /// It says, or the list says, that it stays.
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
        /// The answer to the write was lost.
        Uncertain,
        /// The edit lost against another.
        Settled,
    }
);

chart_names!(
    /// The events of the configuration.
    ConfigurationEvent {
        /// A higher revision arrived.
        Adopt,
        /// An operator applies a text.
        Apply,
        /// The write took effect.
        Written,
        /// Another edit took effect instead.
        Collided,
        /// No answer, or one that says nothing.
        Lost,
    }
);

chart_names!(
    /// The states of a shutdown.
    DrainState {
        /// Serving.
        Serving,
        /// Finishing what runs.
        Draining,
        /// Nothing is left.
        Drained,
    }
);

chart_names!(
    /// The events of a shutdown.
    DrainEvent {
        /// The process was told to stop.
        Shutdown,
        /// Nothing runs any more.
        Idle,
    }
);

chart_names!(
    /// The states of a roll-out.
    RolloutState {
        /// What became of the order so far is not known.
        Asked,
        /// The new version gets a bounded share.
        Trial,
        /// It was found good and gets everything new.
        Moving,
        /// Nothing is left at the old version.
        Emptied,
        /// It was found bad and gets nothing.
        Condemned,
        /// The operators were told that it is done.
        Completed,
        /// The operators were told that it was taken back.
        RolledBack,
    }
);

chart_names!(
    /// The events of a roll-out.
    RolloutEvent {
        /// It is known that nothing was decided yet.
        Opened,
        /// The evidence says that the new version is good.
        Passed,
        /// It says that it is bad, or the time is over without any.
        Failed,
        /// Nothing runs at the old version, or it cannot be waited for any longer.
        Emptied,
        /// The operators' row says that it is done.
        RowCompleted,
        /// The operators' row says that it was taken back.
        RowRolledBack,
    }
);

/// A fault in a chart's file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChartError {
    /// The file is not YAML of the expected shape; duplicate keys count as that.
    #[error("chart does not parse: {0}")]
    Shape(String),
    /// A state that the code knows is missing from the file.
    #[error("chart {chart}: state {state} is missing")]
    MissingState {
        /// The chart.
        chart: String,
        /// The state.
        state: String,
    },
    /// No path of transitions leads to a state.
    #[error("chart {chart}: state {state} cannot be reached")]
    Unreachable {
        /// The chart.
        chart: String,
        /// The state.
        state: String,
    },
    /// A state says nothing about an event.
    #[error("chart {chart}: state {state} neither handles nor ignores {event}")]
    MissingEvent {
        /// The chart.
        chart: String,
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// A state says two things about an event.
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

/// A checked chart with states `S` and events `E`.
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
    /// The state that follows, by state and then event.
    table: Vec<Option<S>>,
    terminal: Vec<bool>,
    events: marker::PhantomData<E>,
}

impl<S: ChartName, E: ChartName> StateChart<S, E> {
    /// Reads and checks a chart.
    ///
    /// # Errors
    ///
    /// Returns the first [`ChartError`] found.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile<S, E> =
            serde_saphyr::from_str(text).map_err(|error| ChartError::Shape(error.to_string()))?;
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
            chart.fill(*state, entry)?;
        }
        chart.check_reachable()?;
        Ok(chart)
    }

    fn fill(&mut self, state: S, entry: &StateEntry<S, E>) -> Result<(), ChartError> {
        self.terminal[state.index()] = entry.terminal;
        for event in E::ALL {
            let handled = entry.on.get(event).copied();
            let ignored = entry.ignore.iter().filter(|name| *name == event).count();
            let named = usize::from(handled.is_some()) + ignored;
            let (chart, state_name) = (self.name.clone(), format!("{state:?}"));
            let event_name = format!("{event:?}");
            if named > 1 {
                return Err(ChartError::Nondeterministic {
                    chart,
                    state: state_name,
                    event: event_name,
                });
            }
            if named == 0 && !entry.terminal {
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
        let mut seen = vec![false; S::ALL.len()];
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            if std::mem::replace(&mut seen[state.index()], true) {
                continue;
            }
            pending.extend(E::ALL.iter().filter_map(|event| self.next(state, *event)));
        }
        match S::ALL.iter().find(|state| !seen[state.index()]) {
            None => Ok(()),
            Some(state) => Err(ChartError::Unreachable {
                chart: self.name.clone(),
                state: format!("{state:?}"),
            }),
        }
    }

    /// Returns the chart's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the state in which everything begins.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns whether nothing follows `state`.
    pub fn is_terminal(&self, state: S) -> bool {
        self.terminal[state.index()]
    }

    /// Returns the state that follows, or nothing when the event is ignored in `state`.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.table[state.index() * E::ALL.len() + event.index()]
    }

    /// Moves `state` along `event`; returns whether the event was taken.
    pub fn advance(&self, state: &mut S, event: E) -> bool {
        match self.next(*state, event) {
            Some(next) => {
                record(|| step_name(&self.name, *state, event));
                *state = next;
                true
            }
            None => false,
        }
    }

    /// Returns every transition as state, event and state that follows.
    pub fn transitions(&self) -> impl Iterator<Item = (S, E, S)> + '_ {
        S::ALL.iter().flat_map(move |state| {
            E::ALL.iter().filter_map(move |event| {
                self.next(*state, *event).map(|next| (*state, *event, next))
            })
        })
    }
}

/// Returns the name of one transition, such as `request: Asking + Grant`.
pub fn step_name(chart: &str, state: impl fmt::Debug, event: impl fmt::Debug) -> String {
    format!("{chart}: {state:?} + {event:?}")
}

thread_local! {
    /// Transitions taken on this thread, while they are recorded.
    static RECORDED: cell::RefCell<Option<Vec<String>>> = const { cell::RefCell::new(None) };
}

fn record(name: impl FnOnce() -> String) {
    RECORDED.with_borrow_mut(|recorded| {
        if let Some(names) = recorded {
            names.push(name());
        }
    });
}

/// Begins to record the transitions taken on this thread, for tests that place faults at each step.
/// Nothing is decided by what is recorded.
pub fn start_recording() {
    RECORDED.set(Some(Vec::new()));
}

/// Returns the transitions recorded since the last call, and goes on recording.
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
        /// Panics when the embedded file is faulty, which a test rules out.
        pub fn $function() -> &'static StateChart<$state, $event> {
            static CHART: sync::LazyLock<StateChart<$state, $event>> =
                sync::LazyLock::new(|| match StateChart::parse(include_str!($file)) {
                    Ok(chart) => chart,
                    Err(error) => panic!("embedded {}: {error}", $file),
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
    /// Returns the chart of a roll-out.
    rollout: RolloutState, RolloutEvent, "../../../charts/rollout.yaml"
);
