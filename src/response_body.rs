//! Bodies of answers to callers: whole ones, and streams that pass through.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Instant, Sleep};

use crate::edge::Edge;
use crate::endpoint_table::RequestOutcome;
use crate::http_client::IncomingResponse;
use crate::request_log::{ANSWERED, BROKEN, Record};
use crate::sent_request::Flight;
use crate::time::Ms;

/// Body of an answer.
pub(crate) enum AnswerBody {
    /// Complete.
    Whole(
        Option<Bytes>,
        #[expect(dead_code, reason = "counts until it is dropped")] Option<InFlight>,
    ),
    /// Events as they arrive from an endpoint.
    Events(Box<Events>),
}

/// Counts a request of this node until its answer has been written.
pub(crate) struct InFlight(pub(crate) Rc<Edge>);

impl InFlight {
    pub(crate) fn new(edge: &Rc<Edge>) -> Self {
        edge.in_flight.set(edge.in_flight.get() + 1);
        Self(edge.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// A stream on its way from an endpoint to a caller.
pub(crate) struct Events {
    pub(crate) answer: IncomingResponse,
    pub(crate) flight: Flight,
    pub(crate) record: Record,
    pub(crate) end: Pin<Box<Sleep>>,
    #[expect(dead_code, reason = "counts until it is dropped")]
    pub(crate) guard: InFlight,
    /// Last bytes seen, to tell a complete stream from a cut one.
    pub(crate) tail: Tail,
    /// The answer has no length, so its end shows only in its events.
    pub(crate) unframed: bool,
}

/// The last bytes of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tail {
    bytes: [u8; 2],
    total: usize,
}

impl Tail {
    fn push(&mut self, data: &[u8]) {
        self.total += data.len();
        match data {
            [.., a, b] => self.bytes = [*a, *b],
            [b] => self.bytes = [self.bytes[1], *b],
            [] => {}
        }
    }

    /// Whether the stream ended after a whole event.
    fn is_whole(self) -> bool {
        self.total == 0 || self.bytes == *b"\n\n"
    }
}

impl Events {
    /// Instant at which the stream is cut.
    pub(crate) fn end_in(left: Ms) -> Pin<Box<Sleep>> {
        Box::pin(tokio::time::sleep_until(Instant::now() + left.to_std()))
    }

    fn broken(&mut self, why: &str) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.record.outcome(BROKEN, why);
        Poll::Ready(Some(Err(io::Error::other(why.to_owned()))))
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.answer.poll_chunk(cx) {
            Poll::Ready(Some(Ok(data))) => {
                self.tail.push(&data);
                if !data.is_empty() {
                    self.flight.answered();
                    self.record.first_event();
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(Some(Err(e))) => {
                self.flight.ended(RequestOutcome::Broken);
                self.broken(&e)
            }
            Poll::Ready(None) => {
                if self.unframed && !self.tail.is_whole() {
                    self.flight.ended(RequestOutcome::Broken);
                    return self.broken("ended inside an event");
                }
                self.flight.answered();
                self.flight.ended(RequestOutcome::Answered);
                self.record.outcome(ANSWERED, "stream complete");
                Poll::Ready(None)
            }
            Poll::Pending => {
                if self.end.as_mut().poll(cx).is_ready() {
                    self.flight.ended(RequestOutcome::Silent);
                    return self.broken("time is over");
                }
                Poll::Pending
            }
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(bytes, _) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                Poll::Ready(bytes.map(|b| Ok(Frame::data(b))))
            }
            Self::Events(events) => events.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes, _) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes, _) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Events(_) => SizeHint::default(),
        }
    }
}
