//! Reads the answer of a shared run for one caller.

use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::frame::End;
use nutmegbay_proto::problem::{Problem, ProblemKind};

use super::shared_run::{ReadResult, SharedRun, SubscriberId};
use super::sse::ResponseWriter;
use crate::gateway::{Gateway, InFlightGuard};
use crate::state::keyed_streams::RevocationSignal;

/// Bytes reserved for one event; most events fit, so that most reads allocate once.
const EVENT_BYTES: usize = 256;

/// Subscription of one caller to a shared run. Dropping it ends the subscription.
pub struct AnswerReader {
    gateway: Arc<Gateway>,
    shared_run: Arc<SharedRun>,
    subscriber: SubscriberId,
    account: Arc<str>,
    revocation: RevocationSignal,
    _in_flight: InFlightGuard,
}

impl AnswerReader {
    /// Creates a reader for a subscriber that was added by [`SharedRun::start`] or
    /// [`SharedRun::join`].
    pub fn new(
        gateway: Arc<Gateway>,
        shared_run: Arc<SharedRun>,
        subscriber: SubscriberId,
        account: Arc<str>,
        revocation: RevocationSignal,
    ) -> Self {
        let in_flight = gateway.track_request();
        Self {
            gateway,
            shared_run,
            subscriber,
            account,
            revocation,
            _in_flight: in_flight,
        }
    }

    /// Waits for the first token. Fails if the run failed before it or the key is no longer valid,
    /// so that the caller gets an error status and no stream.
    pub async fn wait_for_first_token(&mut self) -> Result<(), Problem> {
        tokio::select! {
            kind = self.revocation.wait() => Err(self.revoked_problem(kind)),
            () = self.shared_run.ready(self.subscriber) => match self.shared_run.early_failure() {
                Some(problem) => Err(*problem),
                None => Ok(()),
            },
        }
    }

    /// Waits for the complete answer. Returns its text, its end and the number of tokens.
    pub async fn read_all(mut self) -> Result<(String, End, u32), Problem> {
        let mut text = String::new();
        loop {
            let result =
                std::future::poll_fn(|cx| self.poll(cx, |token| text.push_str(token))).await;
            match result {
                ReadResult::Tokens => {}
                ReadResult::End(end, tokens) => {
                    self.count_usage(&end, tokens);
                    return Ok((text, end, tokens));
                }
                ReadResult::Failed(problem) => return Err(*problem),
            }
        }
    }

    /// Converts the reader into a stream of server-sent events.
    pub fn events(self, writer: ResponseWriter) -> EventStream {
        EventStream {
            reader: self,
            writer,
            is_finished: false,
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>, visit: impl FnMut(&str)) -> Poll<ReadResult> {
        if let Poll::Ready(kind) = self.revocation.poll(cx) {
            return Poll::Ready(ReadResult::Failed(Box::new(self.revoked_problem(kind))));
        }
        self.shared_run.poll_next(self.subscriber, cx, visit)
    }

    fn revoked_problem(&self, kind: ProblemKind) -> Problem {
        let verdict = if self.shared_run.may_have_run() {
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

    fn count_usage(&self, end: &End, tokens: u32) {
        if self.shared_run.claim_usage_count() {
            self.gateway
                .record_usage(&self.account, end.prompt_tokens, tokens);
        }
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.shared_run.leave(self.subscriber);
    }
}

/// Server-sent events of one answer, read on demand.
pub struct EventStream {
    reader: AnswerReader,
    writer: ResponseWriter,
    is_finished: bool,
}

impl EventStream {
    /// Returns all events that are ready in one buffer, and `None` after the last event.
    pub fn poll_bytes(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.is_finished {
            return Poll::Ready(None);
        }
        let mut buf = BytesMut::new();
        let writer = &self.writer;
        let result = ready!(self.reader.poll(cx, |token| {
            buf.reserve(EVENT_BYTES);
            writer.token(&mut buf, token);
        }));
        match result {
            ReadResult::Tokens => {}
            ReadResult::End(end, tokens) => {
                self.writer.end(&mut buf, &end, tokens);
                self.reader.count_usage(&end, tokens);
                self.is_finished = true;
            }
            ReadResult::Failed(problem) => {
                ResponseWriter::failure(&mut buf, &problem);
                self.is_finished = true;
            }
        }
        Poll::Ready(Some(buf.freeze()))
    }
}
