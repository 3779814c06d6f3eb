//! Interpreter for hierarchical state machines defined in JSON files.
//!
//! A chart lists states, their superstates and the transitions for each event. The file is the only
//! definition of the machine. [`Machine`] executes it with `statig`, which passes an event that a
//! state does not handle to its superstate.

use std::collections::BTreeMap;

use error_stack::{Report, ensure};
use serde::Deserialize;
use statig::Outcome;
use statig::blocking::{IntoStateMachine, IntoStateMachineExt, State, StateMachine, Superstate};

/// Definition of a state machine, as read from its file.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chart {
    /// Name of the chart in error messages.
    pub name: Box<str>,
    /// State in which a new [`Machine`] starts.
    pub initial: Box<str>,
    /// States by name.
    pub states: BTreeMap<Box<str>, StateDefinition>,
}

/// Definition of one state of a [`Chart`].
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateDefinition {
    /// Superstate, which handles the events that this state does not handle.
    #[serde(default)]
    pub parent: Option<Box<str>>,
    /// Target states of the transitions by event name.
    #[serde(default)]
    pub on: BTreeMap<Box<str>, Box<str>>,
}

impl Chart {
    /// Parses and validates a chart file.
    pub fn parse(text: &str) -> Result<Self, Report<ChartError>> {
        let chart: Self = serde_json::from_str(text).map_err(|e| {
            Report::new(ChartError::Syntax).attach(format!("invalid chart file: {e}"))
        })?;
        chart.check()?;
        Ok(chart)
    }

    fn check(&self) -> Result<(), Report<ChartError>> {
        self.require_state(&self.initial, "initial state")?;
        for (name, node) in &self.states {
            if let Some(parent) = &node.parent {
                self.require_state(parent, &format!("parent of `{name}`"))?;
            }
            for (event, target) in &node.on {
                self.require_state(target, &format!("target of `{event}` in `{name}`"))?;
            }
            ensure!(
                self.state_and_ancestors(name)
                    .take(self.states.len() + 1)
                    .count()
                    <= self.states.len(),
                Report::new(ChartError::Cycle).attach(format!(
                    "state `{name}` is its own ancestor in `{}`",
                    self.name
                ))
            );
        }
        Ok(())
    }

    /// Returns an error if the chart does not define `state`. `what` names the reference to it.
    fn require_state(&self, state: &str, what: &str) -> Result<(), Report<ChartError>> {
        ensure!(
            self.states.contains_key(state),
            Report::new(ChartError::UnknownState).attach(format!(
                "{what}: chart `{}` has no state `{state}`",
                self.name
            ))
        );
        Ok(())
    }

    /// Iterates over `state` and its superstates, innermost first. Does not end if they form a
    /// cycle.
    fn state_and_ancestors<'a>(&'a self, state: &'a str) -> impl Iterator<Item = &'a str> {
        std::iter::successors(Some(state), |name| {
            self.states.get(*name)?.parent.as_deref()
        })
    }

    /// Returns the target of `event` in `state` itself, without looking at superstates.
    fn target(&self, state: &str, event: &str) -> Option<&str> {
        self.states
            .get(state)?
            .on
            .get(event)
            .map(|target| &**target)
    }
}

/// Error in a chart file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChartError {
    /// The file is not valid JSON or not a chart.
    Syntax,
    /// The initial state, a superstate or a transition target is not defined.
    UnknownState,
    /// The superstates form a cycle.
    Cycle,
}

impl std::fmt::Display for ChartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Syntax => "the state chart cannot be parsed",
            Self::UnknownState => "the state chart refers to an unknown state",
            Self::Cycle => "the superstates in the state chart form a cycle",
        })
    }
}

impl std::error::Error for ChartError {}

/// A running instance of a [`Chart`].
pub struct Machine {
    inner: StateMachine<Interpreter>,
}

impl Machine {
    /// Creates a machine in the initial state of `chart`.
    pub fn new(chart: Chart) -> Self {
        let mut inner = Interpreter { chart }.state_machine();
        inner.handle(&Event::Start);
        Self { inner }
    }

    /// Handles one event and returns whether the state changed. Unknown events have no effect.
    pub fn handle(&mut self, event: &str) -> bool {
        let before = self.state().to_owned();
        self.inner.handle(&Event::Named(event));
        self.state() != before
    }

    /// Returns the name of the current state.
    pub fn state(&self) -> &str {
        self.inner.state().path.first().map_or("", |name| name)
    }

    /// Whether the current state is `state` or one of its substates.
    pub fn is_in(&self, state: &str) -> bool {
        self.inner.state().path.iter().any(|name| &**name == state)
    }
}

/// Event passed to [`Interpreter`].
enum Event<'a> {
    /// Enters the chart's initial state. `statig` needs an initial state that does not depend on
    /// the chart, so a machine starts without one.
    Start,
    /// Event with its name in the chart.
    Named(&'a str),
}

/// Adapter that implements `statig` traits for a chart.
struct Interpreter {
    chart: Chart,
}

impl Interpreter {
    fn enter(&self, state: &str) -> Outcome<CurrentState> {
        Outcome::Transition(CurrentState {
            path: self
                .chart
                .state_and_ancestors(state)
                .map(Into::into)
                .collect(),
        })
    }

    fn dispatch(&self, state: Option<&str>, event: &Event<'_>) -> Outcome<CurrentState> {
        match (event, state) {
            (Event::Start, _) => self.enter(&self.chart.initial),
            (Event::Named(event), Some(state)) => match self.chart.target(state, event) {
                Some(target) => self.enter(target),
                None => Outcome::Super,
            },
            (Event::Named(_), None) => Outcome::Handled,
        }
    }
}

impl IntoStateMachine for Interpreter {
    type Event<'evt> = Event<'evt>;
    type Context<'cx> = ();
    type State = CurrentState;
    type Superstate<'sub> = RemainingSuperstates<'sub>;

    fn initial() -> CurrentState {
        CurrentState {
            path: Box::default(),
        }
    }
}

/// Current state, followed by its superstates from the innermost to the outermost.
struct CurrentState {
    path: Box<[Box<str>]>,
}

impl State<Interpreter> for CurrentState {
    fn call_handler(
        &mut self,
        shared: &mut Interpreter,
        event: &Event<'_>,
        (): &mut (),
    ) -> Outcome<Self> {
        shared.dispatch(self.path.first().map(|name| &**name), event)
    }

    fn superstate(&mut self) -> Option<RemainingSuperstates<'_>> {
        RemainingSuperstates::of(self.path.get(1..)?)
    }
}

/// Superstates that have not handled the event yet, innermost first.
struct RemainingSuperstates<'a> {
    path: &'a [Box<str>],
}

impl<'a> RemainingSuperstates<'a> {
    fn of(path: &'a [Box<str>]) -> Option<Self> {
        (!path.is_empty()).then_some(Self { path })
    }
}

impl Superstate<Interpreter> for RemainingSuperstates<'_> {
    fn call_handler(
        &mut self,
        shared: &mut Interpreter,
        event: &Event<'_>,
        (): &mut (),
    ) -> Outcome<CurrentState> {
        shared.dispatch(self.path.first().map(|name| &**name), event)
    }

    fn superstate(&mut self) -> Option<RemainingSuperstates<'_>> {
        RemainingSuperstates::of(self.path.get(1..)?)
    }
}
