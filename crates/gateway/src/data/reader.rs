//! A caller's view of work in flight.

use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::frame::End;
use nutmegbay_proto::problem::{Problem, ProblemKind};

use super::flight::{Flight, Next, SeatId};
use super::sse::Writer;
use crate::gateway::{Gateway, InFlightGuard};
use crate::state::keyed_streams::RevocationSignal;

/// Space for one event, so that most reads allocate once.
const EVENT_BYTES: usize = 256;

/// A caller's seat in a flight, left when dropped.
pub struct Reader {
    gateway: Arc<Gateway>,
    flight: Arc<Flight>,
    seat: SeatId,
    account: Arc<str>,
    ended: RevocationSignal,
    _in_flight: InFlightGuard,
}

impl Reader {
    /// Takes a seat that [`Flight::join`] gave out.
    pub fn new(
        gateway: Arc<Gateway>,
        flight: Arc<Flight>,
        seat: SeatId,
        account: Arc<str>,
        ended: RevocationSignal,
    ) -> Self {
        let in_flight = gateway.track_request();
        Self {
            gateway,
            flight,
            seat,
            account,
            ended,
            _in_flight: in_flight,
        }
    }

    /// Waits for the first token. An early failure becomes a refusal.
    pub async fn started(&mut self) -> Result<(), Problem> {
        tokio::select! {
            kind = self.ended.wait() => Err(self.revoked(kind)),
            () = self.flight.ready(self.seat) => match self.flight.early_failure() {
                Some(problem) => Err(*problem),
                None => Ok(()),
            },
        }
    }

    /// Waits for the whole answer.
    pub async fn whole(mut self) -> Result<(String, End, u32), Problem> {
        let mut text = String::new();
        loop {
            let next = std::future::poll_fn(|cx| self.poll(cx, |token| text.push_str(token))).await;
            match next {
                Next::Tokens => {}
                Next::End(end, tokens) => {
                    self.count(&end, tokens);
                    return Ok((text, end, tokens));
                }
                Next::Failed(problem) => return Err(*problem),
            }
        }
    }

    /// Turns the reader into a stream of events.
    pub fn events(self, writer: Writer) -> EventStream {
        EventStream {
            reader: self,
            writer,
            is_over: false,
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>, visit: impl FnMut(&str)) -> Poll<Next> {
        if let Poll::Ready(kind) = self.ended.poll(cx) {
            return Poll::Ready(Next::Failed(Box::new(self.revoked(kind))));
        }
        self.flight.poll_next(self.seat, cx, visit)
    }

    fn revoked(&self, kind: ProblemKind) -> Problem {
        let verdict = if self.flight.is_dispatched() {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let detail = match kind {
            ProblemKind::KeyWithdrawn => "the key of this request was withdrawn while it ran",
            _ => "the instance cannot confirm that the key is still valid; try another instance",
        };
        Problem::new(kind, verdict, detail)
    }

    fn count(&self, end: &End, tokens: u32) {
        if self.flight.count_once() {
            self.gateway
                .record_usage(&self.account, end.prompt_tokens, tokens);
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.flight.leave(self.seat);
    }
}

/// Server-sent events of one answer.
pub struct EventStream {
    reader: Reader,
    writer: Writer,
    is_over: bool,
}

impl EventStream {
    /// Next events; all that are ready come in one buffer.
    pub fn poll_bytes(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.is_over {
            return Poll::Ready(None);
        }
        let mut buf = BytesMut::new();
        let writer = &self.writer;
        let next = ready!(self.reader.poll(cx, |token| {
            buf.reserve(EVENT_BYTES);
            writer.token(&mut buf, token);
        }));
        match next {
            Next::Tokens => {}
            Next::End(end, tokens) => {
                self.writer.end(&mut buf, &end, tokens);
                self.reader.count(&end, tokens);
                self.is_over = true;
            }
            Next::Failed(problem) => {
                Writer::failure(&mut buf, &problem);
                self.is_over = true;
            }
        }
        Poll::Ready(Some(buf.freeze()))
    }
}
