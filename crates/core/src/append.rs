//! Input type of the log-driven components, and the append that a component has in flight.

use std::time::Duration;

use crate::environment::{Append, Environment, MonotonicTime};
use crate::ids::{Offset, RecordId};
use crate::record::{Body, Record, SCHEMA};
use crate::replica::{Applied, Replica};

/// Pause before the next append after one that failed or that replay rejected.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Event that a component receives about the log, its appends and the clock.
#[derive(Debug, Clone, Copy)]
pub enum Input<'a> {
    /// The replica's state was replaced by a snapshot from the log or from a peer.
    Loaded(&'a Replica),
    /// Replay processed the record at this offset.
    Applied(Offset, &'a Applied),
    /// A read of the log returned all records up to the head, and they were applied.
    HeadRead {
        /// Time at which the read was sent.
        started: MonotonicTime,
    },
    /// The log acknowledged an append. Whether its records are accepted is decided by replay.
    AppendDone {
        /// Token of the [`Append`].
        token: u64,
    },
    /// An append failed or its answer was lost.
    AppendFailed {
        /// Token of the [`Append`].
        token: u64,
        /// Whether the records may have reached the log.
        may_have_run: bool,
    },
    /// The clock advanced.
    Tick,
    /// A planned stop of the process begins.
    Stop,
}

/// Sends one append at a time and waits until replay has accepted or rejected it.
///
/// An append whose answer was lost is complete only once a read that started after the loss has
/// returned the head: until then it is unknown whether the records are in the log.
pub(crate) struct Appender {
    author: Box<str>,
    in_flight: Option<InFlight>,
    retry_at: MonotonicTime,
}

struct InFlight {
    token: u64,
    last_record: RecordId,
    /// When the answer was received or considered lost.
    answered_at: Option<MonotonicTime>,
}

impl Appender {
    pub(crate) fn new(author: &str) -> Self {
        Self {
            author: author.into(),
            in_flight: None,
            retry_at: MonotonicTime::default(),
        }
    }

    /// Whether no append is in flight and the pause after a failure has passed.
    pub(crate) fn can_send(&self, now: MonotonicTime) -> bool {
        self.in_flight.is_none() && now >= self.retry_at
    }

    /// Whether the append in flight was answered or its answer was lost, so that only the decision
    /// of replay is outstanding. A caller whose records are harmless in any order and number may
    /// send the next append already.
    pub(crate) fn awaits_replay(&self) -> bool {
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|in_flight| in_flight.answered_at.is_some())
    }

    /// Appends one record for each body as one group and returns the identity of the last record.
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
        let last_record = records.last().map(|record| record.id).unwrap_or_default();
        self.in_flight = Some(InFlight {
            token,
            last_record,
            answered_at: None,
        });
        environment.perform(Append { token, records }.into());
        last_record
    }

    /// Updates the append in flight and returns whether this input completes it.
    pub(crate) fn on_input(&mut self, now: MonotonicTime, input: Input<'_>) -> bool {
        let Some(in_flight) = &mut self.in_flight else {
            return false;
        };
        let is_complete = match input {
            Input::Applied(_, Applied::Accepted(record)) => record.id == in_flight.last_record,
            Input::Applied(_, Applied::Rejected(record, _))
                if record.id == in_flight.last_record =>
            {
                self.retry_at = now.plus(RETRY_DELAY);
                true
            }
            Input::HeadRead { started } => in_flight
                .answered_at
                .is_some_and(|answered| started >= answered),
            Input::AppendDone { token } if token == in_flight.token => {
                in_flight.answered_at.get_or_insert(now);
                false
            }
            Input::AppendFailed {
                token,
                may_have_run,
            } if token == in_flight.token => {
                in_flight.answered_at.get_or_insert(now);
                self.retry_at = now.plus(RETRY_DELAY);
                !may_have_run
            }
            _ => false,
        };
        if is_complete {
            self.in_flight = None;
        }
        is_complete
    }
}
