//! Inputs that all components share, and the one append that a component has in flight.

use std::time::Duration;

use crate::environment::{Append, Environment, MonotonicTime};
use crate::ids::{Offset, RecordId};
use crate::record::{Body, Record, SCHEMA};
use crate::replica::{Applied, Replica};

/// Pause after an append that failed or that replay rejected.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// What a component is told about the log and about time.
#[derive(Debug, Clone, Copy)]
pub enum Input<'a> {
    /// The replica's state was replaced by a snapshot or a peer's image.
    Loaded(&'a Replica),
    /// Replay applied a record.
    Applied(Offset, &'a Applied),
    /// A read that started at this moment reached the head, and its records were applied.
    HeadRead {
        /// When the read was sent.
        started: MonotonicTime,
    },
    /// An append was answered; replay will show it.
    AppendDone {
        /// Token of the append.
        token: u64,
    },
    /// An append failed or its answer was lost.
    AppendFailed {
        /// Token of the append.
        token: u64,
        /// Whether it may have taken effect.
        may_have_run: bool,
    },
    /// Time has passed.
    Tick,
    /// The process is to stop.
    Stop,
}

/// Sends one append at a time and waits until replay has decided on it.
///
/// An append whose answer was lost is over only once a read that started after the loss has
/// returned the head: until then nobody knows whether the records are in the log.
pub(crate) struct Appender {
    author: Box<str>,
    in_flight: Option<InFlight>,
    retry_at: MonotonicTime,
}

struct InFlight {
    token: u64,
    last: RecordId,
    /// When the answer came or was lost.
    ended: Option<MonotonicTime>,
}

impl Appender {
    pub(crate) fn new(author: &str) -> Self {
        Self {
            author: author.into(),
            in_flight: None,
            retry_at: MonotonicTime::default(),
        }
    }

    /// Whether nothing is in flight and the pause after a failure is over.
    pub(crate) fn is_free(&self, now: MonotonicTime) -> bool {
        self.in_flight.is_none() && now >= self.retry_at
    }

    /// Whether the append in flight was answered or its answer was lost, so that only replay is
    /// still to decide on it. A record that does no harm beside it may follow.
    pub(crate) fn has_ended(&self) -> bool {
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|in_flight| in_flight.ended.is_some())
    }

    /// Appends the records in one group and returns the identity of the last one.
    pub(crate) fn send<W>(&mut self, environment: &mut W, bodies: Vec<Body>) -> RecordId
    where
        W: Environment<Effect: From<Append>>,
    {
        let mut records = Vec::with_capacity(bodies.len());
        for body in bodies {
            records.push(Record {
                id: RecordId(environment.random()),
                author: self.author.clone(),
                at_ms: environment.wall_ms(),
                schema: SCHEMA,
                body,
            });
        }
        #[expect(clippy::cast_possible_truncation, reason = "64 of 128 random bits")]
        let token = environment.random() as u64;
        let last = records.last().map(|record| record.id).unwrap_or_default();
        self.in_flight = Some(InFlight {
            token,
            last,
            ended: None,
        });
        environment.perform(Append { token, records }.into());
        last
    }

    /// Follows the append in flight and returns whether it is over with this input.
    pub(crate) fn follow(&mut self, now: MonotonicTime, input: Input<'_>) -> bool {
        let Some(in_flight) = &mut self.in_flight else {
            return false;
        };
        let is_over = match input {
            Input::Applied(_, Applied::Accepted(record)) => record.id == in_flight.last,
            Input::Applied(_, Applied::Rejected(record, _)) if record.id == in_flight.last => {
                self.retry_at = now.plus(RETRY_AFTER);
                true
            }
            Input::HeadRead { started } => in_flight.ended.is_some_and(|ended| started >= ended),
            Input::AppendDone { token } if token == in_flight.token => {
                in_flight.ended.get_or_insert(now);
                false
            }
            Input::AppendFailed {
                token,
                may_have_run,
            } if token == in_flight.token => {
                in_flight.ended.get_or_insert(now);
                self.retry_at = now.plus(RETRY_AFTER);
                !may_have_run
            }
            _ => false,
        };
        if is_over {
            self.in_flight = None;
        }
        is_over
    }
}
