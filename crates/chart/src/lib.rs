//! Interprets state charts that are kept in JSON files.
//!
//! A chart names its states, their superstates and the transitions each event causes. The chart
//! file is the single definition: [`Machine`] drives it through `statig`, which gives the usual
//! rule that an event not handled by a state goes to its superstate.

use std::collections::BTreeMap;

use error_stack::{Report, ensure};
use serde::Deserialize;
use statig::Outcome;
use statig::blocking::{IntoStateMachine, IntoStateMachineExt, State, StateMachine, Superstate};

/// A state chart as read from its file.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chart {
    /// Name used in logs and errors.
    pub name: Box<str>,
    /// State that a new machine starts in.
    pub initial: Box<str>,
    /// All states by name.
    pub states: BTreeMap<Box<str>, Node>,
}

/// One state of a [`Chart`].
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Superstate that handles the events this state does not.
    #[serde(default)]
    pub parent: Option<Box<str>>,
    /// Target state by event name.
    #[serde(default)]
    pub on: BTreeMap<Box<str>, Box<str>>,
}

impl Chart {
    /// Parses and checks a chart file.
    pub fn parse(text: &str) -> Result<Self, Report<ChartError>> {
        let chart: Self = serde_json::from_str(text).map_err(|e| {
            Report::new(ChartError::Syntax).attach(format!("fix the chart file: {e}"))
        })?;
        chart.check()?;
        Ok(chart)
    }

    fn check(&self) -> Result<(), Report<ChartError>> {
        self.require(&self.initial, "initial state")?;
        for (name, node) in &self.states {
            if let Some(parent) = &node.parent {
                self.require(parent, &format!("parent of `{name}`"))?;
            }
            for (event, target) in &node.on {
                self.require(target, &format!("target of `{event}` in `{name}`"))?;
            }
            ensure!(
                self.ancestors(name).take(self.states.len() + 1).count() <= self.states.len(),
                Report::new(ChartError::Cycle).attach(format!(
                    "state `{name}` is its own ancestor in `{}`",
                    self.name
                ))
            );
        }
        Ok(())
    }

    fn require(&self, state: &str, what: &str) -> Result<(), Report<ChartError>> {
        ensure!(
            self.states.contains_key(state),
            Report::new(ChartError::UnknownState).attach(format!(
                "{what} names `{state}`, which chart `{}` lacks",
                self.name
            ))
        );
        Ok(())
    }

    fn ancestors<'a>(&'a self, state: &'a str) -> impl Iterator<Item = &'a str> {
        std::iter::successors(Some(state), |name| {
            self.states.get(*name)?.parent.as_deref()
        })
    }

    /// Target of `event` in `state` itself, without its superstates.
    fn target(&self, state: &str, event: &str) -> Option<&str> {
        self.states
            .get(state)?
            .on
            .get(event)
            .map(|target| &**target)
    }
}

/// Fault in a chart file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChartError {
    /// The file is not a chart in JSON.
    Syntax,
    /// A name refers to no state.
    UnknownState,
    /// The superstates form a cycle.
    Cycle,
}

impl std::fmt::Display for ChartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Syntax => "the state chart does not parse",
            Self::UnknownState => "the state chart refers to an unknown state",
            Self::Cycle => "the state chart has a cycle of superstates",
        })
    }
}

impl std::error::Error for ChartError {}

/// A running instance of a [`Chart`].
pub struct Machine {
    inner: StateMachine<Interpreter>,
}

impl Machine {
    /// Starts the chart in its initial state.
    pub fn new(chart: Chart) -> Self {
        let mut inner = Interpreter { chart }.state_machine();
        inner.handle(&Event::Start);
        Self { inner }
    }

    /// Handles one event and returns whether the state changed.
    pub fn handle(&mut self, event: &str) -> bool {
        let before = self.state().to_owned();
        self.inner.handle(&Event::Named(event));
        self.state() != before
    }

    /// Name of the current state.
    pub fn state(&self) -> &str {
        self.inner.state().path.first().map_or("", |name| name)
    }

    /// Whether the machine is in `state` or in a substate of it.
    pub fn is_in(&self, state: &str) -> bool {
        self.inner.state().path.iter().any(|name| &**name == state)
    }
}

/// Event given to the interpreter.
enum Event<'a> {
    /// Enters the initial state, which `statig` cannot learn from the chart by itself.
    Start,
    /// Event of the chart.
    Named(&'a str),
}

struct Interpreter {
    chart: Chart,
}

impl Interpreter {
    fn enter(&self, state: &str) -> Outcome<Leaf> {
        Outcome::Transition(Leaf {
            path: self.chart.ancestors(state).map(Into::into).collect(),
        })
    }

    fn dispatch(&self, state: Option<&str>, event: &Event<'_>) -> Outcome<Leaf> {
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
    type State = Leaf;
    type Superstate<'sub> = Ancestors<'sub>;

    fn initial() -> Leaf {
        Leaf {
            path: Box::default(),
        }
    }
}

/// Current state followed by its superstates, innermost first.
struct Leaf {
    path: Box<[Box<str>]>,
}

impl State<Interpreter> for Leaf {
    fn call_handler(
        &mut self,
        shared: &mut Interpreter,
        event: &Event<'_>,
        (): &mut (),
    ) -> Outcome<Self> {
        shared.dispatch(self.path.first().map(|name| &**name), event)
    }

    fn superstate(&mut self) -> Option<Ancestors<'_>> {
        Ancestors::of(self.path.get(1..)?)
    }
}

/// Superstates that are still to be asked, innermost first.
struct Ancestors<'a> {
    path: &'a [Box<str>],
}

impl<'a> Ancestors<'a> {
    fn of(path: &'a [Box<str>]) -> Option<Self> {
        (!path.is_empty()).then_some(Self { path })
    }
}

impl Superstate<Interpreter> for Ancestors<'_> {
    fn call_handler(
        &mut self,
        shared: &mut Interpreter,
        event: &Event<'_>,
        (): &mut (),
    ) -> Outcome<Leaf> {
        shared.dispatch(self.path.first().map(|name| &**name), event)
    }

    fn superstate(&mut self) -> Option<Ancestors<'_>> {
        Ancestors::of(self.path.get(1..)?)
    }
}
