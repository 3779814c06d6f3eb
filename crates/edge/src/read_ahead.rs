//! Takes responses over from their upstreams if their callers read slowly. An upstream cuts off a
//! response that remains unread.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::task::JoinHandle;

use crate::caller::Caller;
use crate::forward::InFlightGuard;

/// Size of a piece of a response from which the connection may not take it at once, in bytes.
/// `hyper` asks for no more of a response while its buffer is full.
const LARGE_PIECE_BYTES: usize = 4 * 1024;

/// Body of a response, which is read from its upstream while its caller does not read.
pub struct CallerBody<B: Body<Data = Bytes>> {
    /// Body that is read as the caller takes it.
    body: Option<Pin<Box<B>>>,
    /// Body that is read ahead of the caller.
    ahead: Option<ReadAhead<B::Error>>,
    caller: Rc<Caller>,
}

/// Response that a task reads from its upstream. Dropping it ends the task.
struct ReadAhead<E> {
    queue: Rc<RefCell<Queue<E>>>,
    task: JoinHandle<()>,
    /// Counts the request as being served after its upstream has finished.
    _in_flight: InFlightGuard,
}

impl<E> Drop for ReadAhead<E> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What was read and has not been put into the buffer of the connection.
struct Queue<E> {
    pieces: VecDeque<Bytes>,
    end: Option<Result<(), E>>,
    waker: Option<Waker>,
}

impl<B> CallerBody<B>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: 'static,
{
    /// Returns `body` for `caller`.
    pub fn new(body: B, caller: Rc<Caller>) -> Self {
        Self {
            body: Some(Box::pin(body)),
            ahead: None,
            caller,
        }
    }

    /// Records a piece for the caller. Reads the rest ahead if the caller may not take the piece at
    /// once.
    fn record_piece(&mut self, len: usize) {
        let caller = &self.caller;
        caller.record_piece(len);
        if !caller.is_blocked() && len < LARGE_PIECE_BYTES {
            return;
        }
        if let Some(body) = self.body.take_if(|body| !body.is_end_stream()) {
            self.ahead = Some(ReadAhead::start(body, caller));
        }
    }
}

impl<E: 'static> ReadAhead<E> {
    fn start<B>(body: Pin<Box<B>>, caller: &Rc<Caller>) -> Self
    where
        B: Body<Data = Bytes, Error = E> + 'static,
    {
        caller.record_read_ahead();
        let queue = Rc::new(RefCell::new(Queue {
            pieces: VecDeque::new(),
            end: None,
            waker: None,
        }));
        let task = read_to_end(body, Rc::clone(&queue), Rc::clone(caller));
        Self {
            queue,
            task: tokio::task::spawn_local(task),
            _in_flight: caller.count_request(),
        }
    }

    fn poll_piece(&self, cx: &Context<'_>, caller: &Caller) -> Poll<Option<Result<Bytes, E>>> {
        let mut queue = self.queue.borrow_mut();
        if let Some(bytes) = queue.pieces.pop_front() {
            caller.record_unqueued(bytes.len());
            return Poll::Ready(Some(Ok(bytes)));
        }
        match &queue.end {
            None => {
                queue.waker = Some(cx.waker().clone());
                Poll::Pending
            }
            Some(Ok(())) => Poll::Ready(None),
            // `hyper` closes the connection at an error, without writing what is still in its
            // buffer.
            Some(Err(_)) => {
                ready!(caller.poll_flushed(cx));
                let end = queue.end.replace(Ok(()));
                Poll::Ready(end.and_then(Result::err).map(Err))
            }
        }
    }
}

/// Reads `body` to its end while there is room.
async fn read_to_end<B: Body<Data = Bytes>>(
    mut body: Pin<Box<B>>,
    queue: Rc<RefCell<Queue<B::Error>>>,
    caller: Rc<Caller>,
) {
    loop {
        caller.read_ahead_room().await;
        let frame = body.frame().await;
        let mut queue = queue.borrow_mut();
        match frame {
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    caller.record_queued(bytes.len());
                    queue.pieces.push_back(bytes);
                }
            }
            Some(Err(error)) => queue.end = Some(Err(error)),
            None => queue.end = Some(Ok(())),
        }
        if let Some(waker) = queue.waker.take() {
            waker.wake();
        }
        if queue.end.is_some() {
            return;
        }
    }
}

impl<B> Body for CallerBody<B>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: 'static,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        if let Some(ahead) = &self.ahead {
            let piece = ready!(ahead.poll_piece(cx, &self.caller));
            return Poll::Ready(piece.map(|piece| piece.map(Frame::data)));
        }
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let frame = ready!(body.as_mut().poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && let Some(bytes) = frame.data_ref()
        {
            self.record_piece(bytes.len());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        match (&self.ahead, &self.body) {
            (Some(ahead), _) => {
                let queue = ahead.queue.borrow();
                queue.pieces.is_empty() && matches!(queue.end, Some(Ok(())))
            }
            (None, Some(body)) => body.is_end_stream(),
            (None, None) => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.body
            .as_ref()
            .map_or_else(SizeHint::default, Body::size_hint)
    }
}
